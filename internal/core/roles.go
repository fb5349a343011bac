package core

import (
	"slices"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// roleManager is which roles there are, who leads them, and which are ours.
type roleManager struct {
	*environment
	audit        *orderAudit
	cache        *watchCache
	peers        *peerTracker
	schema       *schemaTracker
	storeLease   *storeLease
	transactions *transactionSender
	workerReach  *workerReach
	observer     partitionObserver // set once the observer, which reads from here, is made

	all        []*leadership.RoleState // the partitions' first
	fleetRoles []*leadership.RoleState // of all, those that exist once for the whole fleet
	exclusive  bool                    // the fleet's have one leader each; said so
	stopping   bool
	stopped    bool
}

func newRoleManager(env *environment, audit *orderAudit, cache *watchCache, peers *peerTracker, schema *schemaTracker,
	lease *storeLease, transactions *transactionSender, reach *workerReach) *roleManager {
	m := &roleManager{environment: env, audit: audit, cache: cache, peers: peers, schema: schema, storeLease: lease,
		transactions: transactions, workerReach: reach}
	for i := range env.settings.Operators.Partitions {
		m.all = append(m.all, &leadership.RoleState{Role: leadership.PartitionRole(i)})
	}
	for _, role := range leadership.FleetRoles() {
		m.fleetRoles = append(m.fleetRoles, &leadership.RoleState{Role: role})
	}
	m.all = append(m.all, m.fleetRoles...)
	return m
}

// partitionRole gives the role of leading a partition.
func (m *roleManager) partitionRole(index int) *leadership.RoleState { return m.all[index] }

// fleetRole gives one of the fleet's duties.
func (m *roleManager) fleetRole(kind leadership.RoleKind) *leadership.RoleState {
	at := slices.IndexFunc(m.fleetRoles, func(h *leadership.RoleState) bool { return h.Role.Kind == kind })
	return m.fleetRoles[at]
}

// isExclusive tells whether a duty of the fleet has one holder: the operators want it so,
// and every controller knows what the key means. Until then each does it, as the
// versions before did, and the guards of its writes keep that safe.
func (m *roleManager) isExclusive(kind leadership.RoleKind) bool {
	return m.settings.Operators.Roles.IsExclusive(leadership.Role{Kind: kind}) && m.schema.allReadSchema(schemaRoles)
}

// fleetGrant gives the permission for something under a duty of the fleet.
func (m *roleManager) fleetGrant(kind leadership.RoleKind, action leadership.Action) leadership.Grant {
	if !m.isExclusive(kind) {
		return leadership.SharedGrant(leadership.ForFleet, action)
	}
	return m.storeLease.grant(m.fleetRole(kind), action)
}

// mayPerform tells whether this controller is the one to see to a duty of the fleet now.
func (m *roleManager) mayPerform(kind leadership.RoleKind) bool {
	return m.fleetGrant(kind, leadership.Write).Check(leadership.Write, m.now) == ""
}

// wantsRole tells whether we should hold a duty, or take it when it is free. Strays are
// recorded in a partition, so who adopts them must hold one.
func (m *roleManager) wantsRole(h *leadership.RoleState) bool {
	switch {
	case m.stopping:
		return false
	case h.Role.Kind == leadership.PartitionLeader:
		return true
	case h.Role.Kind == leadership.OrphanAdopter && !m.leadsAnyPartition():
		return false
	}
	return m.isExclusive(h.Role.Kind)
}

// resignReason says why a duty that we hold is given up.
func (m *roleManager) resignReason(h *leadership.RoleState) string {
	switch {
	case m.stopping:
		return "this controller stops"
	case m.isExclusive(h.Role.Kind):
		return "this controller holds no partition"
	}
	return "a controller does not know the fleet's duties"
}

// leadsAnyPartition tells whether we hold any partition.
func (m *roleManager) leadsAnyPartition() bool {
	return slices.ContainsFunc(m.all, func(r *leadership.RoleState) bool { return r.Role.Kind == leadership.PartitionLeader && r.Leads() })
}

// applyFleetRole takes in the key of one of the fleet's duties. One that can't be read
// names no holder but is held: until its lease has run out nobody takes it.
func (m *roleManager) applyFleetRole(name string, value []byte, version uint64) error {
	id, err := leadership.ParseFleetRole(name)
	if err != nil {
		return nil // of a later version
	}
	h := m.fleetRole(id.Kind)
	if h.Term >= version {
		return nil
	}
	var claim leadership.Claim
	if err = json.Unmarshal(value, &claim); err != nil {
		claim = leadership.Claim{}
	}
	m.observeRole(h, claim, version)
	return err
}

// deleteFleetRole takes in that the key of one of the fleet's duties was deleted.
func (m *roleManager) deleteFleetRole(name string, version uint64) {
	if id, err := leadership.ParseFleetRole(name); err == nil && m.fleetRole(id.Kind).Term < version {
		m.observeRole(m.fleetRole(id.Kind), leadership.Claim{}, 0)
	}
}

// forgetFleetRoles forgets who holds the fleet's duties, before everything is read again.
func (m *roleManager) forgetFleetRoles() {
	for _, h := range m.fleetRoles {
		if h.Leads() {
			m.loseRole(h, "everything is read again")
		}
		h.Forget(m.now)
	}
}

// trackExclusiveRoles says when the fleet's duties begin or cease to have one holder each.
func (m *roleManager) trackExclusiveRoles() {
	now := len(m.settings.Operators.Roles.Exclusive) > 0 && m.schema.allReadSchema(schemaRoles)
	if now != m.exclusive {
		m.exclusive = now
		m.logInfo("the fleet's duties have one holder each", "exclusive", now, "duties", m.settings.Operators.Roles.Exclusive)
	}
}

// stoppingPeerTimeout is how long a controller that said that it stops is passed over when
// duties come free.
const stoppingPeerTimeout = 10 * micros.Second

// beginStop has no role wanted any more.
func (m *roleManager) beginStop() {
	m.stopping = true
	m.logInfo("controller stops")
}

// completeStop tells when everything is given up.
func (m *roleManager) completeStop() {
	if !m.stopping || m.stopped || !m.transactions.allTransactionsSettled() {
		return
	}
	m.stopped = true
	m.emit(Stopped{})
}
