package coordination

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
)

// HandleListRoles answers the request for the state of all roles.
func (m *RoleManager) HandleListRoles(request message.ListRoles) {
	list := api.Roles{
		Node:                   m.Settings.Node,
		Exclusive:              m.Exclusive,
		RecordsMachineRequests: m.schema.RecordsMachineRequests(),
		RefusedOrders:          m.refusedOrdersWithoutRole(),
	}
	for _, state := range m.Roles {
		list.Roles = append(list.Roles, m.roleStatus(state))
	}
	m.Answer(request.RequestID, message.StatusOK, list)
}

// roleStatus returns the state of one role as shown to operators.
func (m *RoleManager) roleStatus(state *leadership.RoleState) api.RoleStatus {
	status := api.RoleStatus{
		Role:          state.Role.String(),
		Leader:        state.Claim.Node,
		Term:          uint64(state.Term),
		RefusedOrders: m.refusedOrdersUnder(state.Role.String()),
	}
	if state.Term > 0 {
		status.SinceS = (m.Now - state.ObservedAt).Seconds()
	}
	if state.Leads() {
		remaining := max(0, m.storeLease.Lease.ExpiresAt()-m.Now).Seconds()
		status.RemainingS = &remaining
	}
	return status
}

// refusedOrdersUnder returns how many orders were refused under a role, by action and
// reason.
func (m *RoleManager) refusedOrdersUnder(name string) map[string]int {
	return m.refusals.countByLabel(func(role string) bool { return role == name })
}

// refusedOrdersWithoutRole returns how many orders were refused that had a shared grant or
// none, by action and reason.
func (m *RoleManager) refusedOrdersWithoutRole() map[string]int {
	return m.refusals.countByLabel(func(role string) bool { return !m.hasRole(role) })
}

// hasRole reports whether a role has the given name.
func (m *RoleManager) hasRole(name string) bool {
	return slices.ContainsFunc(m.Roles, func(state *leadership.RoleState) bool { return state.Role.String() == name })
}
