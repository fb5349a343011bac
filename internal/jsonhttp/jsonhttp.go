// Package jsonhttp makes HTTP requests with JSON bodies, for the clients of the
// state service and the cloud.
package jsonhttp

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"
)

// Request is a request: GET, or POST where it has a body.
type Request struct {
	URI  string
	Body any
	Wait time.Duration // for the whole answer
}

// Do makes a request and hands status and body of the answer to read, which must
// not keep the body.
func Do(client *fasthttp.HostClient, r Request, read func(status int, body []byte) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(r.URI)
	req.Header.SetHost(client.Addr)
	if r.Body != nil {
		body, err := json.Marshal(r.Body)
		if err != nil {
			return err
		}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := client.DoTimeout(req, resp, r.Wait); err != nil {
		return &NoAnswer{err}
	}
	return read(resp.StatusCode(), resp.Body())
}

// NoAnswer says that no answer came, and why.
type NoAnswer struct{ Cause error }

func (e *NoAnswer) Error() string { return "no answer: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NoAnswer) Unwrap() error { return e.Cause }
