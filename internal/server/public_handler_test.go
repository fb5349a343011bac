package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/clock"
	"spurmoor/internal/message"
)

// TestRoutes guards against a path that is not served, or a request that can't be read and
// comes to the state machine all the same.
func TestRoutes(t *testing.T) {
	server, set := newTestServer(t, clock.New())
	startServer(t, server)
	for _, tc := range []struct {
		method, path, body string
		want               reply
	}{
		{"GET", "/work", "", reply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/ready", "", reply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/duties", "", reply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/v1/report", "", reply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/work/j-1/cancel", "", reply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/work/j-1", "", reply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/why/j-1", "", reply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/nowhere", "", reply{404, `{"error":"no such path"}`, false}},
		{"GET", "/work/j-1/tasks", "", reply{404, `{"error":"no such path"}`, false}},
		{"POST", "/work", strings.Repeat("x", 65<<10), reply{400, `{"error":"body over 64 KiB"}`, true}},
	} {
		request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", tc.method, tc.path, len(tc.body), tc.body)
		conn, got := ask(t, set.PublicAddr, request)
		_ = conn.Close()
		if got != tc.want {
			t.Errorf("%s %s is answered %+v, not %+v", tc.method, tc.path, got, tc.want)
		}
	}
	for path, want := range map[string]int{"/nowhere": 404, "/peer": 400} {
		conn, got := ask(t, set.InternalAddr, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		_ = conn.Close()
		if got != (reply{status: want}) {
			t.Errorf("POST %s of another controller is answered %+v", path, got)
		}
	}
}

// TestFullQueue guards against requests that pile up where the state machine can't keep up:
// they are turned away, and told when to come again.
func TestFullQueue(t *testing.T) {
	server, _ := newTestServer(t, &fakeClock{})
	full := make(chan input)
	ctx := &fasthttp.RequestCtx{}
	server.public.ask(ctx, full, func(requestID uint64) message.Input { return message.ListRoles{RequestID: requestID} })
	retryAfter := string(ctx.Response.Header.Peek("Retry-After"))
	if ctx.Response.StatusCode() != 429 || retryAfter != "2" {
		t.Errorf("status %d, Retry-After %q", ctx.Response.StatusCode(), retryAfter)
	}
}
