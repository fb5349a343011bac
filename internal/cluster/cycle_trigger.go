package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// CycleTrigger is where components ask for a scheduling cycle before the next is due.
type CycleTrigger struct {
	*coordination.Environment

	requestedCycleAt micros.Micros // 0: none is asked for
}

// NewCycleTrigger makes a cycle trigger.
func NewCycleTrigger(env *coordination.Environment) *CycleTrigger {
	return &CycleTrigger{Environment: env}
}

// Due tells whether a cycle that was asked for is due.
func (t *CycleTrigger) Due() bool {
	return t.requestedCycleAt != 0 && t.Now >= t.requestedCycleAt
}

// Clear notes that a cycle runs now.
func (t *CycleTrigger) Clear() { t.requestedCycleAt = 0 }

// RequestCycleWithin wants a cycle no later than d from now.
func (t *CycleTrigger) RequestCycleWithin(d micros.Micros) {
	if at := t.Now + d; t.requestedCycleAt == 0 || at < t.requestedCycleAt {
		t.requestedCycleAt = at
	}
}
