package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the state service. Each controller reaches it at an address of its
// own, so that a case can slow down or refuse one controller alone.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]*item
	leases  map[uint64]*lease
	lastID  uint64
	log     []event
	dropped uint64        // revisions up to this one are no longer in the log
	changed chan struct{} // closed with each change
	outage  bool

	limits   StoreLimits
	requests *bucket
	writes   *bucket

	// Hook decides how a request is treated. nil: at once. node is the controller's index.
	Hook func(node int, r *http.Request, body []byte) Treatment
	// Latency is the usual time of an answer.
	Latency func() time.Duration
	// OnRead is called for each request that was served.
	OnRead func(node int, r *http.Request, status int)
	// OnWrite is called, with mu held, for each change.
	OnWrite func(key string, value json.RawMessage, deleted bool)
}

// StoreLimits are the limits of the settings.
type StoreLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// Treatment is what happens to one request.
type Treatment struct {
	Delay  time.Duration // the answer comes that much later; the request is executed at once
	Status int           // if not 0: refused with this status, not executed
	Lose   bool          // executed at once, no answer
	LateBy time.Duration // executed that much later, no answer
}

type item struct {
	value   json.RawMessage
	version uint64
	lease   uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	Write   string          `json:"Write,omitempty"`
	Data    json.RawMessage `json:"Data,omitempty"`
	Drop    string          `json:"Drop,omitempty"`
	Version uint64          `json:"Edicion"`
}

const keptChanges = 10_000

// NewStore returns an empty store and starts to expire its leases.
func NewStore(limits StoreLimits) *Store {
	s := &Store{
		items: map[string]*item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), rev: 1,
		limits: limits, requests: newBucket(limits.RPS), writes: newBucket(limits.WriteRPS),
		Latency: func() time.Duration { return 3 * time.Millisecond },
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// bucket is a token bucket with a burst of one second.
type bucket struct {
	mu        sync.Mutex
	rate      float64
	available float64
	at        time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, available: rate, at: time.Now()} }

func (b *bucket) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.available = min(b.rate, b.available+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}

// SetOutage begins or ends an outage. After it every lease has its full time once more.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.ttl)
		}
		s.notify()
	}
}

func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, key := range keys {
		s.drop(key)
	}
	s.notify()
}

func (s *Store) drop(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.log = append(s.log, event{Drop: key, Version: s.rev})
	if s.OnWrite != nil {
		s.OnWrite(key, nil, true)
	}
}

func (s *Store) notify() {
	if extra := len(s.log) - keptChanges; extra > 0 {
		s.dropped = s.log[extra-1].Version
		s.log = append([]event(nil), s.log[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key] != nil
}

// Handler serves one controller.
func (s *Store) Handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		var how Treatment
		if s.Hook != nil {
			how = s.Hook(node, r, body)
		}
		if how.LateBy > 0 {
			go func() {
				time.Sleep(how.LateBy)
				s.serve(r, body)
			}()
			hang(w, r)
			return
		}
		if how.Status != 0 {
			time.Sleep(s.Latency())
			reply(w, how.Status, map[string]string{"error": "trouble"})
			return
		}
		if s.isOut() {
			time.Sleep(s.Latency())
			reply(w, 503, map[string]string{"error": "trouble"})
			return
		}
		if !s.requests.take(1) {
			reply(w, 429, map[string]string{"error": "too many requests"})
			return
		}
		time.Sleep(s.Latency())
		status, answer := s.serve(r, body)
		if s.OnRead != nil {
			s.OnRead(node, r, status)
		}
		if how.Lose {
			hang(w, r)
			return
		}
		time.Sleep(how.Delay)
		reply(w, status, answer)
	})
}

// hang keeps a request without an answer until its sender gives up.
func hang(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Store) isOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *Store) serve(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/store":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/store/"):
		return s.get(strings.TrimPrefix(path, "/store/"))
	case r.Method == "POST" && path == "/txn":
		return s.transact(body)
	case r.Method == "GET" && path == "/follow":
		return s.follow(r)
	case r.Method == "POST" && path == "/holds":
		return s.grant(body)
	case r.Method == "POST" && strings.HasPrefix(path, "/holds/") && strings.HasSuffix(path, "/extend"):
		return s.extend(leaseID(path))
	case r.Method == "DELETE" && strings.HasPrefix(path, "/holds/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(leaseID(path))
		return 200, struct{}{}
	}
	return 400, map[string]string{"error": "malformed"}
}

