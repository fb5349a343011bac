package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// reacquireCredit is how much of the delay by our rank counts as passed when an attempt
// to acquire a role has ended.
const reacquireCredit = micros.Second

// ReconcileRoles acquires the roles that are vacant and ours to acquire, and resigns
// those that we should not lead.
func (m *RoleManager) ReconcileRoles() {
	if !m.cache.Synced {
		return
	}
	for _, state := range m.Roles {
		m.reconcileRole(state)
	}
}

// reconcileRole acquires or resigns one role, if that is due.
func (m *RoleManager) reconcileRole(state *leadership.RoleState) {
	switch wanted := m.wantsRole(state); {
	case state.Leads() && !wanted:
		m.ResignRole(state, m.resignReason(state))
	case state.Leads():
		m.returnToDefaultLeader(state)
	case wanted && !state.Acquiring && m.mayAcquireRoles() && m.IsVacant(state):
		m.acquireRole(state)
	}
}

// wantsRole reports whether we should lead a role, or acquire it once it is vacant.
// Adopted orphans are recorded in a partition, so the orphan adopter must lead one.
func (m *RoleManager) wantsRole(state *leadership.RoleState) bool {
	switch {
	case m.Stopping:
		return false
	case state.Role.Kind == leadership.PartitionLeader:
		return true
	case state.Role.Kind == leadership.OrphanAdopter && !m.LeadsAnyPartition():
		return false
	}
	return m.IsExclusive(state.Role.Kind)
}

// acquireRole writes our claim under a vacant role's key, if the key is still as we
// know it.
func (m *RoleManager) acquireRole(state *leadership.RoleState) {
	state.Acquiring = true
	key := RoleKey(state.Role)
	claim := records.MustMarshal(m.LeaderClaim())
	m.transactions.SubmitTransaction(&Transaction{
		Grant: electionGrant,
		Request: api.Transaction{
			Compares: []api.Compare{{Key: key, Version: api.Revision(state.Term)}},
			Writes:   []api.Write{{Put: key, Value: claim, Lease: m.storeLease.Lease.ID}},
		},
		// We lead the role only once the watch cache shows our claim: it then shows all
		// that was committed before, too.
		OnCommitted: func(api.Revision) { m.cache.ReadLatest(func(bool) { m.acquisitionEnded(state) }) },
		OnRefused:   func() { m.acquisitionEnded(state) },
	})
}

// acquisitionEnded lets the role be acquired anew, should it be vacant still.
func (m *RoleManager) acquisitionEnded(state *leadership.RoleState) {
	state.Acquiring = false
	state.VacantAt = max(state.VacantAt, m.Now-reacquireCredit)
}

// electionGrant permits to acquire a role or to resign it: the write compares its key.
func electionGrant() leadership.Grant {
	return leadership.SharedGrant(leadership.ForElection, leadership.Write)
}
