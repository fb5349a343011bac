// Package store is the client of the key-value store: it turns the state machine's calls
// into HTTP requests, within the budgets of the settings.
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

// serviceName names the key-value store in the log.
const serviceName = "state service"

// budgetWait is how long a call may wait for its budget before it counts as refused, and
// for a connection after that.
const budgetWait = 1500 * time.Millisecond

// The connections' limits.
const (
	// readTimeout has room for a watch, which the store leaves unanswered while nothing
	// changes.
	readTimeout  = 70 * time.Second
	writeTimeout = 3 * time.Second
	idleTimeout  = 30 * time.Second
	// maxReply bounds a reply in bytes: it is held in memory whole.
	maxReply = 8 << 20
)

// Each controller may use half of the store's requests and 0.8 of its writes: they are
// rarely busy all at once, and a 429 is retried. The state machine spends less on what can
// wait.
const (
	requestShare = 0.5
	writeShare   = 0.8
)

// Client sends the state machine's calls to the key-value store.
type Client struct {
	http *jsonhttp.Client
	gate leadership.Gate
	// writeLimit is the budget of transactions, one token for each write.
	writeLimit *rate.Limiter
}

// New makes a client. gate is asked before each transaction leaves; onMalformed is called
// with every reply that can't be read.
func New(set *settings.Settings, gate leadership.Gate, onMalformed func(service string, err error)) *Client {
	limits := set.Deployment.Store
	requestsPerSecond, writesPerSecond := limits.RPS*requestShare, limits.WriteRPS*writeShare
	return &Client{
		gate: gate,
		// The largest transaction must fit into the burst, or it would never leave.
		writeLimit: rate.NewLimiter(rate.Limit(writesPerSecond), max(limits.MaxTransactionOps, int(writesPerSecond))),
		http: &jsonhttp.Client{
			Service: serviceName,
			Host:    newHost(set.Endpoints.State, set.Sockets.Store),
			// Of its own: a lease renewal never waits for a connection.
			UrgentHost:   newHost(set.Endpoints.State, set.Sockets.Lease),
			RequestLimit: rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
			BudgetWait:   budgetWait,
			OnMalformed:  onMalformed,
		},
	}
}

func newHost(addr string, maxConnections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxConnections,
		MaxConnWaitTimeout:        budgetWait,
		ReadTimeout:               readTimeout,
		WriteTimeout:              writeTimeout,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReply,
	}
}

// Do carries out a call and returns its reply, whose status is 0 where none came and 429
// where the budget did not allow the call.
func (c *Client) Do(ctx context.Context, call message.StoreCall) *message.StoreReply {
	reply := &message.StoreReply{CallID: call.CallID}
	read := func(status int, body []byte) error { return decode(call.Op, status, body, reply) }
	err := c.http.Do(ctx, c.request(call), read)
	var notSent *jsonhttp.NotSentError
	reply.Unsent = errors.As(err, &notSent)
	switch {
	case errors.Is(err, jsonhttp.ErrBudgetExhausted):
		reply.Status = fasthttp.StatusTooManyRequests
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.http.ReportMalformed(err)
		if call.Op == message.OpWatch {
			// Asked again it would be larger still: Gone has everything listed by pages.
			reply.Status = fasthttp.StatusGone
		}
	}
	return reply
}
