// Package store is the client of the key-value store. It sends the state machine's calls as
// HTTP requests, within the rate limits of the settings.
package store

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/settings"
)

// serviceName is the key-value store's name in the log.
const serviceName = "state service"

// waitTimeout is how long a call may wait for its budgets; after that it is not sent. It is
// also how long the call may then wait for a connection.
const waitTimeout = 1500 * time.Millisecond

// Limits on connections.
const (
	// readTimeout is long enough for a watch, which the store does not answer while nothing
	// changes.
	readTimeout  = 70 * time.Second
	writeTimeout = 3 * time.Second
	idleTimeout  = 30 * time.Second
	// maxReplyBytes limits the size of a reply, since a reply is held in memory as a whole.
	maxReplyBytes = 8 << 20
)

// Shares of the store's rate limits that each controller may use. Together they may exceed the
// limits, since the controllers are rarely all busy at once and a 429 is retried. The state
// machine uses a smaller share for calls that can wait.
const (
	requestShare = 0.5
	writeShare   = 0.8
)

// Client sends the state machine's calls to the key-value store. It is safe for concurrent
// use.
type Client struct {
	http       *jsonhttp.Client
	checkGrant leadership.GrantCheck
	// writeLimit is the budget for transactions. Each write costs one token.
	writeLimit *rate.Limiter
}

// New returns a client. checkGrant is called right before each transaction is sent, and
// onMalformed for each reply that can't be decoded.
func New(set *settings.Settings, checkGrant leadership.GrantCheck, onMalformed func(service string, err error)) *Client {
	limits := set.Deployment.Store
	requestsPerSecond, writesPerSecond := limits.RPS*requestShare, limits.WriteRPS*writeShare
	return &Client{
		checkGrant: checkGrant,
		// The burst must cover the largest transaction, or it could never be sent.
		writeLimit: rate.NewLimiter(rate.Limit(writesPerSecond), max(limits.MaxTransactionOps, int(writesPerSecond))),
		http: &jsonhttp.Client{
			Service: serviceName,
			Host:    newHostClient(set.Endpoints.State, set.Sockets.Store),
			// A separate host client has its own connections, so a lease renewal never
			// waits for one that other calls use.
			UrgentHost:    newHostClient(set.Endpoints.State, set.Sockets.Lease),
			RequestLimit:  rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
			BudgetTimeout: waitTimeout,
			OnMalformed:   onMalformed,
		},
	}
}

func newHostClient(addr string, maxConnections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxConnections,
		MaxConnWaitTimeout:        waitTimeout,
		ReadTimeout:               readTimeout,
		WriteTimeout:              writeTimeout,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReplyBytes,
	}
}

// Do sends a call and returns the reply. Its status is 0 if no reply came or it could not be
// decoded, 429 if the budgets did not allow the call, and 410 if the reply to a watch was too
// large.
func (c *Client) Do(ctx context.Context, call message.StoreCall) *message.StoreReply {
	reply := &message.StoreReply{CallID: call.CallID}
	decodeReply := func(status int, body []byte) error { return decode(call.Op, status, body, reply) }
	err := c.http.Do(ctx, c.request(call), decodeReply)
	var notSent *jsonhttp.NotSentError
	reply.Unsent = errors.As(err, &notSent)
	switch {
	case errors.Is(err, jsonhttp.ErrBudgetExhausted):
		reply.Status = fasthttp.StatusTooManyRequests
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.http.ReportMalformed(err)
		if call.Op == message.OpWatch {
			// The same watch would get an even larger reply next time. Gone makes the
			// state machine list all keys again, page by page.
			reply.Status = fasthttp.StatusGone
		}
	}
	return reply
}
