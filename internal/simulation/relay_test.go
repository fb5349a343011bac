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

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
)

// relay stands between the processes and the stand-ins: it notes each order with its
// sender and term, and can hold back what one process sends, to deliver it later, though
// its sender has given up by then.
type relay struct {
	l       *loopback
	mu      sync.Mutex
	holds   [3]map[leadership.Action]bool
	release chan struct{} // closed when what is held is delivered
	orders  []*relayed
}

// relayed is an order as it passed through the relay.
type relayed struct {
	sender    int
	action    leadership.Action
	duty      string
	term      uint64 // of a command: its token
	request   string
	worker    string
	came      time.Time
	delivered time.Time // zero: not yet
	held      bool
	took      bool // it changed something
}

func newRelay(l *loopback) *relay {
	r := &relay{l: l, release: make(chan struct{})}
	for i := range r.holds {
		r.holds[i] = map[leadership.Action]bool{}
	}
	return r
}

// hold has orders of a process held back from now on.
func (r *relay) hold(node int, actions ...leadership.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range actions {
		r.holds[node][a] = true
	}
}

// deliver delivers what is held and holds nothing more.
func (r *relay) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.holds {
		clear(r.holds[i])
	}
	close(r.release)
	r.release = make(chan struct{})
}

// seen gives the orders so far that match.
func (r *relay) seen(match func(o *relayed) bool) []relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []relayed
	for _, o := range r.orders {
		if match(o) {
			list = append(list, *o)
		}
	}
	return list
}

// via passes a process's requests on to a stand-in.
func (r *relay) via(node int, next http.HandlerFunc) http.HandlerFunc {
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
		before := r.machines()
		answer := httptest.NewRecorder()
		func() {
			defer func() { _ = recover() }() // the stand-in hangs up
			answer.Code = 0
			next(answer, req)
		}()
		r.left(o, answer.Code, before)
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
func (r *relay) arrive(o *relayed) {
	r.mu.Lock()
	o.came = time.Now()
	r.orders = append(r.orders, o)
	o.held = r.holds[o.sender][o.action]
	release := r.release
	r.mu.Unlock()
	if o.held {
		<-release
	}
}

// left notes what became of an order.
func (r *relay) left(o *relayed, status int, before fleetCount) {
	after := r.machines()
	r.mu.Lock()
	defer r.mu.Unlock()
	o.delivered = time.Now()
	switch o.action {
	case leadership.Launch:
		o.took = after.rented > before.rented
	case leadership.Delete:
		o.took = after.gone > before.gone
	default:
		o.took = status == http.StatusOK
	}
}

// fleetCount counts machines.
type fleetCount struct{ rented, gone int }

func (r *relay) machines() fleetCount {
	var n fleetCount
	r.l.do(func() {
		for _, wk := range r.l.w.workers {
			n.rented++
			if wk.gone {
				n.gone++
			}
		}
	})
	return n
}

// parseOrder reads which order a request is; nil: it is none.
func parseOrder(req *http.Request, body []byte) *relayed {
	switch req.URL.Path {
	case "/txn":
		return parseWrite(body)
	case "/machines/delete":
		return &relayed{action: leadership.Delete}
	case "/commands":
		var c api.CommandRequest
		if json.Unmarshal(body, &c) != nil || c.FencingToken == 0 {
			return nil
		}
		return &relayed{action: leadership.Command, term: c.FencingToken, worker: req.Host}
	}
	var rent api.LaunchRequest
	if req.URL.Path != "/machines" || req.Method != http.MethodPost || json.Unmarshal(body, &rent) != nil {
		return nil
	}
	part, rest, _ := strings.Cut(strings.TrimPrefix(rent.Name, "p"), "-")
	term, _, _ := strings.Cut(rest, "-")
	n, _ := strconv.ParseUint(term, 10, 64)
	return &relayed{action: leadership.Launch, duty: "partition/" + part, term: n, request: rent.Name}
}

// parseWrite reads under which duty a transaction is, which it guards; nil: under none.
func parseWrite(body []byte) *relayed {
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
			return &relayed{action: leadership.Write, duty: "partition/" + part, term: g.Version}
		}
	}
	return nil
}
