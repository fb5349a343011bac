package server

import (
	"fmt"

	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// grantChecker is the only code that checks the grant of an order against the clock right
// before the order is sent. An order is a request that changes something outside this
// process and needs a grant: a write to the store, a launch or delete of machines, a command
// to a worker. The checker reports each refused order to the state machine, which counts it.
// A refused order is never sent again under the same grant.
type grantChecker struct {
	clock        timeSource
	queue        *inputQueue
	orderHistory *history.Writer // nil: no order is recorded
}

// refusedError reports that an order must not be sent.
type refusedError struct {
	role   string
	reason leadership.Reason
}

// Error returns the role's name and why its grant does not permit the order.
func (e *refusedError) Error() string { return fmt.Sprintf("%s: %s", e.role, e.reason) }

// check returns a refusedError if an order must not be sent now. It is safe for concurrent
// use.
func (c *grantChecker) check(grant leadership.Grant, action leadership.Action) error {
	return c.checkAt(c.clock.Refresh(), grant, action)
}

// checkAt is check with the time given by the caller.
func (c *grantChecker) checkAt(now micros.Micros, grant leadership.Grant, action leadership.Action) error {
	reason := grant.Check(action, now)
	c.orderHistory.Record(history.Order{
		At:            now,
		GrantedAt:     grant.GrantedAt(),
		Role:          grant.RoleName(),
		Term:          uint64(grant.Term()),
		Action:        action.String(),
		ExpiresAt:     grant.ExpiresAt(),
		RefusalReason: string(reason),
	})
	if reason == "" {
		return nil
	}
	c.queue.enqueue(message.OrderRefused{Role: grant.RoleName(), Action: action, Reason: reason})
	return &refusedError{role: grant.RoleName(), reason: reason}
}
