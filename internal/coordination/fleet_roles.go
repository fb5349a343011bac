package coordination

import (
	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// IsExclusive reports whether a fleet role has a single leader. That is so if the settings
// ask for it and every controller can read the role's key. Otherwise every controller acts
// under the role, as earlier versions did, and the compares of their writes keep that safe.
func (m *RoleManager) IsExclusive(kind leadership.RoleKind) bool {
	wanted := m.Settings.Operators.Duties.IsExclusive(leadership.Role{Kind: kind})
	return wanted && m.schema.AllRead(records.SchemaRoles)
}

// FleetGrant returns a grant for an action under a fleet role. The grant permits nothing if
// the role is exclusive and we don't lead it.
func (m *RoleManager) FleetGrant(kind leadership.RoleKind, action leadership.Action) leadership.Grant {
	if !m.IsExclusive(kind) {
		return leadership.SharedGrant(leadership.ForFleet, action)
	}
	return m.storeLease.Grant(m.FleetRole(kind), action)
}

// MayActAs reports whether this controller may act under a fleet role now.
func (m *RoleManager) MayActAs(kind leadership.RoleKind) bool {
	return m.FleetGrant(kind, leadership.ActionWrite).Check(leadership.ActionWrite, m.Now) == ""
}

// UpdateExclusive updates whether the fleet roles that the settings name have one leader
// each, and logs a change.
func (m *RoleManager) UpdateExclusive() {
	wanted := m.Settings.Operators.Duties.Exclusive
	exclusive := len(wanted) > 0 && m.schema.AllRead(records.SchemaRoles)
	if exclusive == m.Exclusive {
		return
	}
	m.Exclusive = exclusive
	m.LogInfo("fleet roles are exclusive", logkey.Exclusive, exclusive, logkey.Roles, wanted)
}

// ApplyFleetRolePut applies a new value of the key of a fleet role, which is given by its
// name. It returns an error if the claim can't be decoded. Such a claim still counts: it
// names no leader, and nobody acquires the role until the key is deleted. Unknown names
// belong to a later version and are ignored.
func (m *RoleManager) ApplyFleetRolePut(name string, value []byte, version api.Revision) error {
	state := m.fleetRoleNamed(name)
	if state == nil || state.Term >= leadership.Term(version) {
		return nil
	}
	var claim leadership.Claim
	err := json.Unmarshal(value, &claim)
	if err != nil {
		claim = leadership.Claim{}
	}
	m.Observe(state, claim, version)
	return err //nolint:wrapcheck // the caller logs it beside the key
}

// ApplyFleetRoleDelete applies the deletion of the key of a fleet role at a version.
func (m *RoleManager) ApplyFleetRoleDelete(name string, version api.Revision) {
	if state := m.fleetRoleNamed(name); state != nil && state.Term < leadership.Term(version) {
		m.Observe(state, leadership.Claim{}, 0)
	}
}

// fleetRoleNamed returns the fleet role of a name, or nil if there is none.
func (m *RoleManager) fleetRoleNamed(name string) *leadership.RoleState {
	role, err := leadership.ParseFleetRole(name)
	if err != nil {
		return nil
	}
	return m.FleetRole(role.Kind)
}

// ClearFleetRoles clears the leaders of all fleet roles before all keys are listed again.
// We stop acting under those that we lead.
func (m *RoleManager) ClearFleetRoles() {
	for _, state := range m.fleetRoles {
		if state.Leads() {
			m.StopLeading(state, "all keys are listed again")
		}
		state.ClearClaim(m.Now)
	}
}
