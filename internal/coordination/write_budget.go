package coordination

import "spurmoor/internal/micros"

const (
	// CommitBatchWait is how long after the last commit the next may wait until the budget
	// covers all due terminal states that fit into one transaction. Each commit costs a log
	// entry in addition. Without batching, at four one-task jobs per second and a budget of
	// 18 writes per second, the log entries use up the writes that the terminal states need.
	CommitBatchWait = micros.Second * 8 / 5

	// CancelledTerminalWait is how long the terminal state of a cancelled job may wait while
	// other writes need the budget.
	CancelledTerminalWait = 300 * micros.Second

	// minCapacityWrites is the minimum capacity of the budget, in writes. It lets a
	// transaction with a few writes fit however low the rate is.
	minCapacityWrites = 6

	// rateMeasureInterval is the minimum interval over which the write rate is measured.
	rateMeasureInterval = micros.Second

	// newestRateWeight is the weight of the newest interval in the moving average of the
	// write rate.
	newestRateWeight = 0.5

	// maxDebtSeconds limits the debt that unthrottled writes leave, in seconds of the
	// store's write rate.
	maxDebtSeconds = 0.5
)

// WriteBudget is a token bucket for the writes of a controller to the store. Its rate is the
// controller's share of the store's write rate. The share grows with the number of partitions
// that the controller leads, and may include what the others leave unused. Writes that accept
// or cancel users' jobs don't wait for the budget but are charged to it, so that users never
// wait behind commits.
type WriteBudget struct {
	*Environment

	Available  float64 // writes that may be made now; below 0 after many unthrottled ones
	Capacity   float64 // the maximum of Available
	refilledAt micros.Micros

	totalWrites    float64 // writes charged so far
	measuredWrites float64 // those of totalWrites that writeRate includes
	measuredAt     micros.Micros
	writeRate      float64 // moving average, in writes per second
}

// NewWriteBudget returns an empty budget, which Refill fills.
func NewWriteBudget(env *Environment) *WriteBudget { return &WriteBudget{Environment: env} }

// Refill adds the writes for the time since the last call, at a rate in writes per second.
// The budget's capacity is one second of that rate, but at least minCapacityWrites.
func (b *WriteBudget) Refill(rate float64) {
	b.Capacity = max(rate, minCapacityWrites)
	b.Available = min(b.Capacity, b.Available+rate*(b.Now-b.refilledAt).Seconds())
	b.refilledAt = b.Now
}

// Charge charges writes that waited until the budget allowed them.
func (b *WriteBudget) Charge(writes int) {
	b.Available -= float64(writes)
	b.totalWrites += float64(writes)
}

// ChargeUnthrottled charges writes that did not wait for the budget, such as those for
// users. The debt is limited, so that commits can resume soon afterwards.
func (b *WriteBudget) ChargeUnthrottled(writes int) {
	maxDebt := b.Settings.Deployment.Store.WriteRPS * maxDebtSeconds
	b.totalWrites += float64(writes)
	b.Available = max(-maxDebt, b.Available-float64(writes))
}

// MeasureWriteRate returns the recent write rate in writes per second. It is a moving
// average over intervals of at least rateMeasureInterval.
func (b *WriteBudget) MeasureWriteRate() float64 {
	elapsed := b.Now - b.measuredAt
	if elapsed < rateMeasureInterval {
		return b.writeRate
	}
	rate := (b.totalWrites - b.measuredWrites) * float64(micros.Second) / float64(elapsed)
	b.writeRate = (1-newestRateWeight)*b.writeRate + newestRateWeight*rate
	b.measuredWrites, b.measuredAt = b.totalWrites, b.Now
	return b.writeRate
}
