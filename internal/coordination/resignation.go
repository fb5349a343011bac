package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// minLeadershipTime is how long a role is led before it may be returned to its default
	// leader, so that roles don't move back and forth.
	minLeadershipTime = 15 * micros.Second

	// minHealthyTime is how long the default leader must have been healthy before a role
	// is returned to it.
	minHealthyTime = 8 * micros.Second

	// resignedRoleDelay is how long we don't acquire a role again after we resigned it.
	resignedRoleDelay = 3 * micros.Second
)

// Resign resigns a role that we lead. The reason is logged. We stop acting under the role
// before its key is deleted.
func (m *RoleManager) Resign(state *leadership.RoleState, reason string) {
	term := state.Term
	m.StopLeading(state, reason)
	state.Resign(m.Now)
	state.VacantAt = m.Now + resignedRoleDelay
	key := RoleKey(state.Role)
	m.transactions.Submit(&Transaction{
		Grant: electionGrant,
		Request: api.Transaction{
			Compares: []api.Compare{{Key: key, Version: api.Revision(term)}},
			Writes:   []api.Write{{Delete: key}},
		},
		OnCommitted: func(api.Revision) {},
		OnRefused:   func() {},
	})
}

// resignReason returns why we resign a role that we lead but should not lead.
func (m *RoleManager) resignReason(state *leadership.RoleState) string {
	switch {
	case m.Stopping:
		return "this controller stops"
	case m.IsExclusive(state.Role.Kind):
		return "this controller leads no partition"
	}
	return "a controller does not know the fleet's roles"
}

// returnToDefaultLeader resigns a role in favour of its default leader, once we have led it
// for minLeadershipTime and the default leader has been healthy for minHealthyTime.
func (m *RoleManager) returnToDefaultLeader(state *leadership.RoleState) {
	node := m.Settings.Nodes[m.defaultLeaderIndex(state.Role)]
	if node == m.Settings.Node || m.Now < state.AcquiredAt+minLeadershipTime || !m.isSteadilyHealthy(node) {
		return
	}
	m.Resign(state, "returned to its default leader "+node)
}

// isSteadilyHealthy reports whether another controller has been healthy for minHealthyTime
// and is not stopping.
func (m *RoleManager) isSteadilyHealthy(node string) bool {
	status := m.peers.ByNode[node]
	if status == nil || !status.healthy || status.stopping {
		return false
	}
	return m.Now <= status.LastHeartbeatAt+healthyPeerTimeout && m.Now >= status.healthySince+minHealthyTime
}

// BeginStop starts to stop this controller: Reconcile then resigns all its roles.
func (m *RoleManager) BeginStop() {
	m.Stopping = true
	m.LogInfo("controller stopping")
}

// CompleteStop emits message.Stopped once, when this controller is stopping and every
// transaction is settled, including those that resign the roles.
func (m *RoleManager) CompleteStop() {
	if !m.Stopping || m.stopped || !m.transactions.allSettled() {
		return
	}
	m.stopped = true
	m.Emit(message.Stopped{})
}
