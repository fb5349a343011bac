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
func (m *roleManager) leaderClaim() leadership.Claim {
	return leadership.Claim{Node: m.settings.Node, Process: m.incarnation}
}

// observeRole takes in a duty's key; version 0: it has none.
func (m *roleManager) observeRole(h *leadership.RoleState, claim leadership.Claim, version uint64) {
	leased := m.storeLease.lease.ID != 0
	if h.Contradicts(claim, version, m.leaderClaim(), leased) {
		m.loseRole(h, "taken or expired")
	}
	if h.Observe(m.now, claim, version, m.leaderClaim(), leased) {
		m.roleAcquired(h)
	}
}

// roleAcquired begins to act under a duty.
func (m *roleManager) roleAcquired(h *leadership.RoleState) {
	if h.Role.Kind == leadership.PartitionLeader {
		m.observer.partitionAcquired(h.Role.Index)
		return
	}
	m.logInfo("duty taken over", "duty", h.Role.String(), "term", h.Term)
}

// loseRole stops acting under a duty.
func (m *roleManager) loseRole(h *leadership.RoleState, why string) {
	h.End(m.now)
	if h.Role.Kind == leadership.PartitionLeader {
		m.observer.partitionLost(h.Role.Index, why)
		return
	}
	m.logInfo("duty lost", "duty", h.Role.String(), "why", why)
}

// defaultLeader is the controller that a duty belongs to by default, by its place among all.
func (m *roleManager) defaultLeader(id leadership.Role) int {
	at := id.Index
	if id.Kind != leadership.PartitionLeader {
		at = m.settings.Operators.Partitions + slices.Index(leadership.FleetRoles(), id)
	}
	return at % len(m.settings.Nodes)
}

// failoverRank is how many candidates come before a node for a duty. One that is
// stopping is none.
func (m *roleManager) failoverRank(id leadership.Role, node string) int {
	n := len(m.settings.Nodes)
	rank := 0
	for i := range n {
		candidate := m.settings.Nodes[(m.defaultLeader(id)+i)%n]
		if candidate == node {
			break
		}
		if h := m.peers.byNode[candidate]; h == nil || !h.stopping || m.now > h.lastHeartbeatAt+stoppingPeerTimeout {
			rank++
		}
	}
	return rank
}

// reconcileRoles takes the duties that are free for us, and gives back those that are
// another's by default.
func (m *roleManager) reconcileRoles() {
	if !m.cache.synced {
		return
	}
	for _, h := range m.all {
		switch wanted := m.wantsRole(h); {
		case h.Leads() && !wanted:
			m.resignRole(h, m.resignReason(h))
		case h.Leads():
			m.returnToDefaultLeader(h)
		case wanted && !h.Acquiring && m.mayAcquireRoles() && m.isVacant(h):
			m.acquireRole(h)
		}
	}
}

// mayAcquireRoles tells whether we are fit to take duties: with a lease that lasts for a while
// yet, and not cut off.
func (m *roleManager) mayAcquireRoles() bool {
	if m.storeLease.lease.ID == 0 || m.now >= m.storeLease.lease.RenewalSentAt+m.settings.leaseTTL()/2 || m.now < m.workerReach.noFailoverBefore {
		return false
	}
	return !m.workerReach.isolatedFromWorkers || !m.peers.healthyPeerKnown()
}

// isVacant tells whether a duty may be taken by us now: an earlier process of ours holds
// it, or nobody does and it is our turn.
func (m *roleManager) isVacant(h *leadership.RoleState) bool {
	if h.Term > 0 {
		return h.Claim.Node == m.settings.Node
	}
	return m.now >= h.VacantAt+micros.Micros(m.failoverRank(h.Role, m.settings.Node))*failoverStep
}

func (m *roleManager) acquireRole(h *leadership.RoleState) {
	h.Acquiring = true
	t := &transaction{grant: electionGrant, request: api.Transaction{Compares: []api.Compare{{Key: roleKey(h.Role), Version: h.Term}},
		Writes: []api.Write{{Put: roleKey(h.Role), Value: mustMarshal(m.leaderClaim()), Lease: m.storeLease.lease.ID}}}}
	free := func() { h.Acquiring = false; h.VacantAt = max(h.VacantAt, m.now-micros.Second) }
	// Held only once the replica shows it: then it shows all before it too.
	t.onCommitted = func(uint64) { m.cache.readLatest(func(bool) { free() }) }
	t.onRefused = free
	m.transactions.submitTransaction(t)
}

// electionGrant permits to take a duty or to give it up: the write guards its key.
func electionGrant() leadership.Grant {
	return leadership.SharedGrant(leadership.ForElection, leadership.Write)
}

// returnToDefaultLeader returns a duty to the controller that it belongs to by default,
// once that one has been well for a while.
func (m *roleManager) returnToDefaultLeader(d *leadership.RoleState) {
	owner := m.settings.Nodes[m.defaultLeader(d.Role)]
	h := m.peers.byNode[owner]
	if owner == m.settings.Node || m.now < d.AcquiredAt+15*micros.Second || h == nil || !h.healthy || h.stopping || m.now > h.lastHeartbeatAt+3*micros.Second || m.now < h.healthySince+8*micros.Second {
		return
	}
	m.resignRole(d, "handed back to "+owner)
}

// resignRole gives a duty up. We stop acting under it before the key goes.
func (m *roleManager) resignRole(h *leadership.RoleState, why string) {
	term := h.Term
	m.loseRole(h, why)
	h.Resign(m.now)
	h.VacantAt = m.now + 3*micros.Second
	t := &transaction{grant: electionGrant, onCommitted: func(uint64) {}, onRefused: func() {}}
	t.request.Compares = []api.Compare{{Key: roleKey(h.Role), Version: term}}
	t.request.Writes = []api.Write{{Delete: roleKey(h.Role)}}
	m.transactions.submitTransaction(t)
}

// leaseLost stops acting under all roles.
func (m *roleManager) leaseLost() {
	for _, h := range m.all {
		if h.Leads() {
			m.loseRole(h, "our lease ended")
		}
	}
}
