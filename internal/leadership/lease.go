package leadership

import "spurmoor/internal/micros"

// The steady clocks of two machines may run apart by maxDriftPPM of partsPerMillion:
// 0.05%.
const (
	maxDriftPPM     = 500
	partsPerMillion = 1_000_000
)

// Lease is what a controller knows of its lease on the key-value store, which the keys
// of its roles are attached to.
type Lease struct {
	ID uint64 // 0: none
	// RenewalSentAt is when the last renewal that succeeded was sent. The store counts
	// the lease from when it received the renewal, which was no earlier.
	RenewalSentAt micros.Micros
	TTL           micros.Micros
}

// ExpiresAt returns the time before which the store cannot have ended the lease,
// however much faster than ours its clock runs.
func (l Lease) ExpiresAt() micros.Micros {
	return l.RenewalSentAt + l.TTL - l.TTL*maxDriftPPM/partsPerMillion
}

// Valid reports whether the lease is certain not to have expired.
func (l Lease) Valid(now micros.Micros) bool {
	return l.RenewalSentAt > 0 && now < l.ExpiresAt()
}
