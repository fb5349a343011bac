package coordination

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// renewalsPerTTL is how many times the lease is renewed within its time to live.
	renewalsPerTTL = 4

	// renewalRetryInterval is the time from a failed renewal to the next, before jitter.
	renewalRetryInterval = micros.Second / 2
)

// StoreLease maintains our lease on the key-value store. The keys of our roles are attached
// to the lease, and we may act under those roles until the lease may have expired.
type StoreLease struct {
	*Environment
	cache    *WatchCache
	peers    *PeerTracker
	Observer leaseObserver // set after construction, because the observer needs this lease

	Lease           leadership.Lease
	NextRenewalAt   micros.Micros
	RenewalInFlight bool
	answeringSince  micros.Micros // since when we can answer heartbeats; 0 if we can't
	resumedAt       micros.Micros // when the process last resumed after a pause; 0 if never
}

// leaseObserver is notified when the store has ended our lease.
type leaseObserver interface{ leaseLost() }

// NewStoreLease returns a store lease that is not granted yet. The caller must set Observer
// before replies are handled.
func NewStoreLease(env *Environment, cache *WatchCache, peers *PeerTracker) *StoreLease {
	l := &StoreLease{Environment: env, cache: cache, peers: peers}
	l.Lease.TTL = env.Settings.LeaseTTL()
	return l
}

// Valid reports whether our lease is certain not to have expired. Without a valid lease no
// decision may be made. A controller that resumes after a long pause would otherwise time
// out its machines by its clock before it learns that another controller leads its
// partition now, and would report all their tasks as gone.
func (l *StoreLease) Valid() bool { return l.Lease.Valid(l.Now) }

// Grant returns a grant for an action under a role, which expires when our lease may have
// expired. It returns a grant that permits nothing if the lease is not valid.
func (l *StoreLease) Grant(role *leadership.RoleState, action leadership.Action) leadership.Grant {
	if !l.Valid() {
		return leadership.Grant{}
	}
	return role.Grant(action, l.Now, l.Lease.ExpiresAt())
}

// Renew requests or renews our lease if that is due and no such call is in flight.
func (l *StoreLease) Renew() {
	if l.RenewalInFlight || l.Now < l.NextRenewalAt {
		return
	}
	l.RenewalInFlight = true
	sentAt := l.Now
	l.CallStore(l.renewalCall(), func(reply *message.StoreReply) { l.handleRenewalReply(reply, sentAt) })
}

// renewalCall returns the call that renews our lease or, if we have none, requests one.
func (l *StoreLease) renewalCall() message.StoreCall {
	if l.Lease.ID == 0 {
		return message.StoreCall{Op: message.OpGrantLease, TTLMs: l.Settings.LeaseTTL().Milliseconds(), Urgent: true}
	}
	return message.StoreCall{Op: message.OpRenewLease, LeaseID: l.Lease.ID, Urgent: true}
}

// handleRenewalReply handles the reply to a renewal. The lease counts from when the renewal
// was sent, because the store may have received it at once.
func (l *StoreLease) handleRenewalReply(reply *message.StoreReply, sentAt micros.Micros) {
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
