package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// reacquireCredit is how much of our failover delay counts as over when the delay starts
// again after an attempt to acquire a role.
const reacquireCredit = micros.Second

// Reconcile acquires the vacant roles that we should lead and resigns the roles that we
// should not lead. It does nothing until the watch cache is synced.
func (m *RoleManager) Reconcile() {
	if !m.cache.Synced {
		return
	}
	for _, state := range m.Roles {
		m.reconcile(state)
	}
}

// reconcile acquires or resigns one role if that is due.
func (m *RoleManager) reconcile(state *leadership.RoleState) {
	switch wanted := m.shouldLead(state); {
	case state.Leads() && !wanted:
		m.Resign(state, m.resignReason(state))
	case state.Leads():
		m.returnToDefaultLeader(state)
	case wanted && !state.Acquiring && m.isEligibleLeader() && m.MayAcquire(state):
		m.acquire(state)
	}
}

// shouldLead reports whether we should keep a role that we lead, or acquire it once it is
// vacant. The orphan adopter must lead a partition, because adopted orphans are recorded in
// one.
func (m *RoleManager) shouldLead(state *leadership.RoleState) bool {
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

// acquire writes our claim to the key of a vacant role. The write is refused if the key has
// changed since we last saw it.
func (m *RoleManager) acquire(state *leadership.RoleState) {
	state.Acquiring = true
	key := RoleKey(state.Role)
	claim := records.MustMarshal(m.OwnClaim())
	m.transactions.Submit(&Transaction{
		Grant: electionGrant,
		Request: api.Transaction{
			Compares: []api.Compare{{Key: key, Version: api.Revision(state.Term)}},
			Writes:   []api.Write{{Put: key, Value: claim, Lease: m.storeLease.Lease.ID}},
		},
		// We lead the role only once the watch cache shows our claim. By then it also shows
		// everything that was committed before.
		OnCommitted: func(api.Revision) { m.cache.ReadLatest(func(bool) { m.finishAcquisition(state) }) },
		OnRefused:   func() { m.finishAcquisition(state) },
	})
}

// finishAcquisition ends an attempt to acquire a role, so that the next can begin if the
// role is still vacant.
func (m *RoleManager) finishAcquisition(state *leadership.RoleState) {
	state.Acquiring = false
	state.VacantAt = max(state.VacantAt, m.Now-reacquireCredit)
}

// electionGrant returns a shared grant to acquire or resign a role. It is safe without
// leadership because the write compares the version of the role's key.
func electionGrant() leadership.Grant {
	return leadership.SharedGrant(leadership.ForElection, leadership.ActionWrite)
}
