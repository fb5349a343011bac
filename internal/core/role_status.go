package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
)

// handleListRoles answers who holds which duty.
func (m *roleManager) handleListRoles(v ListRoles) {
	list := api.Roles{Node: m.settings.Node, Exclusive: m.exclusive, RecordsRequests: m.schema.recordsRequests(), RefusedOrders: m.refusedOrdersUnder("")}
	for _, h := range m.all {
		list.Roles = append(list.Roles, m.roleStatus(h))
	}
	m.answer(v.RequestID, 200, list)
}

// roleStatus tells of one duty.
func (m *roleManager) roleStatus(h *leadership.RoleState) api.RoleStatus {
	s := api.RoleStatus{Role: h.Role.String(), Leader: h.Claim.Node, Term: h.Term, RefusedOrders: m.refusedOrdersUnder(h.Role.String())}
	if h.Term > 0 {
		s.SinceS = (m.now - h.ObservedAt).Seconds()
	}
	if h.Leads() {
		left := (max(0, m.storeLease.lease.ExpiresAt()-m.now)).Seconds()
		s.RemainingS = &left
	}
	return s
}

// refusedOrdersUnder gives the orders refused under a duty, by action and reason; for no
// name those of what is no single holder's.
func (m *roleManager) refusedOrdersUnder(name string) map[string]int {
	counts := map[string]int{}
	for k, n := range m.audit.total {
		owned := slices.ContainsFunc(m.all, func(h *leadership.RoleState) bool { return h.Role.String() == k.role })
		if k.role == name || name == "" && !owned {
			counts[k.action.String()+", "+string(k.reason)] += n
		}
	}
	return counts
}
