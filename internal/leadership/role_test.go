package leadership

import (
	"strings"
	"testing"

	"spurmoor/internal/micros"
)

const second = 1_000_000

var (
	own   = Claim{Node: "ctl-a", Incarnation: 7}
	other = Claim{Node: "ctl-b", Incarnation: 9}
)

// held gives a holding that own holds under term 10.
func held(t *testing.T) *RoleState {
	t.Helper()
	h := &RoleState{Role: PartitionRole(2)}
	if !h.Observe(100*second, own, 10, own, true) || !h.Leads() {
		t.Fatal("a claim of ours was not taken for ours")
	}
	return h
}

// TestGrantEnds guards against an order that leaves after its grant's time, after the
// duty was lost or given up, or by a grant for something else.
func TestGrantEnds(t *testing.T) {
	h := held(t)
	g := h.Grant(Launch, 100*second, 104*second)
	for _, c := range []struct {
		what   string
		action Action
		at     micros.Micros
		want   Reason
	}{
		{"in time", Launch, 103 * second, ""},
		{"at its end", Launch, 104 * second, GrantExpired},
		{"minutes later", Launch, 400 * second, GrantExpired},
		{"for a deletion", Delete, 103 * second, WrongAction},
	} {
		if got := g.Check(c.action, c.at); got != c.want {
			t.Errorf("%s: %q, want %q", c.what, got, c.want)
		}
	}
	h.Resign(101 * second)
	if got := g.Check(Launch, 102*second); got != RoleEnded {
		t.Errorf("after the duty was given up: %q", got)
	}
	if got := (Grant{}).Check(Launch, 0); got != NoGrant {
		t.Errorf("the zero grant: %q", got)
	}
	if got := h.Grant(Launch, 102*second, 900*second).Check(Launch, 103*second); got != NoGrant {
		t.Errorf("a grant of who holds nothing: %q", got)
	}
}

// TestOldGrantStaysEnded guards against an order of a former term that becomes good again
// when its sender holds the duty anew.
func TestOldGrantStaysEnded(t *testing.T) {
	h := held(t)
	old := h.Grant(Write, 100*second, 200*second)
	if !h.Contradicts(other, 20, own, true) {
		t.Fatal("another's claim does not contradict ours")
	}
	h.End(101 * second)
	h.Observe(101*second, other, 20, own, true)
	if h.Leads() {
		t.Fatal("held although another claims it")
	}
	h.Observe(102*second, own, 30, own, true)
	if fresh := h.Grant(Write, 102*second, 200*second); fresh.Check(Write, 103*second) != "" || fresh.Term() != 30 {
		t.Error("the new term gives no grant")
	}
	if got := old.Check(Write, 103*second); got != RoleEnded {
		t.Errorf("a grant of the former term: %q", got)
	}
}

// TestResignedTermIsOver guards against a duty that is held again under a term that was
// given up, when the replica shows its old key once more.
func TestResignedTermIsOver(t *testing.T) {
	h := held(t)
	if term := h.Resign(101 * second); term != 10 {
		t.Fatalf("gave up term %d", term)
	}
	h.Forget(102 * second)
	if h.Observe(103*second, own, 10, own, true) {
		t.Error("held again under the term given up")
	}
	if !h.Observe(104*second, own, 11, own, true) {
		t.Error("not held under a later term")
	}
}

// TestLease guards against a lease that is taken to hold for longer than the state
// service may keep it, with the holder's clock as slow as allowed, and shows that a
// clock beyond that breaks it.
func TestLease(t *testing.T) {
	l := Lease{ID: 1, RenewalSentAt: 1000 * second, TTL: 6 * second}
	ours := l.ExpiresAt() - l.RenewalSentAt // by the holder's clock
	for _, c := range []struct {
		slowPPM micros.Micros
		safe    bool
	}{{0, true}, {499, true}, {2000, false}} {
		lasts := ours * 1_000_000 / (1_000_000 - c.slowPPM)
		if safe := lasts <= l.TTL; safe != c.safe {
			t.Errorf("a clock %d millionths slow: acts for %d of %d us, safe %t", c.slowPPM, lasts, l.TTL, safe)
		}
	}
	if l.Valid(l.ExpiresAt()) || !l.Valid(l.ExpiresAt()-1) || (Lease{TTL: 6 * second}).Valid(1) {
		t.Error("the lease's end is off")
	}
}

// TestNames guards against duties that operators can't name.
func TestNames(t *testing.T) {
	for _, id := range FleetRoles() {
		if got, err := ParseFleetRole(id.String()); err != nil || got != id {
			t.Errorf("%s: %v, %v", id, got, err)
		}
	}
	if _, err := ParseFleetRole("partition/0"); err == nil || !strings.Contains(err.Error(), "strays, sweep, catalogue") {
		t.Errorf("a partition passes for a duty of the fleet, or what is allowed is not named: %v", err)
	}
	if got := PartitionRole(3).String(); got != "partition/3" {
		t.Error(got)
	}
	if g := SharedGrant(ForUser, Write); g.Check(Write, 1<<60) != "" || g.Check(Launch, 0) != WrongAction || g.RoleName() != "users" || g.Term() != 0 {
		t.Error("a shared grant for writes is not one")
	}
}
