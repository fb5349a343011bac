// Package store is the client of the state service: it turns the core's
// calls into requests, within the settings' budgets.
package store

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"time"

	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/settings"
)

// Client talks to the state service.
type Client struct {
	http   *fasthttp.HostClient
	urgent *fasthttp.HostClient // of its own: a renewal never waits for a connection
	reqs   *rate.Limiter
	writes *rate.Limiter
	bad    func(who string, err error)
	gate   leadership.Gate
}

// New makes a client. Each controller may use half of the requests and 0.8
// of the changes: they are rarely busy all at once, and a 429 is retried. The
// core spends less on what can wait. bad is told of every answer that can't be read.
func New(set *settings.Settings, gate leadership.Gate, bad func(who string, err error)) *Client {
	s := set.Deployment.Store
	client := func(conns int) *fasthttp.HostClient {
		return &fasthttp.HostClient{Addr: set.Endpoints.State, MaxConns: conns, MaxConnWaitTimeout: patience,
			ReadTimeout: 70 * time.Second, WriteTimeout: 3 * time.Second, MaxIdleConnDuration: 30 * time.Second,
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswer}
	}
	return &Client{
		http: client(set.Sockets.Store), urgent: client(set.Sockets.Lease),
		reqs:   rate.NewLimiter(rate.Limit(s.RPS/2), max(1, int(s.RPS/2))),
		bad:    bad,
		gate:   gate,
		writes: rate.NewLimiter(rate.Limit(s.WriteRPS*0.8), max(s.MaxTransactionOps, int(s.WriteRPS*0.8))),
	}
}

// maxAnswer bounds an answer: it is held in memory whole.
const maxAnswer = 8 << 20

// patience is how long a call may wait for its budget before it counts as
// refused.
const patience = 1500 * time.Millisecond

func (c *Client) admit(call message.StoreCall) bool {
	if call.Urgent {
		c.reqs.Allow()
		return true
	}
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	if c.reqs.Wait(ctx) != nil {
		return false
	}
	return call.Op != message.OpTransaction || c.writes.WaitN(ctx, len(call.Transaction.Body().Writes)) == nil
}

// Do carries out a call and gives the answer; status 0: none came.
func (c *Client) Do(call message.StoreCall) *message.StoreReply {
	r := &message.StoreReply{Call: call.Call}
	if !c.admit(call) {
		r.Status = fasthttp.StatusTooManyRequests
		return r
	}
	client := c.http
	if call.Urgent {
		client = c.urgent
	}
	req := request(call)
	if call.Op == message.OpTransaction {
		req.Before = func() error { return c.gate(call.Transaction.Grant(), leadership.Write) }
	}
	err := jsonhttp.Do(client, req, func(status int, body []byte) error { return decode(call, status, body, r) })
	var none *jsonhttp.NoAnswer
	var kept *jsonhttp.NotSent
	r.Unsent = errors.As(err, &kept)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		c.bad("state service", err)
		if call.Op == message.OpWatch {
			r.Status = fasthttp.StatusGone // asked again it would be larger still: read by pages instead
		}
	case err != nil && !errors.As(err, &none):
		c.bad("state service", err)
	}
	return r
}

// Time for an answer: a renewal that takes longer is sent again.
const (
	answerWait  = 2500 * time.Millisecond
	renewalWait = 1500 * time.Millisecond
)

// pageSize is how many keys are listed at a time.
const pageSize = "500"

// request gives the request of a call.
func request(call message.StoreCall) jsonhttp.Request {
	r := jsonhttp.Request{Wait: answerWait}
	switch call.Op {
	case message.OpGet:
		r.URI = "/store/" + call.Key
	case message.OpList:
		query := url.Values{"Under": {records.LivePrefix}, "Most": {pageSize}}
		if call.Key != "" {
			query.Set("Since", call.Key)
		}
		r.URI = "/store?" + query.Encode()
	case message.OpTransaction:
		r.URI, r.Body = "/txn", call.Transaction.Body()
	case message.OpGrantLease:
		r.URI, r.Body = "/holds", api.LeaseRequest{TTLMs: call.TTLMs}
	case message.OpRenewLease:
		r.URI, r.Body = "/holds/"+strconv.FormatUint(call.Lease, 10)+"/extend", struct{}{}
		r.Wait = renewalWait
	case message.OpWatch:
		query := url.Values{"Under": {records.LivePrefix}, "Since": {strconv.FormatUint(call.Since, 10)}, "BlockMs": {strconv.Itoa(call.WaitMs)}}
		r.URI = "/follow?" + query.Encode()
		r.Wait += time.Duration(call.WaitMs) * time.Millisecond
	}
	return r
}

// decode reads an answer. One that can't be read counts as none.
func decode(call message.StoreCall, status int, body []byte, r *message.StoreReply) error {
	var hold api.LeaseResponse
	if to := target(call.Op, status, r, &hold); to != nil {
		if err := json.Unmarshal(body, to); err != nil {
			return err
		}
	}
	r.Lease = hold.Lease
	unnumbered := call.Op == message.OpTransaction && r.Transaction.Revision == 0 || call.Op == message.OpGrantLease && r.Lease == 0
	if status == fasthttp.StatusOK && unnumbered {
		return errors.New("an answer of 200 without its number")
	}
	r.Status = status
	return nil
}

// target is what an answer's body is read into; nil: it is not looked at.
func target(op message.StoreOp, status int, r *message.StoreReply, hold *api.LeaseResponse) any {
	if op == message.OpTransaction && (status == fasthttp.StatusConflict || status == fasthttp.StatusBadRequest) {
		return &r.Transaction
	}
	if status != fasthttp.StatusOK {
		return nil
	}
	switch op {
	case message.OpTransaction:
		return &r.Transaction
	case message.OpGet:
		return &r.Item
	case message.OpList:
		return &r.Page
	case message.OpGrantLease:
		return hold
	case message.OpWatch:
		return &r.Watch
	}
	return nil
}
