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

// Limits on a direct command to a worker. commandTimeout covers the whole exchange and is
// shorter than workerReadTimeout, so it is the one that takes effect.
const (
	commandTimeout          = 3 * time.Second
	workerReadTimeout       = 4 * time.Second
	workerWriteTimeout      = 2 * time.Second
	workerIdleTimeout       = time.Second
	maxConnectionsPerWorker = 2
	maxWorkerReplyBytes     = 1 << 20 // a reply is held in memory as a whole
)

// workerClient sends commands to workers directly, between their heartbeats.
type workerClient struct {
	http *fasthttp.Client
	// slots is a semaphore with one place for each command in flight. A command to a worker
	// that hangs occupies its place until commandTimeout. While all places are occupied,
	// further commands are not sent.
	slots     chan struct{}
	clock     timeSource
	grants    *grantChecker
	malformed *malformedCounter
}

// newWorkerClient returns a client that has at most maxInFlight commands in flight.
func newWorkerClient(maxInFlight int, clock timeSource, grants *grantChecker, malformed *malformedCounter) *workerClient {
	return &workerClient{
		slots:     make(chan struct{}, maxInFlight),
		clock:     clock,
		grants:    grants,
		malformed: malformed,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnectionsPerWorker,
			ReadTimeout:               workerReadTimeout,
			WriteTimeout:              workerWriteTimeout,
			MaxIdleConnDuration:       workerIdleTimeout,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxWorkerReplyBytes,
		},
	}
}

// send sends commands that were decided at the given time, and returns the worker's reply.
// Its status is 0 if none came. It is marked Unsent if nothing was sent.
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
		// Mark it Unsent: a start without a reply has an unknown outcome, which costs the
		// machine a new fencing token.
		reply.Unsent = true
		return reply
	}
	if isStale(decidedAt, c.clock.Now()) {
		reply.Unsent = true // checkBeforeSend would refuse it anyway: don't open a connection
		return reply
	}
	c.post(command, decidedAt, &reply)
	return reply
}

// post sends the HTTP request for the commands and fills in the reply.
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
	jsonhttp.SetCheckedBody(request, body, func() error { return c.checkBeforeSend(command, decidedAt) })
	// After a failover one connection to each machine is opened within seconds. Kept
	// open, they would take the sockets that the workers' heartbeats need.
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

// checkBeforeSend returns an error if the commands must not be sent any more. It is called
// once the connection is open, since the process may have been paused while it connected.
func (c *workerClient) checkBeforeSend(command message.SendCommands, decidedAt micros.Micros) error {
	if isStale(decidedAt, c.clock.Now()) {
		return errStaleDecision
	}
	return c.grants.check(command.Body.Grant(), leadership.ActionCommand)
}
