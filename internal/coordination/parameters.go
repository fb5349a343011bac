package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

const (
	// maxAnswerWindow bounds the answer window however large cancel_s is.
	maxAnswerWindow = 40 * micros.Second

	// heartbeatSpread is the longest time between two heartbeats of a healthy worker,
	// as a multiple of the interval that it was told.
	heartbeatSpread = 1.25

	// heartbeatRetryS is how many seconds a lost heartbeat can delay the next: a worker
	// gives up on one after 4 s and sends it elsewhere a second later. A second more is
	// kept in reserve.
	heartbeatRetryS = 6

	// contactSpread is how old a machine's last heartbeat may be when it is given work,
	// as a multiple of the interval between heartbeats, and at least minContactTimeout.
	contactSpread     = 1.6
	minContactTimeout = 8 * micros.Second

	bytesPerKB = 1000

	// comparesPerOp is how many compares a transaction may have for each operation that
	// the store admits in one.
	comparesPerOp = 4

	// A watch waits so long that watchesPerAnswerWindow fit into the answer window, within
	// these bounds.
	minWatchTimeout        = micros.Second / 4
	maxWatchTimeout        = 2 * micros.Second
	watchesPerAnswerWindow = 6

	// readShare is the share of the store's requests that reads for users may take, of
	// all controllers together. One controller reads every minReadInterval at most.
	readShare       = 0.3
	minReadInterval = micros.Second / 25
)

// parameters are the settings with the times and bounds that follow from them alone.
type parameters struct{ *settings.Settings }

// LeaseTTL is how long our lease on the key-value store lasts.
func (p parameters) LeaseTTL() micros.Micros {
	return micros.FromSeconds(p.Operators.HoldTTLS)
}

// AnswerWindow is for how long a leader still answers heartbeats after the last moment
// up to which its watch cache is complete. A task that is kept alive by an answer given
// in that window, though its job was cancelled elsewhere, is gone within cancel_s all
// the same.
func (p parameters) AnswerWindow() micros.Micros {
	return min(micros.FromSeconds(p.Deployment.AnswerWindowS()), maxAnswerWindow)
}

// FormerLeaderLeaseBound is how long after a failover a worker that the former leader
// may have answered can have kept its tasks.
func (p parameters) FormerLeaderLeaseBound() micros.Micros {
	return max(0, p.AnswerWindow()-p.LeaseTTL()) + p.WorkerLease() + micros.Second
}

// WorkerLease is how long a worker's lease may last by our clock.
func (p parameters) WorkerLease() micros.Micros {
	return micros.FromSeconds(p.Deployment.WorkerLeaseS())
}

// HeartbeatTimeout is for how long a machine may send no heartbeat, even if one is lost,
// before it counts as failed.
func (p parameters) HeartbeatTimeout() micros.Micros {
	return micros.FromSeconds(max(p.Operators.SilentS, heartbeatSpread*p.Deployment.Workers.ReportS+heartbeatRetryS))
}

// MaxHeartbeatInterval is the longest time between two heartbeats of a healthy worker.
func (p parameters) MaxHeartbeatInterval() micros.Micros {
	return micros.FromSeconds(heartbeatSpread*p.Deployment.Workers.ReportS) + micros.Second
}

// ContactTimeout is how old a machine's last heartbeat may be when it is given work.
func (p parameters) ContactTimeout() micros.Micros {
	return max(minContactTimeout, micros.FromSeconds(contactSpread*p.Deployment.Workers.ReportS))
}

// MaxValueBytes is the size of the largest value that is written, in bytes.
func (p parameters) MaxValueBytes() int { return int(p.Deployment.Store.ValueKB * bytesPerKB) }

// MaxCompares is how many compares a transaction may have.
func (p parameters) MaxCompares() int {
	return comparesPerOp * p.Deployment.Store.MaxTransactionOps
}

// watchTimeout is how long a watch waits for a change. Its reply shows how things were
// no earlier than when the watch was sent, and the answer window counts from there, so
// it must be well within that.
func (p parameters) watchTimeout() micros.Micros {
	return max(minWatchTimeout, min(maxWatchTimeout, p.AnswerWindow()/watchesPerAnswerWindow))
}

// readInterval is the least time between two reads for users.
func (p parameters) readInterval() micros.Micros {
	controllers := float64(len(p.Nodes))
	interval := micros.Micros(float64(micros.Second) * controllers / (readShare * p.Deployment.Store.RPS))
	return max(minReadInterval, interval)
}
