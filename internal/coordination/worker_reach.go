package coordination

import "spurmoor/internal/micros"

// isolationDuration is for how long a controller that no worker reaches acquires no
// role.
const isolationDuration = 20 * micros.Second

// WorkerReach is whether workers reach this controller.
type WorkerReach struct {
	*Environment

	LastWorkerContactAt micros.Micros // of any worker, of whatever partition
	IsolatedFromWorkers bool          // no worker reached us, and none has answered since
	NoFailoverBefore    micros.Micros // until then no role is acquired
}

// NewWorkerReach makes a worker reach.
func NewWorkerReach(env *Environment) *WorkerReach { return &WorkerReach{Environment: env} }

// ObserveWorkerContact notes that a worker reached us, of whatever partition.
func (r *WorkerReach) ObserveWorkerContact() { r.LastWorkerContactAt = r.Now }

// ObserveWorkerReply notes that a worker answered a direct command.
func (r *WorkerReach) ObserveWorkerReply() {
	r.LastWorkerContactAt = r.Now
	r.IsolatedFromWorkers = false
}

// Isolate notes that no worker reaches us: no role is acquired for a while.
func (r *WorkerReach) Isolate() {
	r.NoFailoverBefore = r.Now + isolationDuration
	r.IsolatedFromWorkers = true
}

// EndIsolation notes that there is no worker to be reached.
func (r *WorkerReach) EndIsolation() { r.IsolatedFromWorkers = false }
