package leadership

import (
	"testing"

	"spurmoor/internal/micros"
)

// TestLease guards against a lease that counts as valid after the store may have ended it,
// although the leader's clock is slow by no more than the maximum drift. It also shows that a
// slower clock is unsafe.
func TestLease(t *testing.T) {
	t.Parallel()
	lease := Lease{ID: 1, RenewalSentAt: 1000 * micros.Second, TTL: 6 * micros.Second}
	validFor := lease.ExpiresAt() - lease.RenewalSentAt // by the leader's clock
	for _, tc := range []struct {
		slowPPM micros.Micros
		safe    bool
	}{
		{0, true},
		{499, true},
		{2000, false},
	} {
		elapsed := validFor * 1_000_000 / (1_000_000 - tc.slowPPM)
		if safe := elapsed <= lease.TTL; safe != tc.safe {
			t.Errorf("a clock slow by %d ppm: valid for %d us of a TTL of %d us, got safe %t, want %t",
				tc.slowPPM, elapsed, lease.TTL, safe, tc.safe)
		}
	}
}

// TestLeaseValid guards against a lease that is valid at its end or invalid right before, and
// against a lease that is valid without ever having been granted.
func TestLeaseValid(t *testing.T) {
	t.Parallel()
	lease := Lease{ID: 1, RenewalSentAt: 1000 * micros.Second, TTL: 6 * micros.Second}
	if lease.Valid(lease.ExpiresAt()) || !lease.Valid(lease.ExpiresAt()-1) {
		t.Errorf("got valid %t at the lease's end and %t right before, want false and true",
			lease.Valid(lease.ExpiresAt()), lease.Valid(lease.ExpiresAt()-1))
	}
	if never := (Lease{TTL: 6 * micros.Second}); never.Valid(1) {
		t.Error("got valid for a lease that was never granted, want invalid")
	}
}
