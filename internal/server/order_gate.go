package server

import (
	"fmt"

	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// orderGate is the one place that checks an order's grant against the clock, right before
// the order leaves this process. What it refuses is reported to the state machine, which
// counts it, and never sent again under the same grant.
type orderGate struct {
	clock  timeSource
	queue  *inputQueue
	orders *history.Writer // nil: none is recorded
}

// refusedError says that an order must not leave.
type refusedError struct {
	role   string
	reason leadership.Reason
}

// Error names the role and why its grant does not permit the order.
func (e *refusedError) Error() string { return fmt.Sprintf("%s: %s", e.role, e.reason) }

// admit tells whether an order may leave now; its error is a refusedError.
func (g *orderGate) admit(grant leadership.Grant, action leadership.Action) error {
	return g.admitAt(g.clock.Refresh(), grant, action)
}

// admitAt is admit at a time that the caller knows.
func (g *orderGate) admitAt(now micros.Micros, grant leadership.Grant, action leadership.Action) error {
	reason := grant.Check(action, now)
	g.orders.Record(history.Order{
		At:        now,
		GrantedAt: grant.GrantedAt(),
		Role:      grant.RoleName(),
		Term:      uint64(grant.Term()),
		Action:    action.String(),
		ExpiresAt: grant.ExpiresAt(),
		Refused:   string(reason),
	})
	if reason == "" {
		return nil
	}
	g.queue.enqueue(message.OrderRefused{Role: grant.RoleName(), Action: action, Reason: reason})
	return &refusedError{role: grant.RoleName(), reason: reason}
}
