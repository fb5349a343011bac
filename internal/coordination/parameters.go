package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

const (
	// maxAnswerWindow is the upper limit of the answer window, however large cancel_s is.
	maxAnswerWindow = 40 * micros.Second

	// maxHeartbeatIntervalFactor is the longest time between two heartbeats of a healthy
	// worker, as a multiple of report_s, the interval that the worker is told.
	maxHeartbeatIntervalFactor = 1.25

	// heartbeatRetryS is how many seconds a lost heartbeat can delay the next. A worker
	// abandons a heartbeat after 4 s and sends it to another controller a second later.
	// Another second is kept in reserve.
	heartbeatRetryS = 6

	// contactTimeoutFactor is the maximum age of a machine's last heartbeat when the
	// machine is given work, as a multiple of report_s. The limit is at least
	// minContactTimeout.
	contactTimeoutFactor = 1.6
	minContactTimeout    = 8 * micros.Second

	bytesPerKB = 1000

	// comparesPerOp is how many compares a transaction may have for each write operation
	// that the store allows in it.
	comparesPerOp = 4

	// The timeout of a watch is such that watchesPerAnswerWindow of them fit into the
	// answer window, within these limits.
	minWatchTimeout        = micros.Second / 4
	maxWatchTimeout        = 2 * micros.Second
	watchesPerAnswerWindow = 6

	// readShare is the share of the store's request rate that all controllers together may
	// use for the reads of ReadLatest. One controller sends at most one such read in
	// minReadInterval.
	readShare       = 0.3
	minReadInterval = micros.Second / 25
)

// parameters adds to the settings the times and limits that are computed from them alone.
type parameters struct{ *settings.Settings }

// LeaseTTL returns the time to live of our lease on the key-value store.
func (p parameters) LeaseTTL() micros.Micros {
	return micros.FromSeconds(p.Operators.HoldTTLS)
}

// AnswerWindow returns how long a leader goes on answering heartbeats after the last time at
// which its watch cache was complete. An answer in that window may keep a task alive whose
// job was cancelled through another controller. The window is short enough that the task
// still ends within cancel_s.
func (p parameters) AnswerWindow() micros.Micros {
	return min(micros.FromSeconds(p.Deployment.AnswerWindowS()), maxAnswerWindow)
}

// FormerLeaderLeaseBound returns how long after a failover a worker may still run its tasks
// under a lease that the former leader renewed.
func (p parameters) FormerLeaderLeaseBound() micros.Micros {
	return max(0, p.AnswerWindow()-p.LeaseTTL()) + p.WorkerLease() + micros.Second
}

// WorkerLease returns how long a worker's lease may last by our clock, which may run faster
// than the worker's.
func (p parameters) WorkerLease() micros.Micros {
	return micros.FromSeconds(p.Deployment.WorkerLeaseS())
}

// HeartbeatTimeout returns how long a machine may send no heartbeat before it counts as
// failed. It allows for one lost heartbeat.
func (p parameters) HeartbeatTimeout() micros.Micros {
	return micros.FromSeconds(max(p.Operators.SilentS, maxHeartbeatIntervalFactor*p.Deployment.Workers.ReportS+heartbeatRetryS))
}

// MaxHeartbeatInterval returns the longest time between two heartbeats of a healthy worker,
// with a margin of a second.
func (p parameters) MaxHeartbeatInterval() micros.Micros {
	return micros.FromSeconds(maxHeartbeatIntervalFactor*p.Deployment.Workers.ReportS) + micros.Second
}

// ContactTimeout returns the maximum age of a machine's last heartbeat when the machine is
// given work.
func (p parameters) ContactTimeout() micros.Micros {
	return max(minContactTimeout, micros.FromSeconds(contactTimeoutFactor*p.Deployment.Workers.ReportS))
}

// MaxValueBytes returns the size of the largest value that we write to the store.
func (p parameters) MaxValueBytes() int { return int(p.Deployment.Store.ValueKB * bytesPerKB) }

// MaxCompares returns the maximum number of compares in a transaction.
func (p parameters) MaxCompares() int {
	return comparesPerOp * p.Deployment.Store.MaxTransactionOps
}

// watchTimeout returns how long a watch waits for a change. The reply proves the cache
// complete only up to the time at which the watch was sent. The answer window counts from
// that time, so the timeout must be much shorter than the window.
func (p parameters) watchTimeout() micros.Micros {
	return max(minWatchTimeout, min(maxWatchTimeout, p.AnswerWindow()/watchesPerAnswerWindow))
}

// readInterval returns the minimum time between two reads of ReadLatest.
func (p parameters) readInterval() micros.Micros {
	controllers := float64(len(p.Nodes))
	interval := micros.Micros(float64(micros.Second) * controllers / (readShare * p.Deployment.Store.RPS))
	return max(minReadInterval, interval)
}
