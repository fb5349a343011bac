package coordination

import (
	"maps"
	"slices"

	"spurmoor/internal/message"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// OrderAudit counts the orders that did not leave this process because their grants did
// not permit them any more.
type OrderAudit struct {
	*Environment

	total     map[refusedOrder]int
	burst     map[refusedOrder]int // since the last line in the log
	nextLogAt micros.Micros        // when the next line is due; 0: none is
}

// NewOrderAudit makes an order audit.
func NewOrderAudit(env *Environment) *OrderAudit {
	return &OrderAudit{Environment: env, total: map[refusedOrder]int{}, burst: map[refusedOrder]int{}}
}

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

// refusalLogInterval is how long refusals are gathered for one line in the log.
const refusalLogInterval = micros.Second

// CountRefusedOrder counts a refused order.
func (a *OrderAudit) CountRefusedOrder(v message.OrderRefused) {
	r := a
	k := refusedOrder{role: v.Role, action: v.Action, reason: v.Reason}
	r.total[k]++
	r.burst[k]++
	if r.nextLogAt == 0 {
		r.nextLogAt = a.Now + refusalLogInterval
	}
}

// LogRefusedOrders logs a burst of refusals in one line.
func (a *OrderAudit) LogRefusedOrders() {
	r := a
	if r.nextLogAt == 0 || a.Now < r.nextLogAt {
		return
	}
	r.nextLogAt = 0
	var args []any
	for _, k := range slices.SortedFunc(maps.Keys(r.burst), compareRefusedOrders) {
		args = append(args, k.role+" "+k.action.String()+", "+string(k.reason), r.burst[k])
	}
	clear(r.burst)
	a.LogWarn("orders refused", args...)
}
