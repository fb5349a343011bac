package core

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// storeLease is our lease on the key-value store, which our roles hang on, and what may
// be done while it holds: who may act until when.
type storeLease struct {
	*environment
	cache    *watchCache
	peers    *peerTracker
	observer leaseObserver // set once the observer, which reads from here, is made

	lease           leadership.Lease
	nextRenewalAt   micros.Micros
	renewalInFlight bool
	answeringSince  micros.Micros // since when heartbeats can be answered; 0: they can't
	resumedAt       micros.Micros // after a pause of the process
}

func newStoreLease(env *environment, cache *watchCache, peers *peerTracker) *storeLease {
	l := &storeLease{environment: env, cache: cache, peers: peers}
	l.lease.TTL = env.settings.leaseTTL()
	return l
}

// leaseObserver is told when the store ended our lease.
type leaseObserver interface{ leaseLost() }

// certainAsOf is from when the answer deadline counts: the last moment at which we were
// known to hold our lease and the replica to be complete. A renewal alone does not
// move it: one once succeeded while the watch still hung after a refusal, and a
// cancellation told elsewhere in between outlived cancel_s in the outage after it.
func (l *storeLease) certainAsOf() micros.Micros {
	return min(l.lease.RenewalSentAt, l.cache.currentAsOf)
}

// answerDeadline is when the answer deadline ends.
func (l *storeLease) answerDeadline() micros.Micros {
	return l.certainAsOf() + l.settings.answerWindow()
}

// maxStartAge is how old the replica may be when a task is started: a cancellation
// told elsewhere since is not in it.
const maxStartAge = 4 * micros.Second

// mayStartTasks tells whether tasks may be started: a holder that lost the state
// service goes on with what runs and starts nothing more.
func (l *storeLease) mayStartTasks() bool {
	return l.leaseValid() && l.now < l.cache.currentAsOf+maxStartAge
}

// mayAnswerFor tells whether we may answer reports for a partition. Past our lease we do
// so only while the state service may be away for everyone: where another
// controller has it, the workers move on to that one at once.
func (l *storeLease) mayAnswerFor(role *leadership.RoleState) bool {
	return role.Leads() && l.mayAnswerHeartbeats()
}

// mayAnswerHeartbeats tells whether a holder may answer reports now.
func (l *storeLease) mayAnswerHeartbeats() bool {
	if l.lease.RenewalSentAt == 0 || l.now >= l.answerDeadline() {
		return false
	}
	return l.now < l.lease.RenewalSentAt+l.settings.leaseTTL()+micros.Second || !l.peers.healthyPeerKnown() && !l.justResumed()
}

// renewLease has our lease granted and renewed.
func (l *storeLease) renewLease() {
	if l.renewalInFlight || l.now < l.nextRenewalAt {
		return
	}
	l.renewalInFlight = true
	sent := l.now
	call := StoreCall{Op: OpRenewLease, Lease: l.lease.ID, Urgent: true}
	if l.lease.ID == 0 {
		call = StoreCall{Op: OpGrantLease, TTLMs: l.settings.leaseTTL().Milliseconds(), Urgent: true}
	}
	l.callStore(call, func(r *StoreReply) {
		l.renewalInFlight = false
		l.nextRenewalAt = l.now + l.settings.leaseTTL()/4
		switch r.Status {
		case 200:
			if l.lease.ID == 0 {
				l.lease.ID = r.Lease
			}
			l.lease.RenewalSentAt = sent
		case 404:
			l.logInfo("lease lost", "lease", l.lease.ID)
			l.lease.ID, l.lease.RenewalSentAt = 0, 0
			l.nextRenewalAt = l.now
			l.observer.leaseLost()
		default:
			l.nextRenewalAt = l.now + l.jitter(micros.Second/2)
		}
	})
}

// grant gives the permission for something under a duty until our lease may have
// ended; none without a lease that is known to hold.
func (l *storeLease) grant(h *leadership.RoleState, action leadership.Action) leadership.Grant {
	if !l.leaseValid() {
		return leadership.Grant{}
	}
	return h.Grant(action, l.now, l.lease.ExpiresAt())
}

// commandGrant gives the permission to command workers: until the answer deadline.
func (l *storeLease) commandGrant(role *leadership.RoleState) leadership.Grant {
	return role.Grant(leadership.Command, l.now, l.answerDeadline())
}

// pauseThreshold is the gap between two inputs that counts as a pause of the
// process. Ticks come every tenth of a second.
const pauseThreshold = 2 * micros.Second

// peerGracePeriod is how long after a pause a controller waits for the others'
// heartbeats before it takes their silence for theirs.
const peerGracePeriod = 3 * micros.Second

// detectPause logs that the process did not run for a while although its clock
// did, as after a virtual machine was suspended.
func (l *storeLease) detectPause(previous micros.Micros) {
	if previous == 0 || l.now-previous < pauseThreshold {
		return
	}
	l.answeringSince = 0
	l.resumedAt = l.now
	l.logWarn("process was paused", "for_s", (l.now - previous).WholeSeconds(), "lease_valid", l.leaseValid())
}

// justResumed tells whether the process stood still so lately that it can't have
// heard from the others since. One that resumed after its lease, but within its answer
// deadline, once took their silence during its own pause for an outage of all, and
// answered workers that another controller commanded by then.
func (l *storeLease) justResumed() bool {
	return l.resumedAt > 0 && l.now < l.resumedAt+peerGracePeriod
}

// leaseValid tells whether our lease is known to hold now. Nothing is decided
// without it: a controller that resumed after a long pause judged its machines
// by its clock before it learned that others had taken its partition over, and
// until then reported all their tasks as gone.
func (l *storeLease) leaseValid() bool { return l.lease.Valid(l.now) }

// trackAnswering notes since when reports can be answered.
func (l *storeLease) trackAnswering() {
	switch {
	case !l.cache.synced || !l.mayAnswerHeartbeats():
		l.answeringSince = 0
	case l.answeringSince == 0:
		l.answeringSince = l.now
	}
}

// silenceCountsFrom gives a time from which a machine's silence may be counted: none that was
// ours. After an outage of 70 s in which no report could be answered, 77 of some 390
// machines were returned as silent before their reports came again.
func (l *storeLease) silenceCountsFrom(at micros.Micros) micros.Micros {
	return max(at, l.answeringSince)
}
