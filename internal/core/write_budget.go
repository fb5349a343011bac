package core

import "spurmoor/internal/micros"

// writeBudget is how many changes a controller may make: a share of what the
// state service admits, by the partitions held. Users' accepts and cancellations
// are not held back by it but count, so that they never wait behind flushes.
type writeBudget struct {
	*environment

	available     float64
	refilledAt    micros.Micros
	capacity      float64 // that it may hold
	spent         float64 // spent in all
	measuredSpent float64 // of it, when it was looked at last
	measuredAt    micros.Micros
	spendRate     float64 // spent a second of late
}

func newWriteBudget(env *environment) *writeBudget { return &writeBudget{environment: env} }

// commitBatchWait is how long a flush may wait for its budget to hold all ends that are
// due, as far as a transaction does: each costs an entry beside them. With four
// one-task jobs a second over 18 changes the entries took what the ends needed.
const commitBatchWait = micros.Second * 8 / 5

// cancelledTerminalWait is how long the final state of a cancelled job may wait for a budget
// that others need.
const cancelledTerminalWait = 300 * micros.Second

// refillBudget adds what the time since the last call allows at a rate of changes a second.
func (b *writeBudget) refillBudget(rate float64) {
	b.capacity = max(rate, 6)
	b.available = min(b.capacity, b.available+rate*(b.now-b.refilledAt).Seconds())
	b.refilledAt = b.now
}

// charge counts changes that were held back until the budget had room for them.
func (b *writeBudget) charge(n int) {
	b.available -= float64(n)
	b.spent += float64(n)
}

// measureWriteRate gives how many changes a second were made of late.
func (b *writeBudget) measureWriteRate() float64 {
	if w := b; b.now >= w.measuredAt+micros.Second {
		w.spendRate = (w.spendRate + (w.spent-w.measuredSpent)*float64(micros.Second)/float64(b.now-w.measuredAt)) / 2
		w.measuredSpent, w.measuredAt = w.spent, b.now
	}
	return b.spendRate
}

// chargeWrites counts changes made for users.
func (b *writeBudget) chargeWrites(n int) {
	b.spent += float64(n)
	b.available = max(-b.settings.Deployment.Store.WriteRPS/2, b.available-float64(n))
}
