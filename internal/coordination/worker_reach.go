package coordination

import "spurmoor/internal/micros"

// WorkerReach is whether workers reach this controller.
type WorkerReach struct {
	*Environment

	LastWorkerContactAt micros.Micros // any worker, of whatever partition
	IsolatedFromWorkers bool          // no worker reached us; none has answered since
	NoFailoverBefore    micros.Micros // no partition is taken over before this
}

// NewWorkerReach makes a worker reach.
func NewWorkerReach(env *Environment) *WorkerReach { return &WorkerReach{Environment: env} }

// isolationDuration is how long a controller that no worker reaches takes no role.
const isolationDuration = 20 * micros.Second

// ObserveWorkerContact notes that a worker reached us, of whatever partition.
func (r *WorkerReach) ObserveWorkerContact() { r.LastWorkerContactAt = r.Now }

// ObserveWorkerReply notes that a worker answered a direct command.
func (r *WorkerReach) ObserveWorkerReply() {
	r.LastWorkerContactAt, r.IsolatedFromWorkers = r.Now, false
}

// Isolate notes that no worker reaches us: no role is taken for a while.
func (r *WorkerReach) Isolate() {
	r.NoFailoverBefore, r.IsolatedFromWorkers = r.Now+isolationDuration, true
}

// EndIsolation notes that there is no worker to be reached.
func (r *WorkerReach) EndIsolation() { r.IsolatedFromWorkers = false }
