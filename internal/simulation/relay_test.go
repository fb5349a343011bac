package simulation

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
)

// relay stands between the processes and the stand-ins: it notes each order with its
// sender and term, and can hold back what one process sends, to deliver it later, though
// its sender has given up by then.
type relay struct {
	loopback *loopback
	mu       sync.Mutex
	held     [controllerCount]map[leadership.Action]bool // what is held back, by sender
	release  chan struct{}                               // closed when what is held is delivered
	orders   []*relayedOrder
}

// relayedOrder is an order as it passed through the relay.
type relayedOrder struct {
	sender      int
	action      leadership.Action
	role        string
	term        leadership.Term // of a command: its fencing token
	request     string          // name of a launch request
	worker      string          // address of the worker that is commanded
	arrivedAt   time.Time
	deliveredAt time.Time // zero: not yet
	held        bool
	tookEffect  bool
}

func newRelay(loopback *loopback) *relay {
	r := &relay{loopback: loopback, release: make(chan struct{})}
	for i := range r.held {
		r.held[i] = map[leadership.Action]bool{}
	}
	return r
}

// hold has orders of a process held back from now on.
func (r *relay) hold(sender int, actions ...leadership.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range actions {
		r.held[sender][action] = true
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

// ordersMatching returns the orders so far that match.
func (r *relay) ordersMatching(matches func(order *relayedOrder) bool) []relayedOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var matching []relayedOrder
	for _, order := range r.orders {
		if matches(order) {
			matching = append(matching, *order)
		}
	}
	return matching
}

// handler passes a process's requests on to a stand-in.
func (r *relay) handler(sender int, next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		order := parseOrder(request, body)
		if order == nil {
			next(writer, request)
			return
		}
		order.sender = sender
		r.noteArrival(order)
		before := r.countMachines()
		answer := serveRecorded(next, request)
		r.noteOutcome(order, answer.Code, before)
		if answer.Code == 0 {
			panic(http.ErrAbortHandler)
		}
		maps.Copy(writer.Header(), answer.Header())
		writer.WriteHeader(answer.Code)
		_, _ = writer.Write(answer.Body.Bytes()) // its sender may have given up
	}
}

// serveRecorded has a stand-in serve a request, and returns its answer; code 0 if it closes
// the connection.
func serveRecorded(serve http.HandlerFunc, request *http.Request) (answer *httptest.ResponseRecorder) {
	answer = httptest.NewRecorder() // a named result, for it must outlast a panic
	answer.Code = 0
	defer func() { _ = recover() }() // it closes the connection by a panic
	serve(answer, request)
	return answer
}

// noteArrival notes an order, and waits while its sender's are held back.
func (r *relay) noteArrival(order *relayedOrder) {
	r.mu.Lock()
	order.arrivedAt = time.Now()
	r.orders = append(r.orders, order)
	order.held = r.held[order.sender][order.action]
	release := r.release
	r.mu.Unlock()
	if order.held {
		<-release
	}
}

// noteOutcome notes what became of an order.
func (r *relay) noteOutcome(order *relayedOrder, status int, before fleetCount) {
	after := r.countMachines()
	r.mu.Lock()
	defer r.mu.Unlock()
	order.deliveredAt = time.Now()
	switch order.action {
	case leadership.Launch:
		order.tookEffect = after.launched > before.launched
	case leadership.Delete:
		order.tookEffect = after.gone > before.gone
	default:
		order.tookEffect = status == http.StatusOK
	}
}

// fleetCount counts machines.
type fleetCount struct{ launched, gone int }

func (r *relay) countMachines() fleetCount {
	var count fleetCount
	r.loopback.locked(func() {
		for _, worker := range r.loopback.sim.workers {
			count.launched++
			if worker.terminated {
				count.gone++
			}
		}
	})
	return count
}

// parseOrder reads which order a request is; nil: it is none.
func parseOrder(request *http.Request, body []byte) *relayedOrder {
	switch request.URL.Path {
	case "/txn":
		return parseWrite(body)
	case "/machines/delete":
		return &relayedOrder{action: leadership.Delete}
	case "/commands":
		var commands api.CommandRequest
		if json.Unmarshal(body, &commands) != nil || commands.FencingToken == 0 {
			return nil
		}
		return &relayedOrder{action: leadership.Command, term: leadership.Term(commands.FencingToken), worker: request.Host}
	case "/machines":
		if request.Method == http.MethodPost {
			return parseLaunch(body)
		}
	}
	return nil
}

// parseLaunch reads under which role and term a launch is: its name tells both.
func parseLaunch(body []byte) *relayedOrder {
	var launch api.LaunchRequest
	if json.Unmarshal(body, &launch) != nil {
		return nil
	}
	partition, rest, _ := strings.Cut(strings.TrimPrefix(launch.Name, "p"), "-")
	digits, _, _ := strings.Cut(rest, "-")
	term, _ := strconv.ParseUint(digits, 10, 64) // zero if its name tells none
	return &relayedOrder{action: leadership.Launch, role: partitionRole(partition), term: leadership.Term(term), request: launch.Name}
}

// parseWrite reads under which role a transaction is, which it compares; nil: under none.
func parseWrite(body []byte) *relayedOrder {
	var transaction api.Transaction
	if json.Unmarshal(body, &transaction) != nil {
		return nil
	}
	for _, write := range transaction.Writes {
		if strings.HasPrefix(write.Put+write.Delete, records.PartitionPrefix) {
			return nil // an election
		}
	}
	for _, compare := range transaction.Compares {
		if partition, ok := strings.CutPrefix(compare.Key, records.PartitionPrefix); ok {
			return &relayedOrder{action: leadership.Write, role: partitionRole(partition), term: leadership.Term(compare.Version)}
		}
	}
	return nil
}

// partitionRole returns the name of the role of leading a partition, whose number is given
// as text.
func partitionRole(partition string) string { return "partition/" + partition }
