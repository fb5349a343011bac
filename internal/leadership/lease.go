package leadership

import "spurmoor/internal/micros"

// maxDriftPPM is the maximum relative drift between the monotonic clocks of two machines,
// in parts per million: 0.05%.
const (
	maxDriftPPM     = 500
	partsPerMillion = 1_000_000
)

// Lease is the state of a controller's lease on the key-value store, as far as the
// controller knows. The keys of the controller's roles are attached to the lease.
type Lease struct {
	ID uint64 // 0 if there is no lease
	// RenewalSentAt is when the last successful renewal was sent. The store counts the
	// lease from when it received the renewal, which can't be earlier.
	RenewalSentAt micros.Micros
	TTL           micros.Micros
}

// ExpiresAt returns the time before which the store can't have ended the lease, even if its
// clock runs faster than ours by the maximum drift.
func (l Lease) ExpiresAt() micros.Micros {
	return l.RenewalSentAt + l.TTL - l.TTL*maxDriftPPM/partsPerMillion
}

// Valid reports whether the lease is certain not to have expired.
func (l Lease) Valid(now micros.Micros) bool {
	return l.RenewalSentAt > 0 && now < l.ExpiresAt()
}
