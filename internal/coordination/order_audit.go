package coordination

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// refusalLogInterval is how long refusals are gathered for one line in the log.
const refusalLogInterval = micros.Second

// OrderAudit counts the orders that did not leave this process because their grants no
// longer permitted them.
type OrderAudit struct {
	*Environment

	total     map[refusedOrder]int
	burst     map[refusedOrder]int // since the last line in the log
	nextLogAt micros.Micros        // when the next line is due; 0: none is
}

// NewOrderAudit makes an order audit.
func NewOrderAudit(env *Environment) *OrderAudit {
	return &OrderAudit{
		Environment: env,
		total:       map[refusedOrder]int{},
		burst:       map[refusedOrder]int{},
	}
}

// refusedOrder is what refused orders are counted by.
type refusedOrder struct {
	role   string
	action leadership.Action
	reason leadership.Reason
}

// label names the action and the reason, as operators read them.
func (o refusedOrder) label() string { return o.action.String() + ", " + string(o.reason) }

func compareRefusedOrders(left, right refusedOrder) int {
	return cmp.Or(
		cmp.Compare(left.role, right.role),
		cmp.Compare(left.action, right.action),
		cmp.Compare(left.reason, right.reason),
	)
}

// CountRefusedOrder counts a refused order.
func (a *OrderAudit) CountRefusedOrder(refused message.OrderRefused) {
	order := refusedOrder{role: refused.Role, action: refused.Action, reason: refused.Reason}
	a.total[order]++
	a.burst[order]++
	if a.nextLogAt == 0 {
		a.nextLogAt = a.Now + refusalLogInterval
	}
}

// LogRefusedOrders logs a burst of refusals in one line, once it is due.
func (a *OrderAudit) LogRefusedOrders() {
	if a.nextLogAt == 0 || a.Now < a.nextLogAt {
		return
	}
	a.nextLogAt = 0
	var args []any
	for _, order := range slices.SortedFunc(maps.Keys(a.burst), compareRefusedOrders) {
		args = append(args, order.role+" "+order.label(), a.burst[order])
	}
	clear(a.burst)
	a.LogWarn("orders refused", args...)
}

// countByLabel counts all refused orders under the roles that include accepts, by action
// and reason.
func (a *OrderAudit) countByLabel(include func(role string) bool) map[string]int {
	counts := map[string]int{}
	for order, n := range a.total {
		if include(order.role) {
			counts[order.label()] += n
		}
	}
	return counts
}
