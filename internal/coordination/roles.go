package coordination

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// RoleManager tracks the leader of each role, and acquires and resigns roles for this
// controller. A role's leader is the controller that wrote the role's key. The key is
// attached to the leader's lease, and its version is the term. Every write made under a
// role compares that version.
type RoleManager struct {
	*Environment
	refusals     *RefusalCounter
	cache        *WatchCache
	peers        *PeerTracker
	schema       *SchemaTracker
	storeLease   *StoreLease
	transactions *TransactionSender
	reachability *WorkerReachability
	Observer     partitionObserver // set after construction, because the observer needs this manager

	Roles      []*leadership.RoleState // first those of the partitions' leaders, by index
	fleetRoles []*leadership.RoleState // the elements of Roles that exist once for the whole fleet
	Exclusive  bool                    // the fleet roles that the settings name have one leader each
	Stopping   bool                    // this controller is resigning its roles before it exits
	stopped    bool                    // message.Stopped was emitted
}

// partitionObserver is notified when this controller starts or stops leading a partition.
type partitionObserver interface {
	PartitionAcquired(index int)
	PartitionLost(index int, reason string)
}

// NewRoleManager returns a role manager that knows all roles but none of their leaders. The
// caller must set Observer before any role is observed.
func NewRoleManager(env *Environment, refusals *RefusalCounter, cache *WatchCache, peers *PeerTracker, schema *SchemaTracker,
	lease *StoreLease, transactions *TransactionSender, reach *WorkerReachability,
) *RoleManager {
	manager := &RoleManager{
		Environment: env, refusals: refusals, cache: cache, peers: peers, schema: schema, storeLease: lease,
		transactions: transactions, reachability: reach,
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

// OwnClaim returns the claim that this controller writes to a role's key to acquire the
// role.
func (m *RoleManager) OwnClaim() leadership.Claim {
	return leadership.Claim{Node: m.Settings.Node, Incarnation: m.Incarnation}
}

// PartitionRole returns the state of the role of a partition's leader.
func (m *RoleManager) PartitionRole(index int) *leadership.RoleState { return m.Roles[index] }

// FleetRole returns the state of a fleet role. It panics if the kind is no fleet role.
func (m *RoleManager) FleetRole(kind leadership.RoleKind) *leadership.RoleState {
	index := slices.IndexFunc(m.fleetRoles, func(state *leadership.RoleState) bool { return state.Role.Kind == kind })
	return m.fleetRoles[index]
}

// LeadsAnyPartition reports whether this controller leads at least one partition.
func (m *RoleManager) LeadsAnyPartition() bool {
	return slices.ContainsFunc(m.Roles, func(state *leadership.RoleState) bool {
		return state.Role.Kind == leadership.PartitionLeader && state.Leads()
	})
}

// Observe applies the state of a role's key in the store: its claim and version, or version
// 0 if the key does not exist. We start or stop acting under the role accordingly.
func (m *RoleManager) Observe(state *leadership.RoleState, claim leadership.Claim, version api.Revision) {
	leased := m.storeLease.Lease.ID != 0
	if state.Contradicts(claim, leadership.Term(version), m.OwnClaim(), leased) {
		m.StopLeading(state, "taken or expired")
	}
	if state.Observe(m.Now, claim, leadership.Term(version), m.OwnClaim(), leased) {
		m.roleAcquired(state)
	}
}

// roleAcquired tells the observer that we lead a partition now, or logs that we lead a fleet
// role.
func (m *RoleManager) roleAcquired(state *leadership.RoleState) {
	if state.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionAcquired(state.Role.Index)
		return
	}
	m.LogInfo("role acquired", logkey.Role, state.Role.String(), logkey.Term, state.Term)
}

// StopLeading ends our leadership of a role. It passes the reason to the observer if the role
// is that of a partition's leader, and logs it otherwise. It does not delete the role's key.
func (m *RoleManager) StopLeading(state *leadership.RoleState, reason string) {
	state.End(m.Now)
	if state.Role.Kind == leadership.PartitionLeader {
		m.Observer.PartitionLost(state.Role.Index, reason)
		return
	}
	m.LogInfo("role lost", logkey.Role, state.Role.String(), logkey.Reason, reason)
}

// leaseLost stops acting under all roles after the store ended our lease.
func (m *RoleManager) leaseLost() {
	for _, state := range m.Roles {
		if state.Leads() {
			m.StopLeading(state, "our lease expired")
		}
	}
}
