package coordination

import (
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// RoleManager is which roles there are, who leads them, and which are ours.
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

	Roles        []*leadership.RoleState // the partitions' first
	fleetRoles []*leadership.RoleState // of all, those that exist once for the whole fleet
	Exclusive  bool                    // the fleet's have one leader each; said so
	Stopping   bool
	stopped    bool
}

// NewRoleManager makes a role manager.
func NewRoleManager(env *Environment, audit *OrderAudit, cache *WatchCache, peers *PeerTracker, schema *SchemaTracker,
	lease *StoreLease, transactions *TransactionSender, reach *WorkerReach) *RoleManager {
	m := &RoleManager{Environment: env, audit: audit, cache: cache, peers: peers, schema: schema, storeLease: lease,
		transactions: transactions, workerReach: reach}
	for i := range env.Settings.Operators.Partitions {
		m.Roles = append(m.Roles, &leadership.RoleState{Role: leadership.PartitionRole(i)})
	}
	for _, role := range leadership.FleetRoles() {
		m.fleetRoles = append(m.fleetRoles, &leadership.RoleState{Role: role})
	}
	m.Roles = append(m.Roles, m.fleetRoles...)
	return m
}

// PartitionRole gives the role of leading a partition.
func (m *RoleManager) PartitionRole(index int) *leadership.RoleState { return m.Roles[index] }

// FleetRole gives one of the fleet's duties.
func (m *RoleManager) FleetRole(kind leadership.RoleKind) *leadership.RoleState {
	at := slices.IndexFunc(m.fleetRoles, func(h *leadership.RoleState) bool { return h.Role.Kind == kind })
	return m.fleetRoles[at]
}

// IsExclusive tells whether a duty of the fleet has one holder: the operators want it so,
// and every controller knows what the key means. Until then each does it, as the
// versions before did, and the guards of its writes keep that safe.
func (m *RoleManager) IsExclusive(kind leadership.RoleKind) bool {
	return m.Settings.Operators.Roles.IsExclusive(leadership.Role{Kind: kind}) && m.schema.AllReadSchema(records.SchemaRoles)
}

// FleetGrant gives the permission for something under a duty of the fleet.
func (m *RoleManager) FleetGrant(kind leadership.RoleKind, action leadership.Action) leadership.Grant {
	if !m.IsExclusive(kind) {
		return leadership.SharedGrant(leadership.ForFleet, action)
	}
	return m.storeLease.Grant(m.FleetRole(kind), action)
}

// MayPerform tells whether this controller is the one to see to a duty of the fleet now.
func (m *RoleManager) MayPerform(kind leadership.RoleKind) bool {
	return m.FleetGrant(kind, leadership.Write).Check(leadership.Write, m.Now) == ""
}

// wantsRole tells whether we should hold a duty, or take it when it is free. Strays are
// recorded in a partition, so who adopts them must hold one.
func (m *RoleManager) wantsRole(h *leadership.RoleState) bool {
	switch {
	case m.Stopping:
		return false
	case h.Role.Kind == leadership.PartitionLeader:
		return true
	case h.Role.Kind == leadership.OrphanAdopter && !m.LeadsAnyPartition():
		return false
	}
	return m.IsExclusive(h.Role.Kind)
}

// resignReason says why a duty that we hold is given up.
func (m *RoleManager) resignReason(h *leadership.RoleState) string {
	switch {
	case m.Stopping:
		return "this controller stops"
	case m.IsExclusive(h.Role.Kind):
		return "this controller leads no partition"
	}
	return "a controller does not know the fleet's roles"
}

// LeadsAnyPartition tells whether we hold any partition.
func (m *RoleManager) LeadsAnyPartition() bool {
	return slices.ContainsFunc(m.Roles, func(r *leadership.RoleState) bool { return r.Role.Kind == leadership.PartitionLeader && r.Leads() })
}

// ApplyFleetRole takes in the key of one of the fleet's duties. One that can't be read
// names no holder but is held: until its lease has run out nobody takes it.
func (m *RoleManager) ApplyFleetRole(name string, value []byte, version uint64) error {
	id, err := leadership.ParseFleetRole(name)
	if err != nil {
		return nil // of a later version
	}
	h := m.FleetRole(id.Kind)
	if h.Term >= version {
		return nil
	}
	var claim leadership.Claim
	if err = json.Unmarshal(value, &claim); err != nil {
		claim = leadership.Claim{}
	}
	m.ObserveRole(h, claim, version)
	return err
}

// DeleteFleetRole takes in that the key of one of the fleet's duties was deleted.
func (m *RoleManager) DeleteFleetRole(name string, version uint64) {
	if id, err := leadership.ParseFleetRole(name); err == nil && m.FleetRole(id.Kind).Term < version {
		m.ObserveRole(m.FleetRole(id.Kind), leadership.Claim{}, 0)
	}
}

// ForgetFleetRoles forgets who holds the fleet's duties, before everything is read again.
func (m *RoleManager) ForgetFleetRoles() {
	for _, h := range m.fleetRoles {
		if h.Leads() {
			m.LoseRole(h, "everything is listed again")
		}
		h.Forget(m.Now)
	}
}

// TrackExclusiveRoles says when the fleet's duties begin or cease to have one holder each.
func (m *RoleManager) TrackExclusiveRoles() {
	now := len(m.Settings.Operators.Roles.Exclusive) > 0 && m.schema.AllReadSchema(records.SchemaRoles)
	if now != m.Exclusive {
		m.Exclusive = now
		m.LogInfo("fleet roles are exclusive", logkey.Exclusive, now, logkey.Roles, m.Settings.Operators.Roles.Exclusive)
	}
}

// stoppingPeerTimeout is how long a controller that said that it stops is passed over when
// duties come free.
const stoppingPeerTimeout = 10 * micros.Second

// BeginStop has no role wanted any more.
func (m *RoleManager) BeginStop() {
	m.Stopping = true
	m.LogInfo("controller stopping")
}

// CompleteStop tells when everything is given up.
func (m *RoleManager) CompleteStop() {
	if !m.Stopping || m.stopped || !m.transactions.allTransactionsSettled() {
		return
	}
	m.stopped = true
	m.Emit(message.Stopped{})
}
