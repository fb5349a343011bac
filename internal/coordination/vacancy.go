package coordination

import (
	"slices"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

const (
	// failoverStep is how much later than the preceding candidate each candidate may acquire
	// a vacant role.
	failoverStep = 3 * micros.Second / 2

	// stoppingPeerTimeout is how long after its last heartbeat a controller that reported
	// that it is stopping is no candidate for vacant roles.
	stoppingPeerTimeout = 10 * micros.Second
)

// MayAcquire reports whether we may acquire a role now. We may if an earlier incarnation of
// this controller claims it, or if the role is vacant and our failover delay has passed.
func (m *RoleManager) MayAcquire(state *leadership.RoleState) bool {
	if state.Term > 0 {
		return state.Claim.Node == m.Settings.Node
	}
	rank := m.failoverRank(state.Role, m.Settings.Node)
	return m.Now >= state.VacantAt+micros.Micros(rank)*failoverStep
}

// isEligibleLeader reports whether we are in a state to acquire roles. More than half of the
// time to live of our lease must be left. For isolationDuration after we became isolated from
// workers, we acquire no role. If we are still isolated after that, we acquire roles only if
// no other controller is known to be healthy.
func (m *RoleManager) isEligibleLeader() bool {
	lease := m.storeLease.Lease
	switch {
	case lease.ID == 0 || m.Now >= lease.RenewalSentAt+m.Settings.LeaseTTL()/2:
		return false
	case m.Now < m.reachability.NoAcquisitionBefore:
		return false
	}
	return !m.reachability.Isolated || !m.peers.AnyPeerHealthy()
}

// failoverRank returns how many candidates for a role precede a node. The candidates are
// the nodes in the order of the settings, beginning with the default leader and without
// those that are stopping.
func (m *RoleManager) failoverRank(role leadership.Role, node string) int {
	nodes := m.Settings.Nodes
	first := m.defaultLeaderIndex(role)
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

// isStopping reports whether another controller recently reported that it is stopping.
func (m *RoleManager) isStopping(node string) bool {
	status := m.peers.ByNode[node]
	return status != nil && status.stopping && m.Now <= status.LastHeartbeatAt+stoppingPeerTimeout
}

// defaultLeaderIndex returns the index, among the nodes, of the controller that leads a role
// while all controllers are healthy. The roles are assigned to the nodes in turn, beginning
// with those of the partitions' leaders.
func (m *RoleManager) defaultLeaderIndex(role leadership.Role) int {
	index := role.Index
	if role.Kind != leadership.PartitionLeader {
		index = m.Settings.Operators.Parts + slices.Index(leadership.FleetRoles(), role)
	}
	return index % len(m.Settings.Nodes)
}
