package coordination

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

const (
	// maxCacheAgeForStart is the maximum age of the watch cache at which a task may be
	// started. An older cache may lack a cancellation that another controller confirmed.
	maxCacheAgeForStart = 4 * micros.Second

	// answerGracePeriod is how long after our lease expired we answer heartbeats even if
	// another controller is healthy.
	answerGracePeriod = micros.Second
)

// AnswerDeadline returns the end of the answer window. From then on we answer no
// heartbeat and send no command to a worker.
func (l *StoreLease) AnswerDeadline() micros.Micros {
	return l.confirmedAsOf() + l.Settings.AnswerWindow()
}

// confirmedAsOf returns the start of the answer window: the last time at which our lease
// was known to be valid and the watch cache to be complete. A renewal alone must not move
// it. A renewal can succeed while the watch still hangs after a refusal. Another
// controller may confirm a cancellation in the meantime. If an outage follows, that
// cancellation would take effect later than cancel_s.
func (l *StoreLease) confirmedAsOf() micros.Micros {
	return min(l.Lease.RenewalSentAt, l.cache.CurrentAsOf)
}

// CommandGrant returns a grant to command workers, which expires at the answer deadline.
func (l *StoreLease) CommandGrant(role *leadership.RoleState) leadership.Grant {
	return role.Grant(leadership.ActionCommand, l.Now, l.AnswerDeadline())
}

// MayStartTasks reports whether tasks may be started. A leader that cannot reach the
// store keeps its running tasks and starts none.
func (l *StoreLease) MayStartTasks() bool {
	return l.Valid() && l.Now < l.cache.CurrentAsOf+maxCacheAgeForStart
}

// MayAnswerFor reports whether we lead a partition and may answer the heartbeats of its
// workers. role is the role of the partition's leader.
func (l *StoreLease) MayAnswerFor(role *leadership.RoleState) bool {
	return role.Leads() && l.mayAnswerHeartbeats()
}

// mayAnswerHeartbeats reports whether a leader may answer heartbeats now. After our lease
// expired we answer only while the store may be unavailable to all controllers. If another
// controller reaches the store, workers must move to that one at once.
func (l *StoreLease) mayAnswerHeartbeats() bool {
	if l.Lease.RenewalSentAt == 0 || l.Now >= l.AnswerDeadline() {
		return false
	}
	if l.Now < l.Lease.RenewalSentAt+l.Settings.LeaseTTL()+answerGracePeriod {
		return true
	}
	return !l.peers.AnyPeerHealthy() && !l.justResumed()
}

// UpdateAnsweringSince sets the time since which heartbeats can be answered, or clears it
// while they can't. It is called regularly.
func (l *StoreLease) UpdateAnsweringSince() {
	switch {
	case !l.cache.Synced || !l.mayAnswerHeartbeats():
		l.answeringSince = 0
	case l.answeringSince == 0:
		l.answeringSince = l.Now
	}
}

// AnswerableSince returns the later of a given time and the time since which we can answer
// heartbeats. Timeouts of machines count from it, because a machine must not time out while
// we can't answer it. Without this, after an outage of 70 s without answers, 77 of about
// 390 machines are deleted as failed before their heartbeats resume.
func (l *StoreLease) AnswerableSince(since micros.Micros) micros.Micros {
	return max(since, l.answeringSince)
}
