package server

import (
	"errors"
	"net"
	"testing"
	"time"

	"spurmoor/internal/message"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

const leaseEnd = 5 * micros.Second

// granted gives a duty that this controller holds, and a grant for an action that ends
// with its lease.
func granted(t *testing.T, action leadership.Action) (*leadership.RoleState, leadership.Grant) {
	t.Helper()
	h, own := &leadership.RoleState{Role: leadership.PartitionRole(0)}, leadership.Claim{Node: "ctl-a"}
	h.Observe(0, own, 10, own, true)
	return h, h.Grant(action, 0, leaseEnd)
}

// TestGate guards against an order that was decided in time and leaves too late: it waited
// for its budget or a connection while the process stood still or the duty went to
// another. Each of these is refused once and counted.
func TestGate(t *testing.T) {
	s, _ := alone(t)
	var now micros.Micros
	s.now = func() micros.Micros { return now }
	s.fresh = s.now
	cases := []struct {
		what   string
		at     micros.Micros
		resign bool
		want   leadership.Reason
	}{
		{"in time", leaseEnd - 1, false, ""},
		{"after its lease", leaseEnd, false, leadership.GrantExpired},
		{"after its duty was handed over", micros.Second, true, leadership.RoleEnded},
	}
	for _, action := range []leadership.Action{leadership.Write, leadership.Launch, leadership.Delete, leadership.Command} {
		for _, c := range cases {
			h, g := granted(t, action)
			now = c.at
			if c.resign {
				h.Resign(now)
			}
			err := s.gate.admit(g, action)
			var refused *refusedError
			if errors.As(err, &refused) != (c.want != "") {
				t.Fatalf("%s %s: %v", action, c.what, err)
			}
			if c.want == "" {
				continue
			}
			got, ok := (<-s.inputs).in.(message.OrderRefused)
			if want := (message.OrderRefused{Role: "partition/0", Action: action, Reason: c.want}); !ok || got != want {
				t.Errorf("%s %s: counted as %+v, want %+v", action, c.what, got, want)
			}
		}
	}
}

// TestGateLooksLast guards against a check before the wait that it is meant for: the time
// runs out while the request waits for its connection.
func TestGateLooksLast(t *testing.T) {
	s, set := alone(t)
	var now micros.Micros
	s.now = func() micros.Micros { return now }
	s.fresh = s.now
	ln, err := net.Listen("tcp4", set.Endpoints.Cloud) // nobody accepts until the time is over
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	arrived := make(chan int, 4)
	go func() { _ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { arrived <- len(ctx.PostBody()) }) }()
	_, g := granted(t, leadership.Launch)
	call := message.CloudCall{Op: message.OpLaunch, Launch: leadership.NewOrder(g, &api.LaunchRequest{Name: "p0-10-1", Count: 1})}
	if r := s.cloud.Do(call); r.Unsent || <-arrived == 0 {
		t.Fatalf("in time it is answered %+v", r)
	}
	now = leaseEnd // as if it had waited until now
	if r := s.cloud.Do(call); !r.Unsent || r.Status != 0 {
		t.Errorf("too late it is answered %+v", r)
	}
	txn := message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(leadership.Grant{}, &api.Transaction{})}
	if r := s.store.Do(txn); !r.Unsent {
		t.Errorf("a write without a grant is answered %+v", r)
	}
	select {
	case n := <-arrived:
		t.Errorf("a refused order of %d bytes arrived", n)
	case <-time.After(50 * time.Millisecond): // it would have arrived before its answer
	}
}

// TestLateAnswerToWorker guards against an answer that renews a worker's lease after the
// grant for it has ended.
func TestLateAnswerToWorker(t *testing.T) {
	s, _ := alone(t)
	var now micros.Micros
	s.now = func() micros.Micros { return now }
	s.fresh = s.now
	h, g := granted(t, leadership.Command)
	body := api.HeartbeatResponse{FencingToken: 10}
	if a := s.answer(decided{message.Answer{Status: 200, Body: leadership.NewOrder(g, body)}, 0}); a.Status != 200 || a.Body.(api.HeartbeatResponse).FencingToken != 10 {
		t.Errorf("in time it is %+v", a)
	}
	h.Resign(0)
	if a := s.answer(decided{message.Answer{Status: 200, Body: leadership.NewOrder(g, body)}, 0}); a.Status != 503 || a.RetryAfterS == 0 {
		t.Errorf("after the duty ended it is %+v", a)
	}
}
