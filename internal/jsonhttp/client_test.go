package jsonhttp

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// TestBudget guards against a request that is sent beyond its budget, and an urgent request
// that the budget delays.
func TestBudget(t *testing.T) {
	host := serveEcho(t)
	exhausted := rate.NewLimiter(rate.Every(time.Hour), 1)
	exhausted.Allow()
	unlimited := rate.NewLimiter(rate.Inf, 0)
	for _, tc := range []struct {
		name    string
		limit   *rate.Limiter
		request Request
		refused bool
	}{
		{name: "within its budget", limit: unlimited},
		{name: "no requests left", limit: exhausted, refused: true},
		{name: "no writes left", limit: unlimited, request: Request{Costs: []Cost{{exhausted, 1}}}, refused: true},
		{name: "urgent", limit: exhausted, request: Request{Urgent: true, Costs: []Cost{{exhausted, 1}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &Client{Host: host, UrgentHost: host, RequestLimit: tc.limit, BudgetTimeout: time.Second}
			tc.request.URI, tc.request.Timeout = "/", 5*time.Second
			replies := 0
			err := client.Do(t.Context(), tc.request, func(int, []byte) error { replies++; return nil })
			if errors.Is(err, ErrBudgetExhausted) != tc.refused || tc.refused != (replies == 0) {
				t.Errorf("got %d replies, error %v, want no reply but ErrBudgetExhausted: %t", replies, err, tc.refused)
			}
		})
	}
}

// TestMalformedReported guards against a malformed reply that is not reported, and against an
// unreachable service that is reported as one with malformed replies.
func TestMalformedReported(t *testing.T) {
	reported := 0
	client := &Client{
		Host:          serveEcho(t),
		RequestLimit:  rate.NewLimiter(rate.Inf, 0),
		BudgetTimeout: time.Second,
		OnMalformed:   func(string, error) { reported++ },
	}
	decode := func(int, []byte) error { return &MalformedError{Cause: errors.New("cut short")} }
	var malformed *MalformedError
	if err := client.Do(t.Context(), Request{URI: "/", Timeout: 5 * time.Second}, decode); !errors.As(err, &malformed) {
		t.Errorf("malformed reply: got error %v, want a MalformedError", err)
	}
	client.Host = &fasthttp.HostClient{Addr: "127.0.0.1:1"}
	if err := client.Do(t.Context(), Request{URI: "/", Timeout: time.Second}, decode); errors.As(err, &malformed) {
		t.Errorf("no reply: got error %v, want no MalformedError", err)
	}
	if reported != 1 {
		t.Errorf("got %d malformed replies reported, want 1", reported)
	}
}
