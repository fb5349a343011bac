package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// CycleTrigger is where components request a scheduling cycle before the next is due.
type CycleTrigger struct {
	*coordination.Environment

	requestedCycleAt micros.Micros // 0: none is requested
}

// NewCycleTrigger returns a trigger with no cycle requested.
func NewCycleTrigger(env *coordination.Environment) *CycleTrigger {
	return &CycleTrigger{Environment: env}
}

// Due reports whether a cycle that was requested is due.
func (t *CycleTrigger) Due() bool {
	return t.requestedCycleAt != 0 && t.Now >= t.requestedCycleAt
}

// Clear notes that a cycle runs now.
func (t *CycleTrigger) Clear() { t.requestedCycleAt = 0 }

// RequestCycleWithin requests a cycle no later than delay from now. Of several requests
// the earliest holds.
func (t *CycleTrigger) RequestCycleWithin(delay micros.Micros) {
	at := t.Now + delay
	if t.requestedCycleAt == 0 || at < t.requestedCycleAt {
		t.requestedCycleAt = at
	}
}
