package coordination

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// StoreLease is our lease on the key-value store, which our roles hang on, and what may
// be done while it holds: who may act until when.
type StoreLease struct {
	*Environment
	cache    *WatchCache
	peers    *PeerTracker
	Observer leaseObserver // set once the observer, which reads from here, is made

	Lease           leadership.Lease
	NextRenewalAt   micros.Micros
	RenewalInFlight bool
	answeringSince  micros.Micros // since when heartbeats can be answered; 0: they can't
	resumedAt       micros.Micros // after a pause of the process
}

// NewStoreLease makes a store lease.
func NewStoreLease(env *Environment, cache *WatchCache, peers *PeerTracker) *StoreLease {
	l := &StoreLease{Environment: env, cache: cache, peers: peers}
	l.Lease.TTL = env.Settings.LeaseTTL()
	return l
}

// leaseObserver is told when the store ended our lease.
type leaseObserver interface{ leaseLost() }

// certainAsOf is from when the answer deadline counts: the last moment at which we were
// known to hold our lease and the replica to be complete. A renewal alone does not
// move it: one once succeeded while the watch still hung after a refusal, and a
// cancellation told elsewhere in between outlived cancel_s in the outage after it.
func (l *StoreLease) certainAsOf() micros.Micros {
	return min(l.Lease.RenewalSentAt, l.cache.CurrentAsOf)
}

// AnswerDeadline is when the answer deadline ends.
func (l *StoreLease) AnswerDeadline() micros.Micros {
	return l.certainAsOf() + l.Settings.AnswerWindow()
}

// maxStartAge is how old the replica may be when a task is started: a cancellation
// told elsewhere since is not in it.
const maxStartAge = 4 * micros.Second

// MayStartTasks tells whether tasks may be started: a holder that lost the state
// service goes on with what runs and starts nothing more.
func (l *StoreLease) MayStartTasks() bool {
	return l.LeaseValid() && l.Now < l.cache.CurrentAsOf+maxStartAge
}

// MayAnswerFor tells whether we may answer reports for a partition. Past our lease we do
// so only while the state service may be away for everyone: where another
// controller has it, the workers move on to that one at once.
func (l *StoreLease) MayAnswerFor(role *leadership.RoleState) bool {
	return role.Leads() && l.mayAnswerHeartbeats()
}

// mayAnswerHeartbeats tells whether a holder may answer reports now.
func (l *StoreLease) mayAnswerHeartbeats() bool {
	if l.Lease.RenewalSentAt == 0 || l.Now >= l.AnswerDeadline() {
		return false
	}
	return l.Now < l.Lease.RenewalSentAt+l.Settings.LeaseTTL()+micros.Second || !l.peers.HealthyPeerKnown() && !l.justResumed()
}

// RenewLease has our lease granted and renewed.
func (l *StoreLease) RenewLease() {
	if l.RenewalInFlight || l.Now < l.NextRenewalAt {
		return
	}
	l.RenewalInFlight = true
	sent := l.Now
	call := message.StoreCall{Op: message.OpRenewLease, Lease: l.Lease.ID, Urgent: true}
	if l.Lease.ID == 0 {
		call = message.StoreCall{Op: message.OpGrantLease, TTLMs: l.Settings.LeaseTTL().Milliseconds(), Urgent: true}
	}
	l.CallStore(call, func(r *message.StoreReply) {
		l.RenewalInFlight = false
		l.NextRenewalAt = l.Now + l.Settings.LeaseTTL()/4
		switch r.Status {
		case 200:
			if l.Lease.ID == 0 {
				l.Lease.ID = r.Lease
			}
			l.Lease.RenewalSentAt = sent
		case 404:
			l.LogInfo("store lease lost", logkey.Lease, l.Lease.ID)
			l.Lease.ID, l.Lease.RenewalSentAt = 0, 0
			l.NextRenewalAt = l.Now
			l.Observer.leaseLost()
		default:
			l.NextRenewalAt = l.Now + l.Jitter(micros.Second/2)
		}
	})
}

// Grant gives the permission for something under a duty until our lease may have
// ended; none without a lease that is known to hold.
func (l *StoreLease) Grant(h *leadership.RoleState, action leadership.Action) leadership.Grant {
	if !l.LeaseValid() {
		return leadership.Grant{}
	}
	return h.Grant(action, l.Now, l.Lease.ExpiresAt())
}

// CommandGrant gives the permission to command workers: until the answer deadline.
func (l *StoreLease) CommandGrant(role *leadership.RoleState) leadership.Grant {
	return role.Grant(leadership.Command, l.Now, l.AnswerDeadline())
}

// pauseThreshold is the gap between two inputs that counts as a pause of the
// process. Ticks come every tenth of a second.
const pauseThreshold = 2 * micros.Second

// peerGracePeriod is how long after a pause a controller waits for the others'
// heartbeats before it takes their silence for theirs.
const peerGracePeriod = 3 * micros.Second

// DetectPause logs that the process did not run for a while although its clock
// did, as after a virtual machine was suspended.
func (l *StoreLease) DetectPause(previous micros.Micros) {
	if previous == 0 || l.Now-previous < pauseThreshold {
		return
	}
	l.answeringSince = 0
	l.resumedAt = l.Now
	l.LogWarn("process was paused", logkey.ForS, (l.Now - previous).WholeSeconds(), logkey.LeaseValid, l.LeaseValid())
}

// justResumed tells whether the process stood still so lately that it can't have
// heard from the others since. One that resumed after its lease, but within its answer
// deadline, once took their silence during its own pause for an outage of all, and
// answered workers that another controller commanded by then.
func (l *StoreLease) justResumed() bool {
	return l.resumedAt > 0 && l.Now < l.resumedAt+peerGracePeriod
}

// LeaseValid tells whether our lease is known to hold now. Nothing is decided
// without it: a controller that resumed after a long pause judged its machines
// by its clock before it learned that others had taken its partition over, and
// until then reported all their tasks as gone.
func (l *StoreLease) LeaseValid() bool { return l.Lease.Valid(l.Now) }

// TrackAnswering notes since when reports can be answered.
func (l *StoreLease) TrackAnswering() {
	switch {
	case !l.cache.Synced || !l.mayAnswerHeartbeats():
		l.answeringSince = 0
	case l.answeringSince == 0:
		l.answeringSince = l.Now
	}
}

// MissedHeartbeatsCountFrom gives a time from which a machine's silence may be counted: none that was
// ours. After an outage of 70 s in which no report could be answered, 77 of some 390
// machines were returned as silent before their reports came again.
func (l *StoreLease) MissedHeartbeatsCountFrom(at micros.Micros) micros.Micros {
	return max(at, l.answeringSince)
}
