package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// CycleTrigger collects requests for a scheduling cycle before the next regular one.
type CycleTrigger struct {
	*coordination.Environment

	requestedCycleAt micros.Micros // 0: none is requested
}

// NewCycleTrigger returns a trigger with no cycle requested.
func NewCycleTrigger(env *coordination.Environment) *CycleTrigger {
	return &CycleTrigger{Environment: env}
}

// Due reports whether a requested cycle is due.
func (t *CycleTrigger) Due() bool {
	return t.requestedCycleAt != 0 && t.Now >= t.requestedCycleAt
}

// Clear drops all requests, because a cycle runs now.
func (t *CycleTrigger) Clear() { t.requestedCycleAt = 0 }

// RequestWithin requests a cycle no later than delay from now. Of several requests the
// earliest one applies.
func (t *CycleTrigger) RequestWithin(delay micros.Micros) {
	at := t.Now + delay
	if t.requestedCycleAt == 0 || at < t.requestedCycleAt {
		t.requestedCycleAt = at
	}
}
