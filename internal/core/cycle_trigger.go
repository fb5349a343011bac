package core

import "spurmoor/internal/micros"

// cycleTrigger is where components ask for a scheduling cycle before the next is due.
type cycleTrigger struct {
	*environment

	requestedCycleAt micros.Micros // 0: none is asked for
}

func newCycleTrigger(env *environment) *cycleTrigger { return &cycleTrigger{environment: env} }

// due tells whether a cycle that was asked for is due.
func (t *cycleTrigger) due() bool {
	return t.requestedCycleAt != 0 && t.now >= t.requestedCycleAt
}

// clear notes that a cycle runs now.
func (t *cycleTrigger) clear() { t.requestedCycleAt = 0 }

// requestPlanWithin wants a cycle no later than d from now.
func (t *cycleTrigger) requestPlanWithin(d micros.Micros) {
	if at := t.now + d; t.requestedCycleAt == 0 || at < t.requestedCycleAt {
		t.requestedCycleAt = at
	}
}
