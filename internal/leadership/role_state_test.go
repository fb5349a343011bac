package leadership

import (
	"testing"

	"spurmoor/internal/micros"
)

const second = micros.Second

var (
	own   = Claim{Node: "ctl-a", Incarnation: 7}
	other = Claim{Node: "ctl-b", Incarnation: 9}
)

// leaderState returns the state of a role that own leads under term 10.
func leaderState(t *testing.T) *RoleState {
	t.Helper()
	state := &RoleState{Role: PartitionRole(2)}
	if !state.Observe(100*second, own, 10, own, true) || !state.Leads() {
		t.Fatal("a claim of ours was not taken for ours")
	}
	return state
}

// TestGrantEnds guards against an order that leaves after its grant's time, or by a
// grant for something else.
func TestGrantEnds(t *testing.T) {
	t.Parallel()
	grant := leaderState(t).Grant(Launch, 100*second, 104*second)
	for _, tc := range []struct {
		name   string
		action Action
		at     micros.Micros
		want   Reason
	}{
		{"in time", Launch, 103 * second, ""},
		{"at its end", Launch, 104 * second, GrantExpired},
		{"minutes later", Launch, 400 * second, GrantExpired},
		{"for a deletion", Delete, 103 * second, WrongAction},
	} {
		if got := grant.Check(tc.action, tc.at); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestGrantEndsWithItsRole guards against an order that leaves after its role was
// resigned, or without a role.
func TestGrantEndsWithItsRole(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	grant := state.Grant(Launch, 100*second, 104*second)
	state.Resign(101 * second)
	if got := grant.Check(Launch, 102*second); got != RoleEnded {
		t.Errorf("after the role was resigned: %q", got)
	}
	if got := (Grant{}).Check(Launch, 0); got != NoGrant {
		t.Errorf("the zero grant: %q", got)
	}
	if got := state.Grant(Launch, 102*second, 900*second).Check(Launch, 103*second); got != NoGrant {
		t.Errorf("a grant of a controller that leads nothing: %q", got)
	}
}

// TestOldGrantStaysEnded guards against an order of a former term that is permitted
// again when its sender leads the role anew.
func TestOldGrantStaysEnded(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	old := state.Grant(Write, 100*second, 200*second)
	if !state.Contradicts(other, 20, own, true) {
		t.Fatal("another's claim does not contradict ours")
	}
	state.End(101 * second)
	state.Observe(101*second, other, 20, own, true)
	if state.Leads() {
		t.Fatal("leads although another claims the role")
	}
	state.Observe(102*second, own, 30, own, true)
	fresh := state.Grant(Write, 102*second, 200*second)
	if fresh.Check(Write, 103*second) != "" || fresh.Term() != 30 {
		t.Error("the new term gives no grant")
	}
	if got := old.Check(Write, 103*second); got != RoleEnded {
		t.Errorf("a grant of the former term: %q", got)
	}
}

// TestResignedTermIsOver guards against a role that is led again under a term that was
// resigned, when the watch cache shows its old key once more.
func TestResignedTermIsOver(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	if term := state.Resign(101 * second); term != 10 {
		t.Fatalf("resigned term %d", term)
	}
	state.Forget(102 * second)
	if state.Observe(103*second, own, 10, own, true) {
		t.Error("leads again under the resigned term")
	}
	if !state.Observe(104*second, own, 11, own, true) {
		t.Error("does not lead under a later term")
	}
}

// TestSharedGrant guards against a shared grant that expires, permits another action or
// passes for a role's.
func TestSharedGrant(t *testing.T) {
	t.Parallel()
	grant := SharedGrant(ForUser, Write)
	if got := grant.Check(Write, 1<<60); got != "" {
		t.Errorf("a shared grant for writes does not permit one: %q", got)
	}
	if got := grant.Check(Launch, 0); got != WrongAction {
		t.Errorf("a shared grant for writes permits a launch: %q", got)
	}
	if grant.RoleName() != "users" || grant.Term() != 0 {
		t.Errorf("a shared grant is %s's, term %d", grant.RoleName(), grant.Term())
	}
}
