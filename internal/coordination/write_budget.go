package coordination

import "spurmoor/internal/micros"

// WriteBudget is how many changes a controller may make: a share of what the
// state service admits, by the partitions held. Users' accepts and cancellations
// are not held back by it but count, so that they never wait behind flushes.
type WriteBudget struct {
	*Environment

	Available     float64
	refilledAt    micros.Micros
	Capacity      float64 // that it may hold
	spent         float64 // spent in all
	measuredSpent float64 // of it, when it was looked at last
	measuredAt    micros.Micros
	spendRate     float64 // spent a second of late
}

// NewWriteBudget makes a write budget.
func NewWriteBudget(env *Environment) *WriteBudget { return &WriteBudget{Environment: env} }

// CommitBatchWait is how long a flush may wait for its budget to hold all ends that are
// due, as far as a transaction does: each costs an entry beside them. With four
// one-task jobs a second over 18 changes the entries took what the ends needed.
const CommitBatchWait = micros.Second * 8 / 5

// CancelledTerminalWait is how long the final state of a cancelled job may wait for a budget
// that others need.
const CancelledTerminalWait = 300 * micros.Second

// RefillBudget adds what the time since the last call allows at a rate of changes a second.
func (b *WriteBudget) RefillBudget(rate float64) {
	b.Capacity = max(rate, 6)
	b.Available = min(b.Capacity, b.Available+rate*(b.Now-b.refilledAt).Seconds())
	b.refilledAt = b.Now
}

// Charge counts changes that were held back until the budget had room for them.
func (b *WriteBudget) Charge(n int) {
	b.Available -= float64(n)
	b.spent += float64(n)
}

// MeasureWriteRate gives how many changes a second were made of late.
func (b *WriteBudget) MeasureWriteRate() float64 {
	if w := b; b.Now >= w.measuredAt+micros.Second {
		w.spendRate = (w.spendRate + (w.spent-w.measuredSpent)*float64(micros.Second)/float64(b.Now-w.measuredAt)) / 2
		w.measuredSpent, w.measuredAt = w.spent, b.Now
	}
	return b.spendRate
}

// ChargeWrites counts changes made for users.
func (b *WriteBudget) ChargeWrites(n int) {
	b.spent += float64(n)
	b.Available = max(-b.Settings.Deployment.Store.WriteRPS/2, b.Available-float64(n))
}
