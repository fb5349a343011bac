// Package cloud is the client of the cloud's interface, within its budget.
package cloud

import (
	"context"
	"errors"
	"net/url"
	"time"

	"spurmoor/internal/message"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/leadership"
	"spurmoor/internal/settings"
)

// Client talks to the cloud.
type Client struct {
	http *fasthttp.HostClient
	reqs *rate.Limiter
	bad  func(who string, err error)
	gate leadership.Gate
}

// New makes a client. Controllers are rarely busy all at once, so each may use
// half of the budget; a 429 is asked again. bad is told of every answer that can't be read.
func New(set *settings.Settings, gate leadership.Gate, bad func(who string, err error)) *Client {
	share := set.Deployment.Cloud.RPS / 2
	return &Client{
		bad: bad, gate: gate,
		http: &fasthttp.HostClient{Addr: set.Endpoints.Cloud, MaxConns: set.Sockets.Cloud, ReadTimeout: 15 * time.Second,
			WriteTimeout: 3 * time.Second, MaxIdleConnDuration: 60 * time.Second, MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize: 4 << 20},
		reqs: rate.NewLimiter(rate.Limit(share), max(2, int(2*share))),
	}
}

// answerWait is the time for an answer, and for the budget before it.
const answerWait = 5 * time.Second

// pageSize is how many machines are listed at a time.
const pageSize = "500"

// Do carries out a call and gives the answer; status 0: none came.
func (c *Client) Do(call message.CloudCall) *message.CloudReply {
	r := &message.CloudReply{Call: call.Call}
	ctx, stop := context.WithTimeout(context.Background(), answerWait)
	defer stop()
	if c.reqs.Wait(ctx) != nil {
		r.Status = fasthttp.StatusTooManyRequests
		return r
	}
	req := request(call)
	switch call.Op {
	case message.OpLaunch:
		req.Before = func() error { return c.gate(call.Launch.Grant(), leadership.Launch) }
	case message.OpDelete:
		req.Before = func() error { return c.gate(call.Delete.Grant(), leadership.Delete) }
	}
	err := jsonhttp.Do(c.http, req, func(status int, body []byte) error { return decode(call, status, body, r) })
	var none *jsonhttp.NoAnswer
	var kept *jsonhttp.NotSent
	r.Unsent = errors.As(err, &kept)
	if err != nil && !errors.As(err, &none) {
		c.bad("cloud", err)
	}
	return r
}

// request gives the request of a call.
func request(call message.CloudCall) jsonhttp.Request {
	r := jsonhttp.Request{Wait: answerWait}
	switch call.Op {
	case message.OpReadCatalog:
		r.URI = "/catalog"
	case message.OpLaunch:
		r.URI, r.Body = "/machines", call.Launch.Body()
	case message.OpDelete:
		r.URI, r.Body = "/machines/delete", api.InstanceNames{Machines: call.Delete.Body()}
	case message.OpListInstances:
		query := url.Values{"Most": {pageSize}}
		if call.After != "" {
			query.Set("Since", call.After)
		}
		r.URI = "/machines?" + query.Encode()
	}
	return r
}

// decode reads an answer. One that can't be read counts as none.
func decode(call message.CloudCall, status int, body []byte, r *message.CloudReply) error {
	var names api.InstanceNames
	to := map[message.CloudOp]any{message.OpReadCatalog: &r.Catalog, message.OpLaunch: &names, message.OpListInstances: &r.Instances}[call.Op]
	if status == 200 && to != nil {
		if err := json.Unmarshal(body, to); err != nil {
			return err
		}
	}
	r.Launched = names.Machines
	r.Status = status
	return nil
}
