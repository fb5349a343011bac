package core

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// How duties change hands: partitions and the fleet's alike. A duty is held by who
// wrote its key, which hangs on the holder's lease; its term is the version of that
// key. Every write made under a duty guards that version.

// partitionObserver is told when this controller begins or ceases to lead a partition.
type partitionObserver interface {
	partitionAcquired(index int)
	partitionLost(index int, why string)
}

// failoverStep is how much later than the one before each further candidate takes a
// duty that came free.
const failoverStep = 3 * micros.Second / 2

// roleKey is a duty's key in the state service.
func roleKey(id leadership.Role) string {
	if id.Kind == leadership.PartitionLeader {
		return partitionKey + strconv.Itoa(id.Index)
	}
	return fleetRoleKey + id.String()
}

// leaderClaim is what this process writes under the key of a duty that it takes.
func (c *Controller) leaderClaim() leadership.Claim {
	return leadership.Claim{Node: c.settings.Node, Process: c.incarnation}
}

// grant gives the permission for something under a duty until our lease may have
// ended; none without a lease that is known to hold.
func (c *Controller) grant(h *leadership.RoleState, action leadership.Action) leadership.Grant {
	if !c.leaseValid() {
		return leadership.Grant{}
	}
	return h.Grant(action, c.now, c.lease.ExpiresAt())
}

// commandGrant gives the permission to command workers: until the answer deadline.
func (c *Controller) commandGrant(p *partition) leadership.Grant {
	return p.Grant(leadership.Command, c.now, c.answerDeadline())
}

// observeRole takes in a duty's key; version 0: it has none.
func (c *Controller) observeRole(h *leadership.RoleState, claim leadership.Claim, version uint64) {
	leased := c.lease.ID != 0
	if h.Contradicts(claim, version, c.leaderClaim(), leased) {
		c.loseRole(h, "taken or expired")
	}
	if h.Observe(c.now, claim, version, c.leaderClaim(), leased) {
		c.roleAcquired(h)
	}
}

// roleAcquired begins to act under a duty.
func (c *Controller) roleAcquired(h *leadership.RoleState) {
	if h.Role.Kind == leadership.PartitionLeader {
		c.observer.partitionAcquired(h.Role.Index)
		return
	}
	c.logInfo("duty taken over", "duty", h.Role.String(), "term", h.Term)
}

// loseRole stops acting under a duty.
func (c *Controller) loseRole(h *leadership.RoleState, why string) {
	h.End(c.now)
	if h.Role.Kind == leadership.PartitionLeader {
		c.observer.partitionLost(h.Role.Index, why)
		return
	}
	c.logInfo("duty lost", "duty", h.Role.String(), "why", why)
}

// defaultLeader is the controller that a duty belongs to by default, by its place among all.
func (c *Controller) defaultLeader(id leadership.Role) int {
	at := id.Index
	if id.Kind != leadership.PartitionLeader {
		at = c.settings.Operators.Partitions + slices.Index(leadership.FleetRoles(), id)
	}
	return at % len(c.settings.Nodes)
}

// failoverRank is how many candidates come before a node for a duty. One that is
// stopping is none.
func (c *Controller) failoverRank(id leadership.Role, node string) int {
	n := len(c.settings.Nodes)
	rank := 0
	for i := range n {
		candidate := c.settings.Nodes[(c.defaultLeader(id)+i)%n]
		if candidate == node {
			break
		}
		if h := c.peers[candidate]; h == nil || !h.stopping || c.now > h.lastHeartbeatAt+stoppingPeerTimeout {
			rank++
		}
	}
	return rank
}

// reconcileRoles takes the duties that are free for us, and gives back those that are
// another's by default.
func (c *Controller) reconcileRoles() {
	if !c.synced {
		return
	}
	for _, h := range c.roles {
		switch wanted := c.wantsRole(h); {
		case h.Leads() && !wanted:
			c.resignRole(h, c.resignReason(h))
		case h.Leads():
			c.returnToDefaultLeader(h)
		case wanted && !h.Acquiring && c.mayAcquireRoles() && c.isVacant(h):
			c.acquireRole(h)
		}
	}
}

// mayAcquireRoles tells whether we are fit to take duties: with a lease that lasts for a while
// yet, and not cut off.
func (c *Controller) mayAcquireRoles() bool {
	if c.lease.ID == 0 || c.now >= c.lease.RenewalSentAt+c.leaseTTL()/2 || c.now < c.noFailoverBefore {
		return false
	}
	return !c.isolatedFromWorkers || !c.healthyPeerKnown()
}

// isVacant tells whether a duty may be taken by us now: an earlier process of ours holds
// it, or nobody does and it is our turn.
func (c *Controller) isVacant(h *leadership.RoleState) bool {
	if h.Term > 0 {
		return h.Claim.Node == c.settings.Node
	}
	return c.now >= h.VacantAt+micros.Micros(c.failoverRank(h.Role, c.settings.Node))*failoverStep
}

func (c *Controller) acquireRole(h *leadership.RoleState) {
	h.Acquiring = true
	t := &transaction{grant: electionGrant, request: api.Transaction{Compares: []api.Compare{{Key: roleKey(h.Role), Version: h.Term}},
		Writes: []api.Write{{Put: roleKey(h.Role), Value: mustMarshal(c.leaderClaim()), Lease: c.lease.ID}}}}
	free := func() { h.Acquiring = false; h.VacantAt = max(h.VacantAt, c.now-micros.Second) }
	// Held only once the replica shows it: then it shows all before it too.
	t.onCommitted = func(uint64) { c.readLatest(func(bool) { free() }) }
	t.onRefused = free
	c.submitTransaction(t)
}

// electionGrant permits to take a duty or to give it up: the write guards its key.
func electionGrant() leadership.Grant {
	return leadership.SharedGrant(leadership.ForElection, leadership.Write)
}

// returnToDefaultLeader returns a duty to the controller that it belongs to by default,
// once that one has been well for a while.
func (c *Controller) returnToDefaultLeader(d *leadership.RoleState) {
	owner := c.settings.Nodes[c.defaultLeader(d.Role)]
	h := c.peers[owner]
	if owner == c.settings.Node || c.now < d.AcquiredAt+15*micros.Second || h == nil || !h.healthy || h.stopping || c.now > h.lastHeartbeatAt+3*micros.Second || c.now < h.healthySince+8*micros.Second {
		return
	}
	c.resignRole(d, "handed back to "+owner)
}

// resignRole gives a duty up. We stop acting under it before the key goes.
func (c *Controller) resignRole(h *leadership.RoleState, why string) {
	term := h.Term
	c.loseRole(h, why)
	h.Resign(c.now)
	h.VacantAt = c.now + 3*micros.Second
	t := &transaction{grant: electionGrant, onCommitted: func(uint64) {}, onRefused: func() {}}
	t.request.Compares = []api.Compare{{Key: roleKey(h.Role), Version: term}}
	t.request.Writes = []api.Write{{Delete: roleKey(h.Role)}}
	c.submitTransaction(t)
}
