package coordination

import "spurmoor/internal/micros"

// isolationDuration is how long a controller acquires no role after it was found that no
// worker reaches it.
const isolationDuration = 20 * micros.Second

// WorkerReachability tracks whether workers reach this controller.
type WorkerReachability struct {
	*Environment

	LastContactAt       micros.Micros // when a worker of any partition last reached us
	Isolated            bool          // no worker reached us, and none has answered a direct command since
	NoAcquisitionBefore micros.Micros // until then we acquire no role
}

// NewWorkerReachability returns the reachability of a controller that is not isolated.
func NewWorkerReachability(env *Environment) *WorkerReachability {
	return &WorkerReachability{Environment: env}
}

// ObserveContact records that a worker of any partition reached us.
func (r *WorkerReachability) ObserveContact() { r.LastContactAt = r.Now }

// ObserveReply records that a worker answered a direct command. This ends the isolation.
func (r *WorkerReachability) ObserveReply() {
	r.LastContactAt = r.Now
	r.Isolated = false
}

// MarkIsolated records that no worker reaches us. We then acquire no role for
// isolationDuration.
func (r *WorkerReachability) MarkIsolated() {
	r.NoAcquisitionBefore = r.Now + isolationDuration
	r.Isolated = true
}

// ClearIsolated ends the isolation without contact, because there is no worker that could
// reach us.
func (r *WorkerReachability) ClearIsolated() { r.Isolated = false }
