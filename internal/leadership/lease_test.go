package leadership

import (
	"testing"

	"spurmoor/internal/micros"
)

// TestLease guards against a lease that is taken to be valid for longer than the store
// may keep it, with the leader's clock as slow as allowed, and shows that a clock
// beyond that breaks it.
func TestLease(t *testing.T) {
	t.Parallel()
	lease := Lease{ID: 1, RenewalSentAt: 1000 * micros.Second, TTL: 6 * micros.Second}
	actsFor := lease.ExpiresAt() - lease.RenewalSentAt // by the leader's clock
	for _, tc := range []struct {
		slowPPM micros.Micros
		safe    bool
	}{
		{0, true},
		{499, true},
		{2000, false},
	} {
		lasts := actsFor * 1_000_000 / (1_000_000 - tc.slowPPM)
		if safe := lasts <= lease.TTL; safe != tc.safe {
			t.Errorf("a clock %d millionths slow: acts for %d of %d us, safe %t", tc.slowPPM, lasts, lease.TTL, safe)
		}
	}
}

// TestLeaseValid guards the lease's end, and a lease that was never granted.
func TestLeaseValid(t *testing.T) {
	t.Parallel()
	lease := Lease{ID: 1, RenewalSentAt: 1000 * micros.Second, TTL: 6 * micros.Second}
	if lease.Valid(lease.ExpiresAt()) || !lease.Valid(lease.ExpiresAt()-1) {
		t.Error("the lease's end is off")
	}
	if never := (Lease{TTL: 6 * micros.Second}); never.Valid(1) {
		t.Error("a lease that was never granted is valid")
	}
}
