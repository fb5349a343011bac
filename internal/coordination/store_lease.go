package coordination

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// renewalsPerTTL is how many times the lease is renewed in its time to live.
	renewalsPerTTL = 4

	// renewalRetryInterval is how long after a failed renewal the next is sent, before
	// jitter.
	renewalRetryInterval = micros.Second / 2
)

// StoreLease is our lease on the key-value store, which the keys of our roles are
// attached to. Until it may have expired we may act under those roles.
type StoreLease struct {
	*Environment
	cache    *WatchCache
	peers    *PeerTracker
	Observer leaseObserver // set once the observer, which reads from here, is made

	Lease           leadership.Lease
	NextRenewalAt   micros.Micros
	RenewalInFlight bool
	answeringSince  micros.Micros // since when heartbeats can be answered; 0: they can't
	resumedAt       micros.Micros // when the process last resumed after a pause; 0: never
}

// leaseObserver is told when the store ended our lease.
type leaseObserver interface{ leaseLost() }

// NewStoreLease makes a store lease.
func NewStoreLease(env *Environment, cache *WatchCache, peers *PeerTracker) *StoreLease {
	l := &StoreLease{Environment: env, cache: cache, peers: peers}
	l.Lease.TTL = env.Settings.LeaseTTL()
	return l
}

// LeaseValid reports whether our lease is certain not to have expired. Nothing is
// decided without it: a controller that resumed after a long pause judged its machines
// by its clock before it learned that others now led its partition, and until then
// reported all their tasks as gone.
func (l *StoreLease) LeaseValid() bool { return l.Lease.Valid(l.Now) }

// Grant returns the permission for an action under a role until our lease may have
// expired; none if it may have already.
func (l *StoreLease) Grant(role *leadership.RoleState, action leadership.Action) leadership.Grant {
	if !l.LeaseValid() {
		return leadership.Grant{}
	}
	return role.Grant(action, l.Now, l.Lease.ExpiresAt())
}

// RenewLease has our lease granted or renewed, when that is due.
func (l *StoreLease) RenewLease() {
	if l.RenewalInFlight || l.Now < l.NextRenewalAt {
		return
	}
	l.RenewalInFlight = true
	sentAt := l.Now
	l.CallStore(l.renewalCall(), func(reply *message.StoreReply) { l.handleRenewal(reply, sentAt) })
}

// renewalCall returns the request that renews our lease, or grants us one.
func (l *StoreLease) renewalCall() message.StoreCall {
	if l.Lease.ID == 0 {
		return message.StoreCall{Op: message.OpGrantLease, TTLMs: l.Settings.LeaseTTL().Milliseconds(), Urgent: true}
	}
	return message.StoreCall{Op: message.OpRenewLease, LeaseID: l.Lease.ID, Urgent: true}
}

// handleRenewal takes in the reply to a renewal. The lease counts from when the renewal
// was sent, since the store may have received it at once.
func (l *StoreLease) handleRenewal(reply *message.StoreReply, sentAt micros.Micros) {
	l.RenewalInFlight = false
	l.NextRenewalAt = l.Now + l.Settings.LeaseTTL()/renewalsPerTTL
	switch reply.Status {
	case message.StatusOK:
		if l.Lease.ID == 0 {
			l.Lease.ID = reply.LeaseID
		}
		l.Lease.RenewalSentAt = sentAt
	case message.StatusNotFound:
		l.LogInfo("store lease lost", logkey.Lease, l.Lease.ID)
		l.Lease.ID, l.Lease.RenewalSentAt = 0, 0
		l.NextRenewalAt = l.Now
		l.Observer.leaseLost()
	default:
		l.NextRenewalAt = l.Now + l.Jitter(renewalRetryInterval)
	}
}
