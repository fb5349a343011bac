package server

import (
	"fmt"

	"spurmoor/internal/message"

	"spurmoor/internal/history"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// gate is the one place that looks at an order's grant, against the clock, right
// before the order leaves this process. What it refuses is told to the core, which
// counts it, and never sent again under the same grant.
type gate struct {
	now     func() micros.Micros
	refused func(message.OrderRefused)
	orders  *history.Writer // nil: none is kept
}

// refusedError says that an order must not leave.
type refusedError struct {
	duty   string
	reason leadership.Reason
}

func (e *refusedError) Error() string { return fmt.Sprintf("%s: %s", e.duty, e.reason) }

// admit tells whether an order may leave now.
func (g *gate) admit(grant leadership.Grant, action leadership.Action) error {
	return g.admitAt(g.now(), grant, action)
}

// admitAt is admit at a time that the caller knows.
func (g *gate) admitAt(now micros.Micros, grant leadership.Grant, action leadership.Action) error {
	reason := grant.Check(action, now)
	g.orders.Note(history.Order{At: now, GrantedAt: grant.GrantedAt(), Role: grant.RoleName(), Term: grant.Term(), Action: action.String(), ExpiresAt: grant.ExpiresAt(), Refused: string(reason)})
	if reason == "" {
		return nil
	}
	g.refused(message.OrderRefused{Role: grant.RoleName(), Action: action, Reason: reason})
	return &refusedError{grant.RoleName(), reason}
}
