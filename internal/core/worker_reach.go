package core

import "spurmoor/internal/micros"

// workerReach is whether workers reach this controller.
type workerReach struct {
	*environment

	lastWorkerContactAt micros.Micros // any worker, of whatever partition
	isolatedFromWorkers bool          // no worker reached us; none has answered since
	noFailoverBefore    micros.Micros // no partition is taken over before this
}

func newWorkerReach(env *environment) *workerReach { return &workerReach{environment: env} }

// isolationDuration is how long a controller that no worker reaches takes no role.
const isolationDuration = 20 * micros.Second

// workerContact notes that a worker reached us, of whatever partition.
func (r *workerReach) workerContact() { r.lastWorkerContactAt = r.now }

// workerAnswered notes that a worker answered a direct command.
func (r *workerReach) workerAnswered() {
	r.lastWorkerContactAt, r.isolatedFromWorkers = r.now, false
}

// isolate notes that no worker reaches us: no role is taken for a while.
func (r *workerReach) isolate() {
	r.noFailoverBefore, r.isolatedFromWorkers = r.now+isolationDuration, true
}

// endIsolation notes that there is no worker to be reached.
func (r *workerReach) endIsolation() { r.isolatedFromWorkers = false }
