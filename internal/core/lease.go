package core

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// leaseState is our lease on the state service, which our duties hang on.
type leaseState struct {
	lease           leadership.Lease
	nextRenewalAt   micros.Micros
	renewalInFlight bool
	leaseObserver   leaseObserver
}

// leaseObserver is told when the store ended our lease.
type leaseObserver interface{ leaseLost() }

// leaseLost stops acting under all roles.
func (c *Controller) leaseLost() {
	for _, h := range c.roles {
		if h.Leads() {
			c.loseRole(h, "our lease ended")
		}
	}
}

// leaseTTL is how long our lease lasts.
func (c *Controller) leaseTTL() micros.Micros {
	return micros.FromSeconds(c.settings.Operators.LeaseTTLS)
}

// answerWindow is how long a holder still answers reports after the last moment of
// which its replica shows all: a task that is kept alive by an answer given then,
// though its job was cancelled elsewhere, is gone within cancel_s all the same.
func (c *Controller) answerWindow() micros.Micros {
	return min(micros.FromSeconds(c.settings.Deployment.AnswerWindowS()), 40*micros.Second)
}

// certainAsOf is from when the answer deadline counts: the last moment at which we were
// known to hold our lease and the replica to be complete. A renewal alone does not
// move it: one once succeeded while the watch still hung after a refusal, and a
// cancellation told elsewhere in between outlived cancel_s in the outage after it.
func (c *Controller) certainAsOf() micros.Micros { return min(c.lease.RenewalSentAt, c.currentAsOf) }

// answerDeadline is when the answer deadline ends.
func (c *Controller) answerDeadline() micros.Micros { return c.certainAsOf() + c.answerWindow() }

// maxStartAge is how old the replica may be when a task is started: a cancellation
// told elsewhere since is not in it.
const maxStartAge = 4 * micros.Second

// mayStartTasks tells whether tasks may be started: a holder that lost the state
// service goes on with what runs and starts nothing more.
func (c *Controller) mayStartTasks() bool {
	return c.leaseValid() && c.now < c.currentAsOf+maxStartAge
}

// formerLeaderLeaseBound is how long after a take-over a worker that the holder before
// may have answered can have kept its tasks.
func (c *Controller) formerLeaderLeaseBound() micros.Micros {
	return max(0, c.answerWindow()-c.leaseTTL()) + c.workerLease() + micros.Second
}

// workerLease is the workers' lease by a clock that runs slow.
func (c *Controller) workerLease() micros.Micros {
	return micros.FromSeconds(c.settings.Deployment.Workers.LeaseS * 1.002)
}

// mayAnswerFor tells whether we may answer reports for a partition. Past our lease we do
// so only while the state service may be away for everyone: where another
// controller has it, the workers move on to that one at once.
func (c *Controller) mayAnswerFor(p *partition) bool { return p.Leads() && c.mayAnswerHeartbeats() }

// mayAnswerHeartbeats tells whether a holder may answer reports now.
func (c *Controller) mayAnswerHeartbeats() bool {
	if c.lease.RenewalSentAt == 0 || c.now >= c.answerDeadline() {
		return false
	}
	return c.now < c.lease.RenewalSentAt+c.leaseTTL()+micros.Second || !c.healthyPeerKnown() && !c.justResumed()
}

// healthyPeerKnown tells whether another controller lately said that it is well. What
// it said before it can have noticed an outage that we noticed does not count:
// all controllers once left the users' balancer at the start of each outage.
func (c *Controller) healthyPeerKnown() bool {
	for _, h := range c.peers {
		if h.healthy && c.now < h.lastHeartbeatAt+3*micros.Second && (c.unavailableSince == 0 || h.lastHeartbeatAt > c.unavailableSince+3*micros.Second/2) {
			return true
		}
	}
	return false
}

// renewLease has our lease granted and renewed.
func (c *Controller) renewLease() {
	if c.renewalInFlight || c.now < c.nextRenewalAt {
		return
	}
	c.renewalInFlight = true
	sent := c.now
	call := StoreCall{Op: OpRenewLease, Lease: c.lease.ID, Urgent: true}
	if c.lease.ID == 0 {
		call = StoreCall{Op: OpGrantLease, TTLMs: c.leaseTTL().Milliseconds(), Urgent: true}
	}
	c.callStore(call, func(r *StoreReply) {
		c.renewalInFlight = false
		c.nextRenewalAt = c.now + c.leaseTTL()/4
		switch r.Status {
		case 200:
			if c.lease.ID == 0 {
				c.lease.ID = r.Lease
			}
			c.lease.RenewalSentAt = sent
		case 404:
			c.logInfo("lease lost", "lease", c.lease.ID)
			c.lease.ID, c.lease.RenewalSentAt = 0, 0
			c.nextRenewalAt = c.now
			c.leaseObserver.leaseLost()
		default:
			c.nextRenewalAt = c.now + c.jitter(micros.Second/2)
		}
	})
}
