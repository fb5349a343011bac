package leadership

import "spurmoor/internal/micros"

// maxDriftPPM is how far, in millionths, the steady clocks of two machines may run
// apart: 0.05%.
const maxDriftPPM = 500

// Lease is what a holder knows of the lease that its duties hang on.
type Lease struct {
	ID uint64 // 0: none
	// RenewalSentAt is when the last renewal that succeeded was sent. The state service
	// counts from when it got it, which was no earlier.
	RenewalSentAt micros.Micros
	TTL           micros.Micros
}

// ExpiresAt is the time before which the state service cannot have ended the lease, however
// much faster than ours its clock runs.
func (l Lease) ExpiresAt() micros.Micros {
	return l.RenewalSentAt + l.TTL - l.TTL*maxDriftPPM/1_000_000
}

// Valid tells whether the lease is known to hold.
func (l Lease) Valid(now micros.Micros) bool { return l.RenewalSentAt > 0 && now < l.ExpiresAt() }
