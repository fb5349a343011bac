package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// minLeadership is for how long a role is led before it is returned to its default
	// leader, so that roles do not move to and fro.
	minLeadership = 15 * micros.Second

	// minHealthyTime is for how long the default leader must have been healthy before a
	// role is returned to it.
	minHealthyTime = 8 * micros.Second

	// resignedRoleDelay is for how long after resigning a role we do not acquire it
	// again.
	resignedRoleDelay = 3 * micros.Second
)

// ResignRole resigns a role. We stop acting under it before its key is deleted.
func (m *RoleManager) ResignRole(state *leadership.RoleState, why string) {
	term := state.Term
	m.LoseRole(state, why)
	state.Resign(m.Now)
	state.VacantAt = m.Now + resignedRoleDelay
	key := RoleKey(state.Role)
	m.transactions.SubmitTransaction(&Transaction{
		Grant: electionGrant,
		Request: api.Transaction{
			Compares: []api.Compare{{Key: key, Version: api.Revision(term)}},
			Writes:   []api.Write{{Delete: key}},
		},
		OnCommitted: func(api.Revision) {},
		OnRefused:   func() {},
	})
}

// resignReason says why a role that we lead and should not is resigned.
func (m *RoleManager) resignReason(state *leadership.RoleState) string {
	switch {
	case m.Stopping:
		return "this controller stops"
	case m.IsExclusive(state.Role.Kind):
		return "this controller leads no partition"
	}
	return "a controller does not know the fleet's roles"
}

// returnToDefaultLeader resigns a role in favour of its default leader, once that has
// been healthy for a while.
func (m *RoleManager) returnToDefaultLeader(state *leadership.RoleState) {
	node := m.Settings.Nodes[m.defaultLeader(state.Role)]
	if node == m.Settings.Node || m.Now < state.AcquiredAt+minLeadership || !m.isSteadilyHealthy(node) {
		return
	}
	m.ResignRole(state, "returned to its default leader "+node)
}

// isSteadilyHealthy reports whether another controller has been healthy for a while and
// is not about to end.
func (m *RoleManager) isSteadilyHealthy(node string) bool {
	status := m.peers.ByNode[node]
	if status == nil || !status.healthy || status.stopping {
		return false
	}
	return m.Now <= status.LastHeartbeatAt+healthyPeerTimeout && m.Now >= status.healthySince+minHealthyTime
}

// BeginStop has this controller resign all its roles.
func (m *RoleManager) BeginStop() {
	m.Stopping = true
	m.LogInfo("controller stopping")
}

// CompleteStop reports once that all roles are resigned and no transaction is without
// its outcome.
func (m *RoleManager) CompleteStop() {
	if !m.Stopping || m.stopped || !m.transactions.allTransactionsSettled() {
		return
	}
	m.stopped = true
	m.Emit(message.Stopped{})
}
