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

// grantFor returns a role that this controller leads, and a grant under it that expires at
// leaseExpiresAt.
func grantFor(t *testing.T, action leadership.Action) (*leadership.RoleState, leadership.Grant) {
	t.Helper()
	role := &leadership.RoleState{Role: leadership.PartitionRole(0)}
	claim := leadership.Claim{Node: "ctl-a"}
	role.Observe(0, claim, 10, claim, true)
	return role, role.Grant(action, 0, leaseExpiresAt)
}

// TestGrantChecker guards against an order that was decided in time and is sent too late.
// This happens if the order waits for its budget or a connection while the process is paused
// or the role moves to another controller. Such an order must be refused, and reported once.
func TestGrantChecker(t *testing.T) {
	fake := &fakeClock{}
	server, _ := newTestServer(t, fake)
	checker := server.public.grants
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
	for _, action := range []leadership.Action{
		leadership.ActionWrite, leadership.ActionLaunch, leadership.ActionDelete, leadership.ActionCommand,
	} {
		for _, tc := range cases {
			role, grant := grantFor(t, action)
			fake.at = tc.at
			if tc.resign {
				role.Resign(fake.at)
			}
			err := checker.check(grant, action)
			var refused *refusedError
			if errors.As(err, &refused) != (tc.want != "") {
				t.Fatalf("%s %s: got error %v, want a refusal with the reason %q, none if that is empty", action, tc.name, err, tc.want)
			}
			if tc.want == "" {
				continue
			}
			got := (<-server.queue.regular).input
			if want := (message.OrderRefused{Role: "partition/0", Action: action, Reason: tc.want}); got != want {
				t.Errorf("%s %s: got %+v reported, want %+v", action, tc.name, got, want)
			}
		}
	}
}

// TestGrantCheckedJustBeforeSending guards against a check that comes too early: the grant
// expires while the request waits for its connection.
func TestGrantCheckedJustBeforeSending(t *testing.T) {
	fake := &fakeClock{}
	server, set := newTestServer(t, fake)
	effects := server.loop.effects
	listener := listenOn(t, set.Endpoints.Cloud) // accepts no connection until Serve starts
	arrived := make(chan int, 4)
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { arrived <- len(ctx.PostBody()) })
	}()
	_, grant := grantFor(t, leadership.ActionLaunch)
	launch := message.CloudCall{
		Op:     message.OpLaunch,
		Launch: leadership.NewOrder(grant, &api.LaunchRequest{Name: "p0-10-1", Count: 1}),
	}
	if reply := effects.cloud.Do(t.Context(), launch); reply.Unsent || <-arrived == 0 {
		t.Fatalf("launch before its grant expires: got reply %+v, want it sent", reply)
	}
	fake.at = leaseExpiresAt // as if the launch had waited until now
	if reply := effects.cloud.Do(t.Context(), launch); !reply.Unsent || reply.Status != 0 {
		t.Errorf("launch after its grant expired: got reply %+v, want Unsent and status 0", reply)
	}
	write := message.StoreCall{
		Op:          message.OpTransaction,
		Transaction: leadership.NewOrder(leadership.Grant{}, &api.Transaction{}),
	}
	if reply := effects.store.Do(t.Context(), write); !reply.Unsent {
		t.Errorf("write without a grant: got reply %+v, want Unsent", reply)
	}
	select {
	case size := <-arrived:
		t.Errorf("got %d bytes of a refused order at the cloud, want none", size)
	case <-time.After(50 * time.Millisecond): // a launch that is sent arrives before its reply
	}
}

// TestLateAnswerToWorker guards against an answer that renews a worker's lease although the
// grant for it is no longer valid.
func TestLateAnswerToWorker(t *testing.T) {
	server, _ := newTestServer(t, &fakeClock{})
	role, grant := grantFor(t, leadership.ActionCommand)
	order := leadership.NewOrder(grant, api.HeartbeatResponse{FencingToken: 10})
	decided := decision{answer: message.Answer{Status: 200, Body: order}}
	inTime := server.public.answerOrUnavailable(decided)
	if body, ok := inTime.Body.(api.HeartbeatResponse); !ok || inTime.Status != 200 || body.FencingToken != 10 {
		t.Errorf("answer in time: got %+v, want status 200 and fencing token 10", inTime)
	}
	role.Resign(0)
	if late := server.public.answerOrUnavailable(decided); late.Status != 503 || late.RetryAfterS == 0 {
		t.Errorf("answer after the role ended: got %+v, want status 503 with a Retry-After", late)
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
