package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// refusedOrder is what refused orders are counted by.
type refusedOrder struct {
	role   string
	action leadership.Action
	reason leadership.Reason
}

func compareRefusedOrders(a, b refusedOrder) int {
	if a.role != b.role {
		return compareStrings(a.role, b.role)
	}
	if a.action != b.action {
		return int(a.action) - int(b.action)
	}
	return compareStrings(string(a.reason), string(b.reason))
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// refusedOrderCounts counts the orders that did not leave this process because their grants did
// not permit them any more.
type refusedOrderCounts struct {
	total     map[refusedOrder]int
	burst     map[refusedOrder]int // since the last line in the log
	nextLogAt micros.Micros        // when the next line is due; 0: none is
}

// refusalLogInterval is how long refusals are gathered for one line in the log.
const refusalLogInterval = micros.Second

// countRefusedOrder counts a refused order.
func (c *Controller) countRefusedOrder(v OrderRefused) {
	r := &c.refusedOrders
	k := refusedOrder{v.Role, v.Action, v.Reason}
	r.total[k]++
	r.burst[k]++
	if r.nextLogAt == 0 {
		r.nextLogAt = c.now + refusalLogInterval
	}
}

// logRefusedOrders logs a burst of refusals in one line.
func (c *Controller) logRefusedOrders() {
	r := &c.refusedOrders
	if r.nextLogAt == 0 || c.now < r.nextLogAt {
		return
	}
	r.nextLogAt = 0
	var args []any
	for _, k := range slices.SortedFunc(maps.Keys(r.burst), compareRefusedOrders) {
		args = append(args, k.role+" "+k.action.String()+", "+string(k.reason), r.burst[k])
	}
	clear(r.burst)
	c.logWarn("orders refused", args...)
}

// handleListRoles answers who holds which duty.
func (c *Controller) handleListRoles(v ListRoles) {
	list := api.Roles{Node: c.settings.Node, Exclusive: c.exclusive, RecordsRequests: c.recordsRequests(), RefusedOrders: c.refusedOrdersUnder("")}
	for _, h := range c.roles {
		list.Roles = append(list.Roles, c.roleStatus(h))
	}
	c.answer(v.RequestID, 200, list)
}

// roleStatus tells of one duty.
func (c *Controller) roleStatus(h *leadership.RoleState) api.RoleStatus {
	s := api.RoleStatus{Role: h.Role.String(), Leader: h.Claim.Node, Term: h.Term, RefusedOrders: c.refusedOrdersUnder(h.Role.String())}
	if h.Term > 0 {
		s.SinceS = (c.now - h.ObservedAt).Seconds()
	}
	if h.Leads() {
		left := (max(0, c.lease.ExpiresAt()-c.now)).Seconds()
		s.RemainingS = &left
	}
	return s
}

// refusedOrdersUnder gives the orders refused under a duty, by action and reason; for no
// name those of what is no single holder's.
func (c *Controller) refusedOrdersUnder(name string) map[string]int {
	counts := map[string]int{}
	for k, n := range c.refusedOrders.total {
		owned := slices.ContainsFunc(c.roles, func(h *leadership.RoleState) bool { return h.Role.String() == k.role })
		if k.role == name || name == "" && !owned {
			counts[k.action.String()+", "+string(k.reason)] += n
		}
	}
	return counts
}
