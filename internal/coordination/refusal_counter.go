package coordination

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// refusalLogInterval is how long refusals are collected before one log line reports them.
const refusalLogInterval = micros.Second

// RefusalCounter counts the orders that this controller refused to send because their
// grants did not permit them at that time. It logs them in batches.
type RefusalCounter struct {
	*Environment

	total     map[refusal]int
	unlogged  map[refusal]int // those since the last log line
	nextLogAt micros.Micros   // when the next log line is due; 0 if nothing is unlogged
}

// NewRefusalCounter returns a counter without refusals.
func NewRefusalCounter(env *Environment) *RefusalCounter {
	return &RefusalCounter{
		Environment: env,
		total:       map[refusal]int{},
		unlogged:    map[refusal]int{},
	}
}

// refusal is the key by which refused orders are counted.
type refusal struct {
	role   string
	action leadership.Action
	reason leadership.Reason
}

// label returns the action and the reason as shown to operators.
func (r refusal) label() string { return r.action.String() + ", " + string(r.reason) }

func compareRefusals(left, right refusal) int {
	return cmp.Or(
		cmp.Compare(left.role, right.role),
		cmp.Compare(left.action, right.action),
		cmp.Compare(left.reason, right.reason),
	)
}

// Count counts a refused order and sets the time of the next log line if none is due.
func (c *RefusalCounter) Count(order message.OrderRefused) {
	key := refusal{role: order.Role, action: order.Action, reason: order.Reason}
	c.total[key]++
	c.unlogged[key]++
	if c.nextLogAt == 0 {
		c.nextLogAt = c.Now + refusalLogInterval
	}
}

// LogDue logs all unlogged refusals in one line once that is due.
func (c *RefusalCounter) LogDue() {
	if c.nextLogAt == 0 || c.Now < c.nextLogAt {
		return
	}
	c.nextLogAt = 0
	var args []any
	for _, key := range slices.SortedFunc(maps.Keys(c.unlogged), compareRefusals) {
		args = append(args, key.role+" "+key.label(), c.unlogged[key])
	}
	clear(c.unlogged)
	c.LogWarn("orders refused", args...)
}

// countByLabel returns how many orders were refused under the roles for which include
// returns true, by action and reason.
func (c *RefusalCounter) countByLabel(include func(role string) bool) map[string]int {
	counts := map[string]int{}
	for key, count := range c.total {
		if include(key.role) {
			counts[key.label()] += count
		}
	}
	return counts
}
