package server

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const leaseExpiresAt = 5 * micros.Second

// grantFor gives a role that this controller leads, and a grant for an action that expires
// with its lease.
func grantFor(t *testing.T, action leadership.Action) (*leadership.RoleState, leadership.Grant) {
	t.Helper()
	role := &leadership.RoleState{Role: leadership.PartitionRole(0)}
	claim := leadership.Claim{Node: "ctl-a"}
	role.Observe(0, claim, 10, claim, true)
	return role, role.Grant(action, 0, leaseExpiresAt)
}

// TestOrderGate guards against an order that was decided in time and leaves too late: it
// waited for its budget or a connection while the process was paused or the role went to
// another controller. Each of these is refused once and counted.
func TestOrderGate(t *testing.T) {
	fake := &fakeClock{}
	server, _ := newTestServer(t, fake)
	gate := server.public.gate
	cases := []struct {
		name   string
		at     micros.Micros
		resign bool
		want   leadership.Reason
	}{
		{"in time", leaseExpiresAt - 1, false, ""},
		{"after its lease", leaseExpiresAt, false, leadership.GrantExpired},
		{"after its role was resigned", micros.Second, true, leadership.RoleEnded},
	}
	for _, action := range []leadership.Action{leadership.Write, leadership.Launch, leadership.Delete, leadership.Command} {
		for _, tc := range cases {
			role, grant := grantFor(t, action)
			fake.at = tc.at
			if tc.resign {
				role.Resign(fake.at)
			}
			err := gate.admit(grant, action)
			var refused *refusedError
			if errors.As(err, &refused) != (tc.want != "") {
				t.Fatalf("%s %s: %v", action, tc.name, err)
			}
			if tc.want == "" {
				continue
			}
			got := (<-server.queue.regular).event
			if want := (message.OrderRefused{Role: "partition/0", Action: action, Reason: tc.want}); got != want {
				t.Errorf("%s %s: counted as %+v, want %+v", action, tc.name, got, want)
			}
		}
	}
}

// TestOrderGateChecksLast guards against a check before the wait that it is meant for: the
// time runs out while the request waits for its connection.
func TestOrderGateChecksLast(t *testing.T) {
	fake := &fakeClock{}
	server, set := newTestServer(t, fake)
	effects := server.loop.effects
	listener := listenOn(t, set.Endpoints.Cloud) // nobody accepts until the time is over
	arrived := make(chan int, 4)
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { arrived <- len(ctx.PostBody()) })
	}()
	_, grant := grantFor(t, leadership.Launch)
	launch := message.CloudCall{
		Op:     message.OpLaunch,
		Launch: leadership.NewOrder(grant, &api.LaunchRequest{Name: "p0-10-1", Count: 1}),
	}
	if reply := effects.cloud.Do(t.Context(), launch); reply.Unsent || <-arrived == 0 {
		t.Fatalf("in time it is answered %+v", reply)
	}
	fake.at = leaseExpiresAt // as if it had waited until now
	if reply := effects.cloud.Do(t.Context(), launch); !reply.Unsent || reply.Status != 0 {
		t.Errorf("too late it is answered %+v", reply)
	}
	write := message.StoreCall{
		Op:          message.OpTransaction,
		Transaction: leadership.NewOrder(leadership.Grant{}, &api.Transaction{}),
	}
	if reply := effects.store.Do(t.Context(), write); !reply.Unsent {
		t.Errorf("a write without a grant is answered %+v", reply)
	}
	select {
	case size := <-arrived:
		t.Errorf("a refused order of %d bytes arrived", size)
	case <-time.After(50 * time.Millisecond): // it would have arrived before its answer
	}
}

// TestLateAnswerToWorker guards against an answer that renews a worker's lease after the
// grant for it has ended.
func TestLateAnswerToWorker(t *testing.T) {
	server, _ := newTestServer(t, &fakeClock{})
	role, grant := grantFor(t, leadership.Command)
	order := leadership.NewOrder(grant, api.HeartbeatResponse{FencingToken: 10})
	decided := decision{answer: message.Answer{Status: 200, Body: order}}
	inTime := server.public.currentAnswer(decided)
	if body, ok := inTime.Body.(api.HeartbeatResponse); !ok || inTime.Status != 200 || body.FencingToken != 10 {
		t.Errorf("in time it is %+v", inTime)
	}
	role.Resign(0)
	if late := server.public.currentAnswer(decided); late.Status != 503 || late.RetryAfterS == 0 {
		t.Errorf("after the role ended it is %+v", late)
	}
}

// listenOn listens on an address until the test ends.
func listenOn(t *testing.T, addr string) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}
