package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type storedValue struct {
	data    json.RawMessage
	version uint64
	lease   uint64
}

type storeEvent struct {
	Write   string          `json:"Write,omitempty"`
	Data    json.RawMessage `json:"Data,omitempty"`
	Drop    string          `json:"Drop,omitempty"`
	Edicion uint64          `json:"Edicion"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the state service. Each controller has a door of its own, so that faults can
// reach one controller alone.
type store struct {
	rec      *record
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	keys     map[string]storedValue
	revision uint64
	log      []storeEvent
	dropped  uint64 // revision of the newest change that is no longer kept
	leases   map[uint64]*storeLease
	nextID   uint64
	requests bucket
	writes   bucket
	valueB   int
	ops      int
	doors    []*door
	out      atomic.Bool // an outage: no lease ends
}

// door is the listener through which one controller reaches the store.
type door struct {
	node   int
	addr   string
	server *http.Server
	mu     sync.Mutex
	// refuse answers 503. hang gives no answer and executes nothing.
	refuse, hang bool
	// latency is added to each answer.
	latency time.Duration
	// onTxn, if set, may replace the handling of a transaction: it returns a delay before it
	// is executed and whether its answer is lost.
	onTxn func(body string) (delay time.Duration, loseAnswer bool)
}

// bucket is a rate limit with bursts worth one second.
type bucket struct {
	rate, tokens float64
	last         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	} else {
		b.tokens = b.rate
	}
	b.last = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(rec *record, doors int, rps, writeRPS float64, valueKB, ops int) (*store, error) {
	s := &store{
		rec: rec, changed: make(chan struct{}), keys: map[string]storedValue{}, leases: map[uint64]*storeLease{},
		requests: bucket{rate: rps}, writes: bucket{rate: writeRPS}, valueB: valueKB << 10, ops: ops,
	}
	for node := range doors {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &door{node: node, addr: listener.Addr().String()}
		d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(d, w, r) })}
		s.doors = append(s.doors, d)
		go d.server.Serve(listener)
	}
	go s.expire()
	return s, nil
}

func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		if s.out.Load() {
			continue
		}
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var names []string
	for key, value := range s.keys {
		if value.lease == id {
			names = append(names, key)
		}
	}
	if len(names) == 0 {
		return
	}
	s.revision++
	sort.Strings(names)
	for _, key := range names {
		s.drop(key)
		s.rec.log("store: lease %d ended, key %s removed", id, key)
	}
	s.notify()
}

func (s *store) drop(key string) {
	delete(s.keys, key)
	s.append(storeEvent{Drop: key, Edicion: s.revision})
}

func (s *store) append(event storeEvent) {
	s.log = append(s.log, event)
	if extra := len(s.log) - 10000; extra > 0 {
		s.dropped = s.log[extra-1].Edicion
		s.log = s.log[extra:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) serve(d *door, w http.ResponseWriter, r *http.Request) {
	var body []byte
	if r.Body != nil {
		buffer := make([]byte, 0, 1024)
		for {
			chunk := make([]byte, 8192)
			n, err := r.Body.Read(chunk)
			buffer = append(buffer, chunk[:n]...)
			if err != nil {
				break
			}
		}
		body = buffer
	}
	d.mu.Lock()
	refuse, hang, latency, onTxn := d.refuse, d.hang, d.latency, d.onTxn
	d.mu.Unlock()
	if hang {
		<-r.Context().Done()
		return
	}
	if latency > 0 {
		time.Sleep(latency)
	}
	if refuse {
		reply(w, 503, map[string]string{"error": "trouble"})
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	within := s.requests.take(1)
	s.mu.Unlock()
	if !within {
		reply(w, 429, map[string]string{"error": "requests"})
		return
	}
	path := r.URL.Path
	switch {
	case path == "/txn":
		delay, lose := time.Duration(0), false
		if onTxn != nil {
			delay, lose = onTxn(string(body))
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		status, answer := s.txn(d, body)
		if lose {
			<-r.Context().Done()
			return
		}
		reply(w, status, answer)
	case path == "/follow":
		s.follow(d, w, r)
	case path == "/store":
		s.list(w, r.URL.Query())
	case strings.HasPrefix(path, "/store/"):
		s.get(w, strings.TrimPrefix(path, "/store/"))
	case strings.HasPrefix(path, "/holds"):
		s.holds(w, r, body)
	default:
		reply(w, 400, map[string]string{"error": "no such path"})
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	value, ok := s.keys[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]uint64{"Revision": revision})
		return
	}
	answer := map[string]any{"K": key, "Data": value.data, "Edicion": value.version}
	if value.lease != 0 {
		answer["Arriendo"] = value.lease
	}
	reply(w, 200, answer)
}

func (s *store) list(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, _ := strconv.Atoi(query.Get("Most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("Under")) && key > query.Get("Since") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	type pair struct {
		K       string
		Data    json.RawMessage
		Edicion uint64
	}
	pairs, size, truncated := []pair{}, 0, false
	for _, key := range names {
		value := s.keys[key]
		if len(pairs) == most || size+len(value.data) > 500<<10 {
			truncated = true
			break
		}
		size += len(value.data) + len(key) + 40
		pairs = append(pairs, pair{key, value.data, value.version})
	}
	reply(w, 200, map[string]any{"Pairs": pairs, "Truncated": truncated, "Revision": s.revision})
}

func (s *store) txn(d *door, body []byte) (int, any) {
	var request struct {
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
	if err := json.Unmarshal(body, &request); err != nil {
		return 400, map[string]string{"error": err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(request.Writes) > s.ops || len(request.Guards) > 4*s.ops || len(body) > 64<<10 {
		return 400, map[string]string{"error": "too large"}
	}
	for _, write := range request.Writes {
		if len(write.Data) > s.valueB {
			return 400, map[string]string{"error": "value too large"}
		}
		if write.Arriendo != 0 && s.leases[write.Arriendo] == nil {
			return 400, map[string]string{"error": "no such lease"}
		}
	}
	if !s.writes.take(float64(len(request.Writes))) {
		return 429, map[string]string{"error": "writes"}
	}
	failed := []string{}
	for _, guard := range request.Guards {
		if s.keys[guard.K].version != guard.Edicion {
			failed = append(failed, guard.K)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "Revision": s.revision}
	}
	if len(request.Writes) > 0 {
		s.revision++
	}
	for _, write := range request.Writes {
		if write.Drop != "" {
			if _, ok := s.keys[write.Drop]; ok {
				s.drop(write.Drop)
			}
			s.rec.log("store: node %d drops %s at %d", d.node, write.Drop, s.revision)
			continue
		}
		if len(write.Data) == 0 {
			write.Data = json.RawMessage("null") // a field that is null may be omitted
		}
		s.keys[write.Write] = storedValue{write.Data, s.revision, write.Arriendo}
		s.append(storeEvent{Write: write.Write, Data: write.Data, Edicion: s.revision})
		s.rec.log("store: node %d writes %s at %d: %.300s", d.node, write.Write, s.revision, write.Data)
	}
	s.notify()
	return 200, map[string]uint64{"Revision": s.revision}
}

func (s *store) follow(d *door, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("Since"), 10, 64)
	block, _ := strconv.Atoi(query.Get("BlockMs"))
	deadline := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.dropped {
			s.mu.Unlock()
			reply(w, 410, map[string]string{"error": "too old"})
			return
		}
		events := []storeEvent{}
		at := sort.Search(len(s.log), func(i int) bool { return s.log[i].Edicion > since })
		for _, event := range s.log[at:] {
			if strings.HasPrefix(event.Write+event.Drop, query.Get("Under")) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		d.mu.Lock()
		waits := d.refuse || d.hang // an open watch waits as in an outage
		d.mu.Unlock()
		left := time.Until(deadline)
		if !waits && (len(events) > 0 || left <= 0) {
			reply(w, 200, map[string]any{"Revision": revision, "Log": events})
			return
		}
		if waits {
			changed, left = nil, 50*time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) holds(w http.ResponseWriter, r *http.Request, body []byte) {
	var request struct{ TtlMs int64 }
	json.Unmarshal(body, &request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/holds" {
		s.nextID++
		ttl := time.Duration(request.TtlMs) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]uint64{"Arriendo": s.nextID})
		return
	}
	id, _ := strconv.ParseUint(strings.Split(r.URL.Path, "/")[2], 10, 64)
	lease := s.leases[id]
	if lease == nil {
		reply(w, 404, map[string]string{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expires = time.Now().Add(lease.ttl)
	}
	reply(w, 200, map[string]uint64{"Arriendo": id})
}

// after an outage every lease has its full time once more.
func (s *store) refreshLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.leases {
		lease.expires = time.Now().Add(lease.ttl)
	}
}

func (s *store) setDoor(node int, change func(*door)) {
	d := s.doors[node]
	d.mu.Lock()
	change(d)
	s.rec.log("fault: store door of node %d: refuse %t, hang %t, latency %v", node, d.refuse, d.hang, d.latency)
	d.mu.Unlock()
}

func (s *store) key(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.keys[name].data)
}

// leaderOf returns the index of the controller that leads a partition, or -1.
func (s *store) leaderOf(partition int) int {
	value := s.key(fmt.Sprintf("live/p/%d", partition))
	for node := range s.doors {
		if strings.Contains(value, fmt.Sprintf("nodo-%d", node)) {
			return node
		}
	}
	return -1
}
