package coordination

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// RoleManager knows which roles there are and who leads them, and has this controller
// acquire and resign them. A role's leader is whoever wrote the role's key, which is
// attached to the leader's lease; the version of the key is the term. Every write made
// under a role compares that version.
type RoleManager struct {
	*Environment
	audit        *OrderAudit
	cache        *WatchCache
	peers        *PeerTracker
	schema       *SchemaTracker
	storeLease   *StoreLease
	transactions *TransactionSender
	workerReach  *WorkerReach
	Observer     partitionObserver // set once the observer, which reads from here, is made

	Roles      []*leadership.RoleState // the partitions' first, by index
	fleetRoles []*leadership.RoleState // of them, those that exist once for the whole fleet
	Exclusive  bool                    // the fleet roles have one leader each, as last logged
	Stopping   bool                    // this controller resigns its roles and ends
	stopped    bool                    // it has resigned them all
}

// partitionObserver is told when this controller begins or ceases to lead a partition.
type partitionObserver interface {
	PartitionAcquired(index int)
	PartitionLost(index int, why string)
}

// NewRoleManager makes a role manager.
func NewRoleManager(env *Environment, audit *OrderAudit, cache *WatchCache, peers *PeerTracker, schema *SchemaTracker,
	lease *StoreLease, transactions *TransactionSender, reach *WorkerReach,
) *RoleManager {
	manager := &RoleManager{
		Environment: env, audit: audit, cache: cache, peers: peers, schema: schema, storeLease: lease,
		transactions: transactions, workerReach: reach,
	}
	for index := range env.Settings.Operators.Parts {
		manager.Roles = append(manager.Roles, &leadership.RoleState{Role: leadership.PartitionRole(index)})
	}
	for _, role := range leadership.FleetRoles() {
		manager.fleetRoles = append(manager.fleetRoles, &leadership.RoleState{Role: role})
	}
	manager.Roles = append(manager.Roles, manager.fleetRoles...)
	return manager
}

// RoleKey returns a role's key in the key-value store.
func RoleKey(role leadership.Role) string {
	if role.Kind == leadership.PartitionLeader {
		return records.PartitionPrefix + strconv.Itoa(role.Index)
	}
	return records.FleetRolePrefix + role.String()
}

// LeaderClaim returns what this controller writes under the key of a role to acquire it.
func (m *RoleManager) LeaderClaim() leadership.Claim {
	return leadership.Claim{Node: m.Settings.Node, Incarnation: m.Incarnation}
}

// PartitionRole returns the role of a partition's leader.
func (m *RoleManager) PartitionRole(index int) *leadership.RoleState { return m.Roles[index] }

// FleetRole returns the fleet role of a kind.
func (m *RoleManager) FleetRole(kind leadership.RoleKind) *leadership.RoleState {
	at := slices.IndexFunc(m.fleetRoles, func(state *leadership.RoleState) bool { return state.Role.Kind == kind })
	return m.fleetRoles[at]
}

// LeadsAnyPartition reports whether this controller leads a partition.
func (m *RoleManager) LeadsAnyPartition() bool {
	return slices.ContainsFunc(m.Roles, func(state *leadership.RoleState) bool {
		return state.Role.Kind == leadership.PartitionLeader && state.Leads()
	})
}

// ObserveRole takes in a role's key: its claim and version, or version 0 if there is no
// key.
func (m *RoleManager) ObserveRole(state *leadership.RoleState, claim leadership.Claim, version api.Revision) {
	leased := m.storeLease.Lease.ID != 0
	if state.Contradicts(claim, leadership.Term(version), m.LeaderClaim(), leased) {
		m.LoseRole(state, "taken or expired")
	}
	if state.Observe(m.Now, claim, leadership.Term(version), m.LeaderClaim(), leased) {
		m.roleAcquired(state)
	}
}

// roleAcquired begins to act under a role.
func (m *RoleManager) roleAcquired(state *leadership.RoleState) {
	if state.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionAcquired(state.Role.Index)
		return
	}
	m.LogInfo("role acquired", logkey.Role, state.Role.String(), logkey.Term, state.Term)
}

// LoseRole stops acting under a role.
func (m *RoleManager) LoseRole(state *leadership.RoleState, why string) {
	state.End(m.Now)
	if state.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionLost(state.Role.Index, why)
		return
	}
	m.LogInfo("role lost", logkey.Role, state.Role.String(), logkey.Reason, why)
}

// leaseLost stops acting under all roles.
func (m *RoleManager) leaseLost() {
	for _, state := range m.Roles {
		if state.Leads() {
			m.LoseRole(state, "our lease expired")
		}
	}
}
