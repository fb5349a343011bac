// Package cloud is the client of the cloud's API. It keeps to the API's rate limit.
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

// serviceName is the cloud's name in the log.
const serviceName = "cloud"

// replyTimeout limits the time until the reply. It is also how long a request may wait for
// its budget before it is sent.
const replyTimeout = 5 * time.Second

// Limits on connections. readTimeout is longer than replyTimeout, so replyTimeout is the one
// that takes effect.
const (
	readTimeout  = 15 * time.Second
	writeTimeout = 3 * time.Second
	idleTimeout  = 60 * time.Second
	// maxReplyBytes limits the size of a reply, since a reply is held in memory as a whole.
	maxReplyBytes = 4 << 20
)

// The controllers share the cloud's rate limit. They are rarely all busy at once, so each may
// use half of it, and a 429 is retried. A controller's unused requests accumulate for
// burstSeconds.
const (
	assumedBusyControllers = 2
	burstSeconds           = 2
	minBurst               = 2
)

// pageSize is the largest number of machines on a page of a list.
const pageSize = 500

// Client sends the state machine's calls to the cloud. It is safe for concurrent use.
type Client struct {
	http       *jsonhttp.Client
	checkGrant leadership.GrantCheck
}

// New returns a client. checkGrant is called right before each launch and delete is sent, and
// onMalformed for each reply that can't be decoded.
func New(set *settings.Settings, checkGrant leadership.GrantCheck, onMalformed func(service string, err error)) *Client {
	requestsPerSecond := set.Deployment.Cloud.RPS / assumedBusyControllers
	burst := max(minBurst, int(burstSeconds*requestsPerSecond))
	return &Client{
		checkGrant: checkGrant,
		http: &jsonhttp.Client{
			Service:       serviceName,
			RequestLimit:  rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
			BudgetTimeout: replyTimeout,
			OnMalformed:   onMalformed,
			Host: &fasthttp.HostClient{
				Addr:                      set.Endpoints.Cloud,
				MaxConns:                  set.Sockets.Cloud,
				ReadTimeout:               readTimeout,
				WriteTimeout:              writeTimeout,
				MaxIdleConnDuration:       idleTimeout,
				MaxIdemponentCallAttempts: 1,
				MaxResponseBodySize:       maxReplyBytes,
			},
		},
	}
}

// Do sends a call and returns the reply. Its status is 0 if no reply came or it could not be
// decoded, and 429 if the budget did not allow the call.
func (c *Client) Do(ctx context.Context, call message.CloudCall) *message.CloudReply {
	reply := &message.CloudReply{CallID: call.CallID}
	decodeReply := func(status int, body []byte) error { return decode(call.Op, status, body, reply) }
	err := c.http.Do(ctx, c.request(call), decodeReply)
	var notSent *jsonhttp.NotSentError
	reply.Unsent = errors.As(err, &notSent)
	if errors.Is(err, jsonhttp.ErrBudgetExhausted) {
		reply.Status = fasthttp.StatusTooManyRequests
	}
	return reply
}

// request returns the HTTP request for a call.
func (c *Client) request(call message.CloudCall) jsonhttp.Request {
	request := jsonhttp.Request{Timeout: replyTimeout}
	switch call.Op {
	case message.OpReadCatalog:
		request.URI = "/catalog"
	case message.OpLaunch:
		request.URI = "/machines"
		request.Body = call.Launch.Body()
		request.BeforeSend = func() error { return c.checkGrant(call.Launch.Grant(), leadership.ActionLaunch) }
	case message.OpDelete:
		request.URI = "/machines/delete"
		request.Body = api.InstanceNames{Machines: call.Delete.Body()}
		request.BeforeSend = func() error { return c.checkGrant(call.Delete.Grant(), leadership.ActionDelete) }
	case message.OpListInstances:
		query := url.Values{"Most": {strconv.Itoa(pageSize)}}
		if call.After != "" {
			query.Set("Since", call.After)
		}
		request.URI = "/machines?" + query.Encode()
	}
	return request
}

// decode decodes an HTTP reply. It sets the status last: a reply that can't be decoded counts
// as no reply, so that the outcome of the call stays unknown.
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

// decodeTarget returns what the body of a reply is decoded into. Nil means that the body is
// ignored.
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
