package coordination

import (
	"slices"
	"strconv"

	"spurmoor/internal/logkey"

	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// How duties change hands: partitions and the fleet's alike. A duty is held by who
// wrote its key, which hangs on the holder's lease; its term is the version of that
// key. Every write made under a duty guards that version.

// partitionObserver is told when this controller begins or ceases to lead a partition.
type partitionObserver interface {
	PartitionAcquired(index int)
	PartitionLost(index int, why string)
}

// failoverStep is how much later than the one before each further candidate takes a
// duty that came free.
const failoverStep = 3 * micros.Second / 2

// RoleKey is a duty's key in the state service.
func RoleKey(id leadership.Role) string {
	if id.Kind == leadership.PartitionLeader {
		return records.PartitionPrefix + strconv.Itoa(id.Index)
	}
	return records.FleetRolePrefix + id.String()
}

// LeaderClaim is what this process writes under the key of a duty that it takes.
func (m *RoleManager) LeaderClaim() leadership.Claim {
	return leadership.Claim{Node: m.Settings.Node, Process: m.Incarnation}
}

// ObserveRole takes in a duty's key; version 0: it has none.
func (m *RoleManager) ObserveRole(h *leadership.RoleState, claim leadership.Claim, version uint64) {
	leased := m.storeLease.Lease.ID != 0
	if h.Contradicts(claim, version, m.LeaderClaim(), leased) {
		m.LoseRole(h, "taken or expired")
	}
	if h.Observe(m.Now, claim, version, m.LeaderClaim(), leased) {
		m.roleAcquired(h)
	}
}

// roleAcquired begins to act under a duty.
func (m *RoleManager) roleAcquired(h *leadership.RoleState) {
	if h.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionAcquired(h.Role.Index)
		return
	}
	m.LogInfo("role acquired", logkey.Role, h.Role.String(), logkey.Term, h.Term)
}

// LoseRole stops acting under a duty.
func (m *RoleManager) LoseRole(h *leadership.RoleState, why string) {
	h.End(m.Now)
	if h.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionLost(h.Role.Index, why)
		return
	}
	m.LogInfo("role lost", logkey.Role, h.Role.String(), logkey.Reason, why)
}

// defaultLeader is the controller that a duty belongs to by default, by its place among all.
func (m *RoleManager) defaultLeader(id leadership.Role) int {
	at := id.Index
	if id.Kind != leadership.PartitionLeader {
		at = m.Settings.Operators.Partitions + slices.Index(leadership.FleetRoles(), id)
	}
	return at % len(m.Settings.Nodes)
}

// failoverRank is how many candidates come before a node for a duty. One that is
// stopping is none.
func (m *RoleManager) failoverRank(id leadership.Role, node string) int {
	n := len(m.Settings.Nodes)
	rank := 0
	for i := range n {
		candidate := m.Settings.Nodes[(m.defaultLeader(id)+i)%n]
		if candidate == node {
			break
		}
		if h := m.peers.ByNode[candidate]; h == nil || !h.stopping || m.Now > h.LastHeartbeatAt+stoppingPeerTimeout {
			rank++
		}
	}
	return rank
}

// ReconcileRoles takes the duties that are free for us, and gives back those that are
// another's by default.
func (m *RoleManager) ReconcileRoles() {
	if !m.cache.Synced {
		return
	}
	for _, h := range m.All {
		switch wanted := m.wantsRole(h); {
		case h.Leads() && !wanted:
			m.ResignRole(h, m.resignReason(h))
		case h.Leads():
			m.returnToDefaultLeader(h)
		case wanted && !h.Acquiring && m.mayAcquireRoles() && m.IsVacant(h):
			m.acquireRole(h)
		}
	}
}

// mayAcquireRoles tells whether we are fit to take duties: with a lease that lasts for a while
// yet, and not cut off.
func (m *RoleManager) mayAcquireRoles() bool {
	if m.storeLease.Lease.ID == 0 || m.Now >= m.storeLease.Lease.RenewalSentAt+m.Settings.LeaseTTL()/2 || m.Now < m.workerReach.NoFailoverBefore {
		return false
	}
	return !m.workerReach.IsolatedFromWorkers || !m.peers.HealthyPeerKnown()
}

// IsVacant tells whether a duty may be taken by us now: an earlier process of ours holds
// it, or nobody does and it is our turn.
func (m *RoleManager) IsVacant(h *leadership.RoleState) bool {
	if h.Term > 0 {
		return h.Claim.Node == m.Settings.Node
	}
	return m.Now >= h.VacantAt+micros.Micros(m.failoverRank(h.Role, m.Settings.Node))*failoverStep
}

func (m *RoleManager) acquireRole(h *leadership.RoleState) {
	h.Acquiring = true
	t := &Transaction{Grant: electionGrant, Request: api.Transaction{Compares: []api.Compare{{Key: RoleKey(h.Role), Version: h.Term}},
		Writes: []api.Write{{Put: RoleKey(h.Role), Value: records.MustMarshal(m.LeaderClaim()), Lease: m.storeLease.Lease.ID}}}}
	free := func() { h.Acquiring = false; h.VacantAt = max(h.VacantAt, m.Now-micros.Second) }
	// Held only once the replica shows it: then it shows all before it too.
	t.OnCommitted = func(uint64) { m.cache.ReadLatest(func(bool) { free() }) }
	t.OnRefused = free
	m.transactions.SubmitTransaction(t)
}

// electionGrant permits to take a duty or to give it up: the write guards its key.
func electionGrant() leadership.Grant {
	return leadership.SharedGrant(leadership.ForElection, leadership.Write)
}

// returnToDefaultLeader returns a duty to the controller that it belongs to by default,
// once that one has been well for a while.
func (m *RoleManager) returnToDefaultLeader(d *leadership.RoleState) {
	owner := m.Settings.Nodes[m.defaultLeader(d.Role)]
	h := m.peers.ByNode[owner]
	if owner == m.Settings.Node || m.Now < d.AcquiredAt+15*micros.Second || h == nil || !h.healthy || h.stopping || m.Now > h.LastHeartbeatAt+3*micros.Second || m.Now < h.healthySince+8*micros.Second {
		return
	}
	m.ResignRole(d, "returned to its default leader "+owner)
}

// ResignRole gives a duty up. We stop acting under it before the key goes.
func (m *RoleManager) ResignRole(h *leadership.RoleState, why string) {
	term := h.Term
	m.LoseRole(h, why)
	h.Resign(m.Now)
	h.VacantAt = m.Now + 3*micros.Second
	t := &Transaction{Grant: electionGrant, OnCommitted: func(uint64) {}, OnRefused: func() {}}
	t.Request.Compares = []api.Compare{{Key: RoleKey(h.Role), Version: term}}
	t.Request.Writes = []api.Write{{Delete: RoleKey(h.Role)}}
	m.transactions.SubmitTransaction(t)
}

// leaseLost stops acting under all roles.
func (m *RoleManager) leaseLost() {
	for _, h := range m.All {
		if h.Leads() {
			m.LoseRole(h, "our lease expired")
		}
	}
}
