package jsonhttp

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// serve answers each request with its method, path and body, until the test ends.
func serve(t *testing.T) *fasthttp.HostClient {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.RequestURI()) + " " + string(ctx.PostBody()))
		})
	}()
	return &fasthttp.HostClient{Addr: ln.Addr().String()}
}

// TestDo guards against a body sent by GET, and an answer without its status.
func TestDo(t *testing.T) {
	client := serve(t)
	for _, c := range []struct {
		body any
		want string
	}{
		{nil, "GET /a?b=c "},
		{struct{ N int }{7}, `POST /a?b=c {"N":7}`},
	} {
		err := Do(client, Request{URI: "/a?b=c", Body: c.body, Wait: 5 * time.Second}, func(status int, body []byte) error {
			if status != fasthttp.StatusConflict || string(body) != c.want {
				t.Errorf("%d %q, not %q", status, body, c.want)
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
}

// TestDoTellsNoAnswer guards against taking an answer that can't be read for one that
// did not come: the first is logged, the second is asked again.
func TestDoTellsNoAnswer(t *testing.T) {
	client := serve(t)
	unreadable := errors.New("unreadable")
	var none *NoAnswer
	err := Do(client, Request{URI: "/", Wait: 5 * time.Second}, func(int, []byte) error { return unreadable })
	if !errors.Is(err, unreadable) || errors.As(err, &none) {
		t.Errorf("of an unreadable answer it says %v", err)
	}
	away := &fasthttp.HostClient{Addr: "127.0.0.1:1"}
	err = Do(away, Request{URI: "/", Wait: time.Second}, func(int, []byte) error { return nil })
	if !errors.As(err, &none) {
		t.Errorf("of no answer it says %v", err)
	}
}
