package server

import (
	"errors"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// Limits of a direct command to a worker. commandTimeout is for all of it, and shorter than
// what its connection may take to read.
const (
	commandTimeout          = 3 * time.Second
	workerReadTimeout       = 4 * time.Second
	workerWriteTimeout      = 2 * time.Second
	workerIdleTimeout       = time.Second
	maxConnectionsPerWorker = 2
	maxWorkerReply          = 1 << 20 // bytes; it is held in memory whole
)

// workerClient sends commands to workers directly, between their heartbeats.
type workerClient struct {
	http *fasthttp.Client
	// slots has room for one entry for each command in flight: a worker that hangs takes
	// one of them.
	slots     chan struct{}
	clock     timeSource
	gate      *orderGate
	malformed *malformedCounter
}

// newWorkerClient makes a client that has at most maxInFlight commands in flight.
func newWorkerClient(maxInFlight int, steady timeSource, gate *orderGate, malformed *malformedCounter) *workerClient {
	return &workerClient{
		slots:     make(chan struct{}, maxInFlight),
		clock:     steady,
		gate:      gate,
		malformed: malformed,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnectionsPerWorker,
			ReadTimeout:               workerReadTimeout,
			WriteTimeout:              workerWriteTimeout,
			MaxIdleConnDuration:       workerIdleTimeout,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxWorkerReply,
		},
	}
}

// send sends commands that were decided at the given time, and returns the worker's reply,
// whose status is 0 where none came.
func (c *workerClient) send(command message.SendCommands, decidedAt micros.Micros) message.CommandReply {
	reply := message.CommandReply{
		Machine:      command.Machine,
		FencingToken: command.Body.Body().FencingToken,
		StartsTasks:  command.StartsTasks,
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		// Unsent, and not unanswered: that once cost the machine a new fencing token.
		reply.Unsent = true
		return reply
	}
	if isStale(decidedAt, c.clock.Now()) {
		reply.Unsent = true // no connection for what would not leave
		return reply
	}
	c.post(command, decidedAt, &reply)
	return reply
}

// post makes the request of a command and fills its reply in.
func (c *workerClient) post(command message.SendCommands, decidedAt micros.Micros, reply *message.CommandReply) {
	body, err := json.Marshal(command.Body.Body())
	if err != nil {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + command.Addr + "/commands")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType(jsonhttp.ContentType)
	jsonhttp.SetCheckedBody(request, body, func() error { return c.mayLeave(command, decidedAt) })
	// Kept open they would take the sockets of the workers' heartbeats: one to each
	// machine within the seconds after a failover.
	request.SetConnectionClose()
	if err := c.http.DoTimeout(request, response, commandTimeout); err != nil {
		var notSent *jsonhttp.NotSentError
		reply.Unsent = errors.As(err, &notSent)
		return
	}
	heartbeat, err := api.ParseHeartbeat(response.Body())
	if err != nil {
		c.malformed.report(senderWorker, err)
		return
	}
	reply.Status, reply.Heartbeat = response.StatusCode(), heartbeat
}

// mayLeave tells whether a command may leave now that it has its connection.
func (c *workerClient) mayLeave(command message.SendCommands, decidedAt micros.Micros) error {
	if isStale(decidedAt, c.clock.Now()) {
		return errStaleDecision
	}
	return c.gate.admit(command.Body.Grant(), leadership.Command)
}
