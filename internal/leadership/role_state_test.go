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

// leaderState returns the state of a role that own leads in term 10.
func leaderState(t *testing.T) *RoleState {
	t.Helper()
	state := &RoleState{Role: PartitionRole(2)}
	if !state.Observe(100*second, own, 10, own, true) || !state.Leads() {
		t.Fatal("got no leadership from our own claim, want one")
	}
	return state
}

// TestGrantEnds guards against an order that is permitted after its grant expired, or by a
// grant for another action.
func TestGrantEnds(t *testing.T) {
	t.Parallel()
	grant := leaderState(t).Grant(ActionLaunch, 100*second, 104*second)
	for _, tc := range []struct {
		name   string
		action Action
		at     micros.Micros
		want   Reason
	}{
		{"in time", ActionLaunch, 103 * second, ""},
		{"at its end", ActionLaunch, 104 * second, GrantExpired},
		{"minutes later", ActionLaunch, 400 * second, GrantExpired},
		{"for a deletion", ActionDelete, 103 * second, WrongAction},
	} {
		if got := grant.Check(tc.action, tc.at); got != tc.want {
			t.Errorf("%s: got reason %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestGrantEndsWithItsRole guards against an order that is permitted after its role was
// resigned, or without a role.
func TestGrantEndsWithItsRole(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	grant := state.Grant(ActionLaunch, 100*second, 104*second)
	state.Resign(101 * second)
	if got := grant.Check(ActionLaunch, 102*second); got != RoleEnded {
		t.Errorf("got reason %q after the role was resigned, want %q", got, RoleEnded)
	}
	if got := (Grant{}).Check(ActionLaunch, 0); got != NoGrant {
		t.Errorf("got reason %q for the zero grant, want %q", got, NoGrant)
	}
	if got := state.Grant(ActionLaunch, 102*second, 900*second).Check(ActionLaunch, 103*second); got != NoGrant {
		t.Errorf("got reason %q for a grant of a controller that does not lead the role, want %q", got, NoGrant)
	}
}

// TestOldGrantStaysEnded guards against an order of an earlier term that is permitted again
// when its sender leads the role in a later term.
func TestOldGrantStaysEnded(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	old := state.Grant(ActionWrite, 100*second, 200*second)
	if !state.Contradicts(other, 20, own, true) {
		t.Fatal("got no contradiction from another controller's claim, want one")
	}
	state.End(101 * second)
	state.Observe(101*second, other, 20, own, true)
	if state.Leads() {
		t.Fatal("got leading although another controller claims the role, want not leading")
	}
	state.Observe(102*second, own, 30, own, true)
	fresh := state.Grant(ActionWrite, 102*second, 200*second)
	if fresh.Check(ActionWrite, 103*second) != "" || fresh.Term() != 30 {
		t.Errorf("got reason %q and term %d for a grant of the new term, want no reason and 30",
			fresh.Check(ActionWrite, 103*second), fresh.Term())
	}
	if got := old.Check(ActionWrite, 103*second); got != RoleEnded {
		t.Errorf("got reason %q for a grant of the earlier term, want %q", got, RoleEnded)
	}
}

// TestResignedTermIsNotLedAgain guards against a controller that leads a role again in a term
// that it resigned, because the watch cache shows the role's old key once more.
func TestResignedTermIsNotLedAgain(t *testing.T) {
	t.Parallel()
	state := leaderState(t)
	if term := state.Resign(101 * second); term != 10 {
		t.Fatalf("got resigned term %d, want 10", term)
	}
	state.ClearClaim(102 * second)
	if state.Observe(103*second, own, 10, own, true) {
		t.Error("got leading in the resigned term, want not leading")
	}
	if !state.Observe(104*second, own, 11, own, true) {
		t.Error("got not leading in a later term, want leading")
	}
}

// TestSharedGrant guards against a shared grant that expires, permits another action or
// appears to belong to a role.
func TestSharedGrant(t *testing.T) {
	t.Parallel()
	grant := SharedGrant(ForUser, ActionWrite)
	if got := grant.Check(ActionWrite, 1<<60); got != "" {
		t.Errorf("got reason %q for a write under a shared grant for writes, want none", got)
	}
	if got := grant.Check(ActionLaunch, 0); got != WrongAction {
		t.Errorf("got reason %q for a launch under a shared grant for writes, want %q", got, WrongAction)
	}
	if grant.RoleName() != "users" || grant.Term() != 0 {
		t.Errorf("got role name %s and term %d of a shared grant, want users and 0", grant.RoleName(), grant.Term())
	}
}
