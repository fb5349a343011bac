package coordination

import (
	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// IsExclusive reports whether a fleet role has one leader: if the operators want it and
// every controller knows what the role's key means. Until then each controller acts
// under it, as earlier versions did, and the compares of its writes keep that safe.
func (m *RoleManager) IsExclusive(kind leadership.RoleKind) bool {
	wanted := m.Settings.Operators.Duties.IsExclusive(leadership.Role{Kind: kind})
	return wanted && m.schema.AllReadSchema(records.SchemaRoles)
}

// FleetGrant returns the permission for an action under a fleet role.
func (m *RoleManager) FleetGrant(kind leadership.RoleKind, action leadership.Action) leadership.Grant {
	if !m.IsExclusive(kind) {
		return leadership.SharedGrant(leadership.ForFleet, action)
	}
	return m.storeLease.Grant(m.FleetRole(kind), action)
}

// MayPerform reports whether this controller may act under a fleet role now.
func (m *RoleManager) MayPerform(kind leadership.RoleKind) bool {
	return m.FleetGrant(kind, leadership.Write).Check(leadership.Write, m.Now) == ""
}

// TrackExclusiveRoles logs when the fleet roles begin or cease to have one leader each.
func (m *RoleManager) TrackExclusiveRoles() {
	wanted := m.Settings.Operators.Duties.Exclusive
	exclusive := len(wanted) > 0 && m.schema.AllReadSchema(records.SchemaRoles)
	if exclusive == m.Exclusive {
		return
	}
	m.Exclusive = exclusive
	m.LogInfo("fleet roles are exclusive", logkey.Exclusive, exclusive, logkey.Roles, wanted)
}

// ApplyFleetRole takes in the key of a fleet role by the role's name. A claim that
// cannot be read is an error but counts: it names no leader, yet nobody acquires the
// role until the key is deleted. Names that this version does not know are a later
// version's, and ignored.
func (m *RoleManager) ApplyFleetRole(name string, value []byte, version api.Revision) error {
	state := m.fleetRoleNamed(name)
	if state == nil || state.Term >= leadership.Term(version) {
		return nil
	}
	var claim leadership.Claim
	err := json.Unmarshal(value, &claim)
	if err != nil {
		claim = leadership.Claim{}
	}
	m.ObserveRole(state, claim, version)
	return err //nolint:wrapcheck // the caller logs it beside the key
}

// DeleteFleetRole takes in that the key of a fleet role was deleted at a version.
func (m *RoleManager) DeleteFleetRole(name string, version api.Revision) {
	if state := m.fleetRoleNamed(name); state != nil && state.Term < leadership.Term(version) {
		m.ObserveRole(state, leadership.Claim{}, 0)
	}
}

// fleetRoleNamed returns the fleet role of a name; nil: there is none.
func (m *RoleManager) fleetRoleNamed(name string) *leadership.RoleState {
	role, err := leadership.ParseFleetRole(name)
	if err != nil {
		return nil
	}
	return m.FleetRole(role.Kind)
}

// ForgetFleetRoles discards who leads the fleet roles, before all keys are listed again.
func (m *RoleManager) ForgetFleetRoles() {
	for _, state := range m.fleetRoles {
		if state.Leads() {
			m.LoseRole(state, "everything is listed again")
		}
		state.Forget(m.Now)
	}
}
