package leadership

import (
	"sync/atomic"

	"spurmoor/internal/micros"
)

// Action is what a grant permits.
type Action uint8

// Actions.
const (
	// Write is a write of the holder's records to the state service.
	Write Action = iota + 1
	// Launch and Delete are requests to the cloud.
	Launch
	Delete
	// Command sends commands to a worker, or answers its report.
	Command
)

var actionNames = map[Action]string{Write: "write", Launch: "rent", Delete: "delete", Command: "command"}

// String gives the action's name.
func (a Action) String() string { return actionNames[a] }

// Reason says why an order must not leave; empty: it may.
type Reason string

// Reasons for refusing an order.
const (
	// NoGrant: the order was made without a grant.
	NoGrant Reason = "no grant"
	// WrongAction: the grant permits something else.
	WrongAction Reason = "grant for another action"
	// GrantExpired: the time of the grant has run out.
	GrantExpired Reason = "expired"
	// RoleEnded: the duty was given up or lost since.
	RoleEnded Reason = "duty ended"
)

// Purpose is what a shared grant is for.
type Purpose uint8

// Purposes for which every controller may act without holding a duty, and why that
// is safe.
const (
	// ForUser: accepting or cancelling a job; guarded by the job's key.
	ForUser Purpose = iota + 1
	// ForElection: taking a duty or giving it up; guarded by the duty's key.
	ForElection
	// ForSchema: announcing which form this controller reads, under its own key.
	ForSchema
	// ForProbe: an empty direct command without a token, which no worker acts on.
	ForProbe
	// ForFleet: a duty of the fleet while it has no single holder, because the
	// operators' settings or another controller's version do not know it. Such
	// writes guard the keys that they change.
	ForFleet
)

var purposeNames = map[Purpose]string{ForUser: "users", ForElection: "elections", ForSchema: "schema", ForProbe: "probes", ForFleet: "fleet"}

// leaderTerm is one holder's time in a duty, under one term. Ended is set by the state
// machine and read by whoever sends orders.
type leaderTerm struct {
	role  Role
	term  uint64
	ended atomic.Bool
}

// Grant is the permission to do one thing until a time. Only a Holding gives one,
// or Shared; the zero Grant permits nothing.
type Grant struct {
	leaderTerm *leaderTerm
	action     Action
	grantedAt  micros.Micros
	expiresAt  micros.Micros
	purpose    Purpose
}

// SharedGrant gives the grant for what every controller may do.
func SharedGrant(purpose Purpose, action Action) Grant {
	return Grant{action: action, purpose: purpose}
}

// RoleName names the duty, or what the grant is shared for.
func (g Grant) RoleName() string {
	if g.leaderTerm == nil {
		return purposeNames[g.purpose]
	}
	return g.leaderTerm.role.String()
}

// Term is the term under which the duty is held; 0 for a shared grant.
func (g Grant) Term() uint64 {
	if g.leaderTerm == nil {
		return 0
	}
	return g.leaderTerm.term
}

// Action is what the grant permits.
func (g Grant) Action() Action { return g.action }

// GrantedAt is when the grant was given; 0: a shared one, which has no time.
func (g Grant) GrantedAt() micros.Micros { return g.grantedAt }

// ExpiresAt is when the grant ends; 0: a shared one, which does not.
func (g Grant) ExpiresAt() micros.Micros { return g.expiresAt }

// Check tells why something must not be done under the grant now; empty: it may be.
func (g Grant) Check(action Action, now micros.Micros) Reason {
	switch {
	case g.leaderTerm == nil && g.purpose == 0:
		return NoGrant
	case g.action != action:
		return WrongAction
	case g.leaderTerm == nil:
		return ""
	case g.leaderTerm.ended.Load():
		return RoleEnded
	case now >= g.expiresAt:
		return GrantExpired
	}
	return ""
}

// Gate tells whether an order may leave now. It is asked right before the bytes do.
type Gate func(grant Grant, action Action) error

// Order is a request to the outside together with the grant that it is made under.
// There is no other way to form one.
type Order[T any] struct {
	grant Grant
	body  T
}

// NewOrder makes an order.
func NewOrder[T any](grant Grant, body T) Order[T] { return Order[T]{grant, body} }

// Grant is what the order was made under.
func (o Order[T]) Grant() Grant { return o.grant }

// Body is what is ordered.
func (o Order[T]) Body() T { return o.body }
