package coordination

import (
	"slices"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

const (
	// failoverStep is how much later than the candidate before it each further one
	// acquires a vacant role.
	failoverStep = 3 * micros.Second / 2

	// stoppingPeerTimeout is for how long after its last heartbeat a controller that
	// said that it stops is no candidate for vacant roles.
	stoppingPeerTimeout = 10 * micros.Second
)

// IsVacant reports whether we may acquire a role now: an earlier incarnation of ours
// claims it, or nobody does and it is our turn.
func (m *RoleManager) IsVacant(state *leadership.RoleState) bool {
	if state.Term > 0 {
		return state.Claim.Node == m.Settings.Node
	}
	rank := m.failoverRank(state.Role, m.Settings.Node)
	return m.Now >= state.VacantAt+micros.Micros(rank)*failoverStep
}

// mayAcquireRoles reports whether we are fit to acquire roles: our lease lasts for at
// least half its time to live, and workers reach us, or no healthier controller is known.
func (m *RoleManager) mayAcquireRoles() bool {
	lease := m.storeLease.Lease
	switch {
	case lease.ID == 0 || m.Now >= lease.RenewalSentAt+m.Settings.LeaseTTL()/2:
		return false
	case m.Now < m.workerReach.NoFailoverBefore:
		return false
	}
	return !m.workerReach.IsolatedFromWorkers || !m.peers.HealthyPeerKnown()
}

// failoverRank is how many candidates for a role come before a node. They come in the
// nodes' order, from the default leader on; those that are stopping do not count.
func (m *RoleManager) failoverRank(role leadership.Role, node string) int {
	nodes := m.Settings.Nodes
	first := m.defaultLeader(role)
	rank := 0
	for i := range nodes {
		candidate := nodes[(first+i)%len(nodes)]
		if candidate == node {
			break
		}
		if !m.isStopping(candidate) {
			rank++
		}
	}
	return rank
}

// isStopping reports whether another controller lately said that it stops.
func (m *RoleManager) isStopping(node string) bool {
	status := m.peers.ByNode[node]
	return status != nil && status.stopping && m.Now <= status.LastHeartbeatAt+stoppingPeerTimeout
}

// defaultLeader is the controller that leads a role while all are healthy, by its place
// among the nodes. The roles are spread over the nodes in turn, the partitions' first.
func (m *RoleManager) defaultLeader(role leadership.Role) int {
	place := role.Index
	if role.Kind != leadership.PartitionLeader {
		place = m.Settings.Operators.Parts + slices.Index(leadership.FleetRoles(), role)
	}
	return place % len(m.Settings.Nodes)
}
