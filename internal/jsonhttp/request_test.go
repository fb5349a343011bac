package jsonhttp

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// listen listens on a free port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// serveEcho answers each request with its method, path and body, until the test ends.
func serveEcho(t *testing.T) *fasthttp.HostClient {
	t.Helper()
	listener := listen(t)
	echo := func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.RequestURI()) + " " + string(ctx.PostBody()))
	}
	go func() { _ = fasthttp.Serve(listener, echo) }()
	return &fasthttp.HostClient{Addr: listener.Addr().String()}
}

// TestDo guards against a request with a body that is sent as GET, and against a reply that
// reaches decode without its status or body.
func TestDo(t *testing.T) {
	host := serveEcho(t)
	for _, tc := range []struct {
		body any
		want string
	}{
		{nil, "GET /a?b=c "},
		{struct{ N int }{7}, `POST /a?b=c {"N":7}`},
	} {
		decode := func(status int, body []byte) error {
			if status != fasthttp.StatusConflict || string(body) != tc.want {
				t.Errorf("got status %d, body %q, want 409 and %q", status, body, tc.want)
			}
			return nil
		}
		if err := Do(host, Request{URI: "/a?b=c", Body: tc.body, Timeout: 5 * time.Second}, decode); err != nil {
			t.Error(err)
		}
	}
}

// TestUnanswered guards against a malformed reply that counts as a missing one. A malformed
// reply is logged; after a missing one the request is retried.
func TestUnanswered(t *testing.T) {
	host := serveEcho(t)
	malformed := errors.New("malformed")
	var unanswered *UnansweredError
	err := Do(host, Request{URI: "/", Timeout: 5 * time.Second}, func(int, []byte) error { return malformed })
	if !errors.Is(err, malformed) || errors.As(err, &unanswered) {
		t.Errorf("malformed reply: got error %v, want the error of decode", err)
	}
	unreachable := &fasthttp.HostClient{Addr: "127.0.0.1:1"}
	err = Do(unreachable, Request{URI: "/", Timeout: time.Second}, func(int, []byte) error { return nil })
	if !errors.As(err, &unanswered) {
		t.Errorf("no reply: got error %v, want an UnansweredError", err)
	}
}
