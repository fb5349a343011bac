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

// relay forwards requests from the processes to the simulated services and workers. It
// records each order with its sender and term. It can hold back the orders of one process
// and deliver them later, even after the sender's request has timed out.
type relay struct {
	cluster *loopbackCluster
	mu      sync.Mutex
	held    [processCount]map[leadership.Action]bool // actions whose orders are held back, by sender
	release chan struct{}                            // closed when the held orders are delivered
	orders  []*relayedOrder
}

// relayedOrder is an order as it passed through the relay.
type relayedOrder struct {
	sender      int
	action      leadership.Action
	role        string
	term        leadership.Term // for a command, its fencing token
	request     string          // name of the launch request, for a launch
	worker      string          // address of the worker, for a command
	arrivedAt   time.Time
	deliveredAt time.Time // zero until it is delivered
	held        bool
	tookEffect  bool
}

func newRelay(loopback *loopbackCluster) *relay {
	r := &relay{cluster: loopback, release: make(chan struct{})}
	for i := range r.held {
		r.held[i] = map[leadership.Action]bool{}
	}
	return r
}

// hold holds back the orders of a process that carry out one of the actions, from now on.
func (r *relay) hold(sender int, actions ...leadership.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, action := range actions {
		r.held[sender][action] = true
	}
}

// deliver delivers all held orders and holds back no further ones.
func (r *relay) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.held {
		clear(r.held[i])
	}
	close(r.release)
	r.release = make(chan struct{})
}

// ordersMatching returns copies of the orders that match, in the order of their arrival.
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

// handler returns a handler that passes the requests of a process on to next, the handler of
// a simulated service or worker.
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
		r.recordArrival(order)
		before := r.countMachines()
		answer := serveRecorded(next, request)
		r.recordOutcome(order, answer.Code, before)
		if answer.Code == 0 {
			panic(http.ErrAbortHandler)
		}
		maps.Copy(writer.Header(), answer.Header())
		writer.WriteHeader(answer.Code)
		_, _ = writer.Write(answer.Body.Bytes()) // the sender may have closed the connection
	}
}

// serveRecorded has a handler serve a request and returns the recorded response. Its code
// is 0 if the handler closes the connection.
func serveRecorded(serve http.HandlerFunc, request *http.Request) (answer *httptest.ResponseRecorder) {
	answer = httptest.NewRecorder() // a named result, so that it is returned after a panic too
	answer.Code = 0
	defer func() { _ = recover() }() // the handler panics to close the connection
	serve(answer, request)
	return answer
}

// recordArrival records an order. If it is held back, recordArrival returns only once the
// held orders are delivered.
func (r *relay) recordArrival(order *relayedOrder) {
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

// recordOutcome records when an order was delivered and whether it took effect. A launch or
// deletion took effect if the count of launched or terminated machines rose meanwhile.
func (r *relay) recordOutcome(order *relayedOrder, status int, before machineCounts) {
	after := r.countMachines()
	r.mu.Lock()
	defer r.mu.Unlock()
	order.deliveredAt = time.Now()
	switch order.action {
	case leadership.ActionLaunch:
		order.tookEffect = after.launched > before.launched
	case leadership.ActionDelete:
		order.tookEffect = after.terminated > before.terminated
	default:
		order.tookEffect = status == http.StatusOK
	}
}

// machineCounts holds how many machines were ever launched, and how many of them were
// terminated.
type machineCounts struct{ launched, terminated int }

func (r *relay) countMachines() machineCounts {
	var count machineCounts
	r.cluster.withLock(func() {
		for _, worker := range r.cluster.sim.workers {
			count.launched++
			if worker.terminated {
				count.terminated++
			}
		}
	})
	return count
}

// parseOrder returns the order in a request, or nil if the request is not an order.
func parseOrder(request *http.Request, body []byte) *relayedOrder {
	switch request.URL.Path {
	case "/txn":
		return parseWrite(body)
	case "/machines/delete":
		return &relayedOrder{action: leadership.ActionDelete}
	case "/commands":
		var commands api.CommandRequest
		if json.Unmarshal(body, &commands) != nil || commands.FencingToken == 0 {
			return nil
		}
		return &relayedOrder{action: leadership.ActionCommand, term: leadership.Term(commands.FencingToken), worker: request.Host}
	case "/machines":
		if request.Method == http.MethodPost {
			return parseLaunch(body)
		}
	}
	return nil
}

// parseLaunch returns the order to launch machines. Its role and term are part of the
// request's name.
func parseLaunch(body []byte) *relayedOrder {
	var launch api.LaunchRequest
	if json.Unmarshal(body, &launch) != nil {
		return nil
	}
	partition, rest, _ := strings.Cut(strings.TrimPrefix(launch.Name, "p"), "-")
	digits, _, _ := strings.Cut(rest, "-")
	term, _ := strconv.ParseUint(digits, 10, 64) // zero if the name holds no term
	return &relayedOrder{action: leadership.ActionLaunch, role: partitionRole(partition), term: leadership.Term(term), request: launch.Name}
}

// parseWrite returns the order to write. Its role and term are in the partition record that
// the transaction compares. It returns nil if the transaction compares none, or writes one.
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
			return &relayedOrder{action: leadership.ActionWrite, role: partitionRole(partition), term: leadership.Term(compare.Version)}
		}
	}
	return nil
}

// partitionRole returns the name of the role that leads the partition with this number.
func partitionRole(partition string) string { return "partition/" + partition }
