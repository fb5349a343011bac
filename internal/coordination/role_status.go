package coordination

import (
	"slices"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
)

// HandleListRoles answers who holds which duty.
func (m *RoleManager) HandleListRoles(v message.ListRoles) {
	list := api.Roles{Node: m.Settings.Node, Exclusive: m.Exclusive, RecordsRequests: m.schema.RecordsRequests(), RefusedOrders: m.refusedOrdersUnder("")}
	for _, h := range m.Roles {
		list.Roles = append(list.Roles, m.roleStatus(h))
	}
	m.Answer(v.RequestID, 200, list)
}

// roleStatus tells of one duty.
func (m *RoleManager) roleStatus(h *leadership.RoleState) api.RoleStatus {
	s := api.RoleStatus{Role: h.Role.String(), Leader: h.Claim.Node, Term: h.Term, RefusedOrders: m.refusedOrdersUnder(h.Role.String())}
	if h.Term > 0 {
		s.SinceS = (m.Now - h.ObservedAt).Seconds()
	}
	if h.Leads() {
		left := (max(0, m.storeLease.Lease.ExpiresAt()-m.Now)).Seconds()
		s.RemainingS = &left
	}
	return s
}

// refusedOrdersUnder gives the orders refused under a duty, by action and reason; for no
// name those of what is no single holder's.
func (m *RoleManager) refusedOrdersUnder(name string) map[string]int {
	counts := map[string]int{}
	for k, n := range m.audit.total {
		owned := slices.ContainsFunc(m.Roles, func(h *leadership.RoleState) bool { return h.Role.String() == k.role })
		if k.role == name || name == "" && !owned {
			counts[k.action.String()+", "+string(k.reason)] += n
		}
	}
	return counts
}
