// Package cloud is the client of the cloud's interface, within its budget of requests.
package cloud

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/settings"
)

// serviceName names the cloud in the log.
const serviceName = "cloud"

// replyTimeout is the time for a reply, and for the budget before it.
const replyTimeout = 5 * time.Second

// The connections' limits. readTimeout is longer than replyTimeout, which so governs.
const (
	readTimeout  = 15 * time.Second
	writeTimeout = 3 * time.Second
	idleTimeout  = 60 * time.Second
	// maxReply bounds a reply in bytes: it is held in memory whole.
	maxReply = 4 << 20
)

// Controllers are rarely busy all at once, so each may use half of the cloud's budget, and
// saves up what it does not use for burstSeconds. A 429 is retried.
const (
	controllersPerBudget = 2
	burstSeconds         = 2
	minBurst             = 2
)

// pageSize is how many machines are listed at a time.
const pageSize = 500

// Client sends the state machine's calls to the cloud.
type Client struct {
	http *jsonhttp.Client
	gate leadership.Gate
}

// New makes a client. gate is asked before each launch and delete leaves; onMalformed is
// called with every reply that can't be read.
func New(set *settings.Settings, gate leadership.Gate, onMalformed func(service string, err error)) *Client {
	requestsPerSecond := set.Deployment.Cloud.RPS / controllersPerBudget
	burst := max(minBurst, int(burstSeconds*requestsPerSecond))
	return &Client{
		gate: gate,
		http: &jsonhttp.Client{
			Service:      serviceName,
			RequestLimit: rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
			BudgetWait:   replyTimeout,
			OnMalformed:  onMalformed,
			Host: &fasthttp.HostClient{
				Addr:                      set.Endpoints.Cloud,
				MaxConns:                  set.Sockets.Cloud,
				ReadTimeout:               readTimeout,
				WriteTimeout:              writeTimeout,
				MaxIdleConnDuration:       idleTimeout,
				MaxIdemponentCallAttempts: 1,
				MaxResponseBodySize:       maxReply,
			},
		},
	}
}

// Do carries out a call and returns its reply, whose status is 0 where none came and 429
// where the budget did not allow the call.
func (c *Client) Do(ctx context.Context, call message.CloudCall) *message.CloudReply {
	reply := &message.CloudReply{CallID: call.CallID}
	read := func(status int, body []byte) error { return decode(call.Op, status, body, reply) }
	err := c.http.Do(ctx, c.request(call), read)
	var notSent *jsonhttp.NotSentError
	reply.Unsent = errors.As(err, &notSent)
	if errors.Is(err, jsonhttp.ErrBudgetExhausted) {
		reply.Status = fasthttp.StatusTooManyRequests
	}
	return reply
}

// request gives the HTTP request of a call.
func (c *Client) request(call message.CloudCall) jsonhttp.Request {
	request := jsonhttp.Request{Timeout: replyTimeout}
	switch call.Op {
	case message.OpReadCatalog:
		request.URI = "/catalog"
	case message.OpLaunch:
		request.URI = "/machines"
		request.Body = call.Launch.Body()
		request.BeforeSend = func() error { return c.gate(call.Launch.Grant(), leadership.Launch) }
	case message.OpDelete:
		request.URI = "/machines/delete"
		request.Body = api.InstanceNames{Machines: call.Delete.Body()}
		request.BeforeSend = func() error { return c.gate(call.Delete.Grant(), leadership.Delete) }
	case message.OpListInstances:
		query := url.Values{"Most": {strconv.Itoa(pageSize)}}
		if call.After != "" {
			query.Set("Since", call.After)
		}
		request.URI = "/machines?" + query.Encode()
	}
	return request
}

// decode reads an HTTP reply. The status is set last: a reply that can't be read counts as
// none, so that the outcome of the call stays unknown.
func decode(operation message.CloudOp, status int, body []byte, reply *message.CloudReply) error {
	var launched api.InstanceNames
	if target := decodeTarget(operation, reply, &launched); status == fasthttp.StatusOK && target != nil {
		if err := json.Unmarshal(body, target); err != nil {
			return &jsonhttp.MalformedError{Cause: err}
		}
	}
	reply.Launched = launched.Machines
	reply.Status = status
	return nil
}

// decodeTarget is what the body of a call's reply is read into; nil: it is not looked at.
func decodeTarget(operation message.CloudOp, reply *message.CloudReply, launched *api.InstanceNames) any {
	switch operation {
	case message.OpReadCatalog:
		return &reply.Catalog
	case message.OpLaunch:
		return launched
	case message.OpListInstances:
		return &reply.Instances
	default:
		return nil
	}
}
