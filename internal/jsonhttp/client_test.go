package jsonhttp

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// TestBudget guards against a request beyond its budget that leaves, and an urgent one
// that is held back by it.
func TestBudget(t *testing.T) {
	host := serveEcho(t)
	spent := rate.NewLimiter(rate.Every(time.Hour), 1)
	spent.Allow()
	unlimited := rate.NewLimiter(rate.Inf, 0)
	for _, tc := range []struct {
		name    string
		limit   *rate.Limiter
		request Request
		refused bool
	}{
		{name: "within its budget", limit: unlimited},
		{name: "no requests left", limit: spent, refused: true},
		{name: "no writes left", limit: unlimited, request: Request{Costs: []Cost{{spent, 1}}}, refused: true},
		{name: "urgent", limit: spent, request: Request{Urgent: true, Costs: []Cost{{spent, 1}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client := &Client{Host: host, UrgentHost: host, RequestLimit: tc.limit, BudgetWait: time.Second}
			tc.request.URI, tc.request.Timeout = "/", 5*time.Second
			replies := 0
			err := client.Do(t.Context(), tc.request, func(int, []byte) error { replies++; return nil })
			if errors.Is(err, ErrBudgetExhausted) != tc.refused || tc.refused != (replies == 0) {
				t.Errorf("%d replies, error %v", replies, err)
			}
		})
	}
}

// TestMalformedReported guards against a reply that can't be read and leaves no trace,
// and a service that is away reported as one that answers with garbage.
func TestMalformedReported(t *testing.T) {
	reported := 0
	client := &Client{
		Host:         serveEcho(t),
		RequestLimit: rate.NewLimiter(rate.Inf, 0),
		BudgetWait:   time.Second,
		OnMalformed:  func(string, error) { reported++ },
	}
	decode := func(int, []byte) error { return &MalformedError{Cause: errors.New("cut short")} }
	var malformed *MalformedError
	if err := client.Do(t.Context(), Request{URI: "/", Timeout: 5 * time.Second}, decode); !errors.As(err, &malformed) {
		t.Errorf("of a malformed reply it says %v", err)
	}
	client.Host = &fasthttp.HostClient{Addr: "127.0.0.1:1"}
	if err := client.Do(t.Context(), Request{URI: "/", Timeout: time.Second}, decode); errors.As(err, &malformed) {
		t.Errorf("of no reply it says %v", err)
	}
	if reported != 1 {
		t.Errorf("%d malformed replies were reported, not 1", reported)
	}
}
