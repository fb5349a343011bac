package simulation

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"

	"github.com/go-json-experiment/json"
)

// relay stands between the processes and the stand-ins: it notes each order with its
// sender and term, and can hold back what one process sends, to deliver it later, though
// its sender has given up by then.
type relay struct {
	loopback *loopback
	mu       sync.Mutex
	held     [3]map[leadership.Action]bool
	release  chan struct{} // closed when what is held is delivered
	orders   []*relayedOrder
}

// relayedOrder is an order as it passed through the relay.
type relayedOrder struct {
	sender      int
	action      leadership.Action
	role        string
	term        uint64 // of a command: its token
	request     string
	worker      string
	arrivedAt   time.Time
	deliveredAt time.Time // zero: not yet
	held        bool
	tookEffect  bool // it changed something
}

func newRelay(l *loopback) *relay {
	r := &relay{loopback: l, release: make(chan struct{})}
	for i := range r.held {
		r.held[i] = map[leadership.Action]bool{}
	}
	return r
}

// hold has orders of a process held back from now on.
func (r *relay) hold(node int, actions ...leadership.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range actions {
		r.held[node][a] = true
	}
}

// deliver delivers what is held and holds nothing more.
func (r *relay) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.held {
		clear(r.held[i])
	}
	close(r.release)
	r.release = make(chan struct{})
}

// ordersMatching gives the orders so far that match.
func (r *relay) ordersMatching(match func(o *relayedOrder) bool) []relayedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []relayedOrder
	for _, o := range r.orders {
		if match(o) {
			list = append(list, *o)
		}
	}
	return list
}

// handler passes a process's requests on to a stand-in.
func (r *relay) handler(node int, next http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		o := parseOrder(req, body)
		if o == nil {
			next(rw, req)
			return
		}
		o.sender = node
		r.arrive(o)
		before := r.countMachines()
		answer := httptest.NewRecorder()
		func() {
			defer func() { _ = recover() }() // the stand-in hangs up
			answer.Code = 0
			next(answer, req)
		}()
		r.noteOutcome(o, answer.Code, before)
		if answer.Code == 0 {
			panic(http.ErrAbortHandler)
		}
		for k, v := range answer.Header() {
			rw.Header()[k] = v
		}
		rw.WriteHeader(answer.Code)
		_, _ = rw.Write(answer.Body.Bytes()) // its sender may have given up
	}
}

// arrive notes an order, and waits while its sender's are held back.
func (r *relay) arrive(o *relayedOrder) {
	r.mu.Lock()
	o.arrivedAt = time.Now()
	r.orders = append(r.orders, o)
	o.held = r.held[o.sender][o.action]
	release := r.release
	r.mu.Unlock()
	if o.held {
		<-release
	}
}

// noteOutcome notes what became of an order.
func (r *relay) noteOutcome(o *relayedOrder, status int, before fleetCount) {
	after := r.countMachines()
	r.mu.Lock()
	defer r.mu.Unlock()
	o.deliveredAt = time.Now()
	switch o.action {
	case leadership.Launch:
		o.tookEffect = after.launched > before.launched
	case leadership.Delete:
		o.tookEffect = after.gone > before.gone
	default:
		o.tookEffect = status == http.StatusOK
	}
}

// fleetCount counts machines.
type fleetCount struct{ launched, gone int }

func (r *relay) countMachines() fleetCount {
	var n fleetCount
	r.loopback.locked(func() {
		for _, wk := range r.loopback.sim.workers {
			n.launched++
			if wk.gone {
				n.gone++
			}
		}
	})
	return n
}

// parseOrder reads which order a request is; nil: it is none.
func parseOrder(req *http.Request, body []byte) *relayedOrder {
	switch req.URL.Path {
	case "/txn":
		return parseWrite(body)
	case "/machines/delete":
		return &relayedOrder{action: leadership.Delete}
	case "/commands":
		var c api.CommandRequest
		if json.Unmarshal(body, &c) != nil || c.FencingToken == 0 {
			return nil
		}
		return &relayedOrder{action: leadership.Command, term: c.FencingToken, worker: req.Host}
	}
	var rent api.LaunchRequest
	if req.URL.Path != "/machines" || req.Method != http.MethodPost || json.Unmarshal(body, &rent) != nil {
		return nil
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(rent.Name, "p"), "-")
	term, _, _ := strings.Cut(rest, "-")
	n, _ := strconv.ParseUint(term, 10, 64)
	return &relayedOrder{action: leadership.Launch, role: "partition/" + part, term: n, request: rent.Name}
}

// parseWrite reads under which duty a transaction is, which it guards; nil: under none.
func parseWrite(body []byte) *relayedOrder {
	var txn api.Transaction
	if json.Unmarshal(body, &txn) != nil {
		return nil
	}
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Put+w.Delete, "live/p/") {
			return nil // an election
		}
	}
	for _, g := range txn.Compares {
		if part, ok := strings.CutPrefix(g.Key, "live/p/"); ok {
			return &relayedOrder{action: leadership.Write, role: "partition/" + part, term: g.Version}
		}
	}
	return nil
}
