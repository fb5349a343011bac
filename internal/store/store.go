// Package store is the client of the state service: it turns the core's
// calls into requests, within the settings' budgets.
package store

import (
	"context"
	"errors"
	"net/url"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/core"
	"spurmoor/internal/settings"
	"spurmoor/internal/wire"
)

// Client talks to the state service.
type Client struct {
	http   *fasthttp.HostClient
	urgent *fasthttp.HostClient // of its own: a renewal never waits for a connection
	reqs   *rate.Limiter
	writes *rate.Limiter
	bad    func(who string, err error)
}

// New makes a client. Each controller may use half of the requests and 0.8
// of the changes: they are rarely busy all at once, and a 429 is retried. The
// core spends less on what can wait. bad is told of every answer that can't be read.
func New(set *settings.Settings, bad func(who string, err error)) *Client {
	s := set.Facts.State
	client := func(conns int) *fasthttp.HostClient {
		return &fasthttp.HostClient{Addr: set.Endpoints.State, MaxConns: conns, MaxConnWaitTimeout: patience,
			ReadTimeout: 70 * time.Second, WriteTimeout: 3 * time.Second, MaxIdleConnDuration: 30 * time.Second,
			MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswer}
	}
	return &Client{
		http: client(set.Sockets.Store), urgent: client(set.Sockets.Lease),
		reqs:   rate.NewLimiter(rate.Limit(s.RPS/2), max(1, int(s.RPS/2))),
		bad:    bad,
		writes: rate.NewLimiter(rate.Limit(s.WriteRPS*0.8), max(s.TxnOps, int(s.WriteRPS*0.8))),
	}
}

// maxAnswer bounds an answer: it is held in memory whole.
const maxAnswer = 8 << 20

// patience is how long a call may wait for its budget before it counts as
// refused.
const patience = 1500 * time.Millisecond

func (c *Client) admit(call core.StoreCall) bool {
	if call.Urgent {
		c.reqs.Allow()
		return true
	}
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	if c.reqs.Wait(ctx) != nil {
		return false
	}
	return call.Txn == nil || c.writes.WaitN(ctx, len(call.Txn.Then)) == nil
}

// Do carries out a call and gives the answer; status 0: none came.
func (c *Client) Do(call core.StoreCall) *core.StoreReply {
	r := &core.StoreReply{Call: call.Call}
	if !c.admit(call) {
		r.Status = 429
		return r
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	wait := 2500 * time.Millisecond
	req.Header.SetMethod("GET")
	uri := ""
	var body any
	switch call.Op {
	case core.OpGet:
		uri = "/store/" + call.Key
	case core.OpList:
		uri = "/store?" + url.Values{"Under": {core.Live}, "Since": {call.Key}, "Most": {"500"}}.Encode()
		if call.Key == "" {
			uri = "/store?" + url.Values{"Under": {core.Live}, "Most": {"500"}}.Encode()
		}
	case core.OpTxn:
		uri, body = "/txn", call.Txn
	case core.OpHold:
		uri, body = "/holds", wire.Hold{TTLMs: call.TTLMs}
	case core.OpExtend:
		uri, body = "/holds/"+strconv.FormatUint(call.Lease, 10)+"/extend", struct{}{}
		wait = 1500 * time.Millisecond
	case core.OpFollow:
		uri = "/follow?" + url.Values{"Under": {core.Live}, "Since": {strconv.FormatUint(call.Since, 10)},
			"BlockMs": {strconv.Itoa(call.WaitMs)}}.Encode()
		wait += time.Duration(call.WaitMs) * time.Millisecond
	}
	req.SetRequestURI(uri)
	req.Header.SetHost(c.http.Addr)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return r
		}
		req.Header.SetMethod("POST")
		req.Header.SetContentType("application/json")
		req.SetBody(b)
	}
	client := c.http
	if call.Urgent {
		client = c.urgent
	}
	if err := client.DoTimeout(req, resp, wait); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			c.bad("state service", err)
			if call.Op == core.OpFollow {
				r.Status = 410 // asked again it would be larger still: read by pages instead
			}
		}
		return r
	}
	if err := decode(call, resp.StatusCode(), resp.Body(), r); err != nil {
		c.bad("state service", err)
	}
	return r
}

// decode reads an answer. One that can't be read counts as none.
func decode(call core.StoreCall, status int, body []byte, r *core.StoreReply) error {
	var to any
	var hold wire.HoldResult
	switch {
	case call.Op == core.OpTxn && (status == 200 || status == 409 || status == 400):
		to = &r.Txn
	case status != 200:
	case call.Op == core.OpGet:
		to = &r.Item
	case call.Op == core.OpList:
		to = &r.Items
	case call.Op == core.OpHold:
		to = &hold
	case call.Op == core.OpFollow:
		to = &r.Follow
	}
	if to != nil {
		if err := json.Unmarshal(body, to); err != nil {
			return err
		}
	}
	r.Lease = hold.Lease
	if status == 200 && (call.Op == core.OpTxn && r.Txn.Revision == 0 || call.Op == core.OpHold && r.Lease == 0) {
		return errors.New("an answer of 200 without its number")
	}
	r.Status = status
	return nil
}
