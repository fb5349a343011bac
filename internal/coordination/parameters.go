package coordination

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// parameters are the settings with the times and bounds that follow from them alone.
type parameters struct{ *settings.Settings }

// LeaseTTL is how long our lease lasts.
func (p parameters) LeaseTTL() micros.Micros {
	return micros.FromSeconds(p.Operators.LeaseTTLS)
}

// AnswerWindow is how long a holder still answers reports after the last moment of
// which its replica shows all: a task that is kept alive by an answer given then,
// though its job was cancelled elsewhere, is gone within cancel_s all the same.
func (p parameters) AnswerWindow() micros.Micros {
	return min(micros.FromSeconds(p.Deployment.AnswerWindowS()), 40*micros.Second)
}

// FormerLeaderLeaseBound is how long after a take-over a worker that the holder before
// may have answered can have kept its tasks.
func (p parameters) FormerLeaderLeaseBound() micros.Micros {
	return max(0, p.AnswerWindow()-p.LeaseTTL()) + p.WorkerLease() + micros.Second
}

// WorkerLease is the workers' lease by a clock that runs slow.
func (p parameters) WorkerLease() micros.Micros {
	return micros.FromSeconds(p.Deployment.Workers.LeaseS * 1.002)
}

// HeartbeatTimeout is how long a machine may say nothing: a report may be lost, given
// up on after 4 s and be sent again elsewhere a second later.
func (p parameters) HeartbeatTimeout() micros.Micros {
	return micros.FromSeconds(max(p.Operators.SilenceS, 1.25*p.Deployment.Workers.ReportS+6))
}

// MaxHeartbeatInterval is the longest time between two reports of a worker that is well.
func (p parameters) MaxHeartbeatInterval() micros.Micros {
	return micros.FromSeconds(1.25*p.Deployment.Workers.ReportS) + micros.Second
}

// ContactTimeout is how long ago a machine may have been heard to be given work.
func (p parameters) ContactTimeout() micros.Micros {
	return max(8*micros.Second, micros.FromSeconds(1.6*p.Deployment.Workers.ReportS))
}

// MaxValueBytes is the longest value written, in bytes.
func (p parameters) MaxValueBytes() int { return int(p.Deployment.Store.ValueKB * 1000) }

// MaxCompares is how many conditions a transaction may have.
func (p parameters) MaxCompares() int { return 4 * p.Deployment.Store.MaxTransactionOps }

// watchTimeout is how long a watch waits for a change: its answer says how things
// were no earlier than when it was asked for, and the answer deadline counts from there.
func (p parameters) watchTimeout() micros.Micros {
	return max(micros.Second/4, min(2*micros.Second, p.AnswerWindow()/6))
}

// readInterval is the least time between two reads for users: all controllers'
// together take three tenths of what the state service admits.
func (p parameters) readInterval() micros.Micros {
	return max(micros.Second/25, micros.Micros(float64(micros.Second)*float64(len(p.Nodes))/(0.3*p.Deployment.Store.RPS)))
}
