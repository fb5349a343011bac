package coordination

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
)

// HandleListRoles answers who leads which role.
func (m *RoleManager) HandleListRoles(request message.ListRoles) {
	list := api.Roles{
		Node:            m.Settings.Node,
		Exclusive:       m.Exclusive,
		RecordsRequests: m.schema.RecordsRequests(),
		RefusedOrders:   m.refusedOrdersWithoutRole(),
	}
	for _, state := range m.Roles {
		list.Roles = append(list.Roles, m.roleStatus(state))
	}
	m.Answer(request.RequestID, message.StatusOK, list)
}

// roleStatus describes one role.
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

// refusedOrdersUnder counts the orders refused under a role, by action and reason.
func (m *RoleManager) refusedOrdersUnder(name string) map[string]int {
	return m.audit.countByLabel(func(role string) bool { return role == name })
}

// refusedOrdersWithoutRole counts the orders refused under shared grants, by action and
// reason.
func (m *RoleManager) refusedOrdersWithoutRole() map[string]int {
	return m.audit.countByLabel(func(role string) bool { return !m.hasRole(role) })
}

// hasRole reports whether there is a role of a name.
func (m *RoleManager) hasRole(name string) bool {
	return slices.ContainsFunc(m.Roles, func(state *leadership.RoleState) bool { return state.Role.String() == name })
}
