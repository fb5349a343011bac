package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/clock"
	"spurmoor/internal/message"
)

// TestRoutes guards against a path without a handler, and against a malformed request that
// reaches the state machine.
func TestRoutes(t *testing.T) {
	server, set := newTestServer(t, clock.New())
	startServer(t, server)
	for _, tc := range []struct {
		method, path, body string
		want               httpReply
	}{
		{"GET", "/work", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/ready", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/duties", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/v1/report", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/work/j-1/cancel", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/work/j-1", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"POST", "/why/j-1", "", httpReply{405, `{"error":"wrong method"}`, false}},
		{"GET", "/nowhere", "", httpReply{404, `{"error":"no such path"}`, false}},
		{"GET", "/work/j-1/tasks", "", httpReply{404, `{"error":"no such path"}`, false}},
		{"POST", "/work", strings.Repeat("x", 65<<10), httpReply{400, `{"error":"body over 64 KiB"}`, true}},
	} {
		request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", tc.method, tc.path, len(tc.body), tc.body)
		conn, got := sendRequest(t, set.PublicAddr, request)
		_ = conn.Close()
		if got != tc.want {
			t.Errorf("%s %s: got %+v, want %+v", tc.method, tc.path, got, tc.want)
		}
	}
	for path, want := range map[string]int{"/nowhere": 404, "/peer": 400} {
		conn, got := sendRequest(t, set.InternalAddr, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
		_ = conn.Close()
		if got != (httpReply{status: want}) {
			t.Errorf("POST %s to the internal address: got %+v, want %+v", path, got, httpReply{status: want})
		}
	}
}

// TestFullQueue guards against requests that accumulate while the state machine can't keep
// up. They must be rejected with a Retry-After.
func TestFullQueue(t *testing.T) {
	server, _ := newTestServer(t, &fakeClock{})
	full := make(chan queuedInput)
	ctx := &fasthttp.RequestCtx{}
	server.public.forward(ctx, full, func(requestID uint64) message.Input { return message.ListRoles{RequestID: requestID} })
	retryAfter := string(ctx.Response.Header.Peek("Retry-After"))
	if ctx.Response.StatusCode() != 429 || retryAfter != "2" {
		t.Errorf("got status %d, Retry-After %q, want 429 and 2", ctx.Response.StatusCode(), retryAfter)
	}
}
