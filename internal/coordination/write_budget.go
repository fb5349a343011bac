package coordination

import "spurmoor/internal/micros"

const (
	// CommitBatchWait is how long a commit may wait until the budget holds all terminal
	// states that are due, as far as one transaction does: each commit costs a log entry
	// beside them. With four one-task jobs a second over 18 changes a second the entries
	// took what the terminal states needed.
	CommitBatchWait = micros.Second * 8 / 5

	// CancelledTerminalWait is how long the terminal state of a cancelled job may wait
	// for a budget that others need.
	CancelledTerminalWait = 300 * micros.Second

	// minBudgetCapacity is how many changes the budget holds at least, so that one
	// transaction with a few of them fits at any rate.
	minBudgetCapacity = 6

	// rateMeasureInterval is how often the rate of changes is measured.
	rateMeasureInterval = micros.Second

	// newestRateWeight is what the newest interval counts in the running average of the
	// rate of changes.
	newestRateWeight = 0.5

	// maxDebtSeconds bounds the debt that changes for users leave, in seconds of what the
	// store admits.
	maxDebtSeconds = 0.5
)

// WriteBudget is a token bucket for the changes that a controller makes to the store: a
// share of what the store admits, by the partitions that it leads. Accepting and
// cancelling users' jobs does not wait for the budget but is charged to it, so that
// users never wait behind commits.
type WriteBudget struct {
	*Environment

	Available  float64 // changes that may be made now; below 0 after many for users
	Capacity   float64 // the most that Available grows to
	refilledAt micros.Micros

	spent         float64 // changes made in all
	spentMeasured float64 // of them, those counted in spendRate
	measuredAt    micros.Micros
	spendRate     float64 // changes made of late, a second
}

// NewWriteBudget makes a write budget.
func NewWriteBudget(env *Environment) *WriteBudget { return &WriteBudget{Environment: env} }

// RefillBudget adds what the time since the last call allows, at a rate of changes a
// second. The budget holds what a second adds.
func (b *WriteBudget) RefillBudget(rate float64) {
	b.Capacity = max(rate, minBudgetCapacity)
	b.Available = min(b.Capacity, b.Available+rate*(b.Now-b.refilledAt).Seconds())
	b.refilledAt = b.Now
}

// Charge counts changes that waited until the budget had room for them.
func (b *WriteBudget) Charge(changes int) {
	b.Available -= float64(changes)
	b.spent += float64(changes)
}

// ChargeWrites counts changes that did not wait for the budget, as those for users. The
// debt is bounded, so that commits go on soon after.
func (b *WriteBudget) ChargeWrites(changes int) {
	maxDebt := b.Settings.Deployment.Store.WriteRPS * maxDebtSeconds
	b.spent += float64(changes)
	b.Available = max(-maxDebt, b.Available-float64(changes))
}

// MeasureWriteRate returns how many changes a second were made of late: a running
// average over intervals of at least rateMeasureInterval.
func (b *WriteBudget) MeasureWriteRate() float64 {
	elapsed := b.Now - b.measuredAt
	if elapsed < rateMeasureInterval {
		return b.spendRate
	}
	rate := (b.spent - b.spentMeasured) * float64(micros.Second) / float64(elapsed)
	b.spendRate = (1-newestRateWeight)*b.spendRate + newestRateWeight*rate
	b.spentMeasured, b.measuredAt = b.spent, b.Now
	return b.spendRate
}