func leaseID(path string) uint64 {
	id, _ := strconv.ParseUint(strings.Split(path, "/")[2], 10, 64)
	return id
}

type pair struct {
	Key     string          `json:"K"`
	Value   json.RawMessage `json:"Data"`
	Version uint64          `json:"Edicion"`
	Lease   uint64          `json:"Arriendo,omitempty"`
}

func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[key]
	if it == nil {
		return 404, map[string]uint64{"Revision": s.rev}
	}
	return 200, pair{key, it.value, it.version, it.lease}
}

func (s *Store) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	under, since := q.Get("Under"), q.Get("Since")
	most, err := strconv.Atoi(q.Get("Most"))
	if err != nil || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, under) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	pairs, size := []pair{}, 0
	for _, key := range keys {
		it := s.items[key]
		size += len(key) + len(it.value) + 60
		if len(pairs) == most || size > 512<<10 {
			break
		}
		pairs = append(pairs, pair{key, it.value, it.version, it.lease})
	}
	return 200, map[string]any{"Pairs": pairs, "Truncated": len(pairs) < len(keys), "Revision": s.rev}
}

func (s *Store) follow(r *http.Request) (int, any) {
	q := r.URL.Query()
	under := q.Get("Under")
	since, _ := strconv.ParseUint(q.Get("Since"), 10, 64)
	block, _ := strconv.Atoi(q.Get("BlockMs"))
	deadline := time.After(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.dropped {
			s.mu.Unlock()
			return 410, map[string]string{"error": "too old"}
		}
		events := []event{}
		at := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > since })
		for _, e := range s.log[at:] {
			if strings.HasPrefix(e.Write+e.Drop, under) {
				events = append(events, e)
			}
		}
		changed, out, revision := s.changed, s.outage, s.rev
		s.mu.Unlock()
		if !out && (len(events) > 0 || block == 0) {
			return 200, map[string]any{"Revision": revision, "Log": events}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return 503, struct{}{}
		case <-deadline:
			block = 0
		}
	}
}

type txn struct {
	Guards []struct {
		K       string
		Edicion uint64
	}
	Writes []struct {
		Write    string
		Data     json.RawMessage
		Arriendo uint64
		Drop     string
	}
}

func (s *Store) transact(body []byte) (int, any) {
	var t txn
	if json.Unmarshal(body, &t) != nil || len(body) > 64<<10 || len(t.Writes) > s.limits.TxnOps ||
		len(t.Guards) > 4*s.limits.TxnOps {
		return 400, map[string]string{"error": "malformed"}
	}
	if !s.writes.take(len(t.Writes)) {
		return 429, map[string]string{"error": "too many changes"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 503, map[string]string{"error": "trouble"}
	}
	for _, w := range t.Writes {
		if float64(len(w.Data)) > s.limits.ValueKB*1024 {
			return 400, map[string]string{"error": "value too large"}
		}
		if w.Arriendo != 0 && s.leases[w.Arriendo] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		var version uint64
		if it := s.items[g.K]; it != nil {
			version = it.version
		}
		if version != g.Edicion {
			failed = append(failed, g.K)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "Revision": s.rev}
	}
	if len(t.Writes) == 0 {
		return 200, map[string]uint64{"Revision": s.rev}
	}
	s.rev++
	for _, w := range t.Writes {
		if w.Drop != "" {
			s.drop(w.Drop)
			continue
		}
		s.items[w.Write] = &item{w.Data, s.rev, w.Arriendo}
		s.log = append(s.log, event{Write: w.Write, Data: w.Data, Version: s.rev})
		if s.OnWrite != nil {
			s.OnWrite(w.Write, w.Data, false)
		}
	}
	s.notify()
	return 200, map[string]uint64{"Revision": s.rev}
}

func (s *Store) grant(body []byte) (int, any) {
	var ask struct{ TtlMs int }
	if json.Unmarshal(body, &ask) != nil || ask.TtlMs < 100 || ask.TtlMs > 600_000 {
		return 400, map[string]string{"error": "malformed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(ask.TtlMs) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
	return 200, map[string]uint64{"Arriendo": s.lastID}
}

func (s *Store) extend(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 404, struct{}{}
	}
	l.expires = time.Now().Add(l.ttl)
	return 200, struct{}{}
}
