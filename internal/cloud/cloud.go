// Package cloud is the client of the cloud's interface, within its budget.
package cloud

import (
	"context"
	"net/url"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"spurmoor/internal/core"
	"spurmoor/internal/settings"
	"spurmoor/internal/wire"
)

// Client talks to the cloud.
type Client struct {
	http *fasthttp.HostClient
	reqs *rate.Limiter
	bad  func(who string, err error)
}

// New makes a client. Controllers are rarely busy all at once, so each may use
// half of the budget; a 429 is asked again. bad is told of every answer that can't be read.
func New(set *settings.Settings, bad func(who string, err error)) *Client {
	share := set.Facts.Cloud.RPS / 2
	return &Client{
		bad: bad,
		http: &fasthttp.HostClient{Addr: set.Endpoints.Cloud, MaxConns: set.Sockets.Cloud, ReadTimeout: 15 * time.Second,
			WriteTimeout: 3 * time.Second, MaxIdleConnDuration: 60 * time.Second, MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize: 4 << 20},
		reqs: rate.NewLimiter(rate.Limit(share), max(2, int(2*share))),
	}
}

// Do carries out a call and gives the answer; status 0: none came.
func (c *Client) Do(call core.CloudCall) *core.CloudReply {
	r := &core.CloudReply{Call: call.Call}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	if c.reqs.Wait(ctx) != nil {
		r.Status = 429
		return r
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := ""
	var body any
	switch call.Op {
	case core.OpCatalog:
		uri = "/catalog"
	case core.OpRent:
		uri, body = "/machines", call.Rent
	case core.OpDelete:
		uri, body = "/machines/delete", wire.Names{Machines: call.Names}
	case core.OpMachines:
		q := url.Values{"Most": {"500"}}
		if call.After != "" {
			q.Set("Since", call.After)
		}
		uri = "/machines?" + q.Encode()
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
	if err := c.http.DoTimeout(req, resp, 5*time.Second); err != nil {
		return r
	}
	if err := decode(call, resp.StatusCode(), resp.Body(), r); err != nil {
		c.bad("cloud", err)
	}
	return r
}

// decode reads an answer. One that can't be read counts as none.
func decode(call core.CloudCall, status int, body []byte, r *core.CloudReply) error {
	var names wire.Names
	to := map[core.CloudOp]any{core.OpCatalog: &r.Catalog, core.OpRent: &names, core.OpMachines: &r.Machines}[call.Op]
	if status == 200 && to != nil {
		if err := json.Unmarshal(body, to); err != nil {
			return err
		}
	}
	r.Names = names.Machines
	r.Status = status
	return nil
}
