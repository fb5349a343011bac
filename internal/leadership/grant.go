package leadership

import (
	"sync/atomic"

	"spurmoor/internal/micros"
)

// Action is a kind of order that a grant permits.
type Action uint8

// Actions. Operators read their names; see String.
const (
	// ActionWrite writes records to the key-value store.
	ActionWrite Action = iota + 1
	// ActionLaunch requests machines from the cloud.
	ActionLaunch
	// ActionDelete requests that the cloud delete machines.
	ActionDelete
	// ActionCommand sends commands to a worker or answers its heartbeat.
	ActionCommand
)

var actionNames = map[Action]string{
	ActionWrite:   "write",
	ActionLaunch:  "rent",
	ActionDelete:  "delete",
	ActionCommand: "command",
}

// String returns the action's name as shown to operators.
func (a Action) String() string { return actionNames[a] }

// Reason is the reason why an order must not be sent. It is empty if the order may be sent.
type Reason string

// Reasons for refusing an order. Operators read them.
const (
	// NoGrant means that the order was made without a grant.
	NoGrant Reason = "no grant"
	// WrongAction means that the grant permits another action.
	WrongAction Reason = "grant for another action"
	// GrantExpired means that the grant has expired.
	GrantExpired Reason = "expired"
	// RoleEnded means that the role was resigned or lost after the grant was given.
	RoleEnded Reason = "duty ended"
)

// Purpose is a use of shared grants. Its name takes the place of a role's name where orders are
// counted, logged and recorded.
type Purpose uint8

// Purposes for which every controller may act without leading a role, each with the reason
// why that is safe.
const (
	// ForUser accepts or cancels a job. The write compares the job's key.
	ForUser Purpose = iota + 1
	// ForElection acquires or resigns a role. The write compares the role's key.
	ForElection
	// ForSchema announces which schema version this controller reads. Each controller has a
	// key of its own for that.
	ForSchema
	// ForProbe sends a worker an empty command without a fencing token. No worker acts on
	// such a command.
	ForProbe
	// ForFleet acts under a fleet role that has no single leader, because the settings don't
	// ask for one or another controller's version doesn't know the role. The writes compare
	// the keys that they change.
	ForFleet
)

var purposeNames = map[Purpose]string{
	ForUser:     "users",
	ForElection: "elections",
	ForSchema:   "schema",
	ForProbe:    "probes",
	ForFleet:    "fleet",
}

// leaderTerm is this controller's leadership of a role in one term. The state machine sets
// ended, and other goroutines that send orders read it.
type leaderTerm struct {
	role  Role
	term  Term
	ended atomic.Bool
}

// Grant permits one kind of action. A grant that was given to a role's leader is valid until
// it expires or that leadership ends. A shared grant is always valid. RoleState.Grant and
// SharedGrant return grants. The zero Grant permits nothing. A Grant may be used by several
// goroutines at the same time.
type Grant struct {
	leaderTerm *leaderTerm // nil for a shared grant and the zero Grant
	action     Action
	grantedAt  micros.Micros
	expiresAt  micros.Micros
	purpose    Purpose // of a shared grant; 0 for others
}

// SharedGrant returns a grant for an action that every controller may take for the given
// purpose. It does not expire.
func SharedGrant(purpose Purpose, action Action) Grant {
	return Grant{action: action, purpose: purpose}
}

// RoleName returns the name of the grant's role or, for a shared grant, of its purpose.
func (g Grant) RoleName() string {
	if g.leaderTerm == nil {
		return purposeNames[g.purpose]
	}
	return g.leaderTerm.role.String()
}

// Term returns the term in which the grant's role is led, or 0 for a shared grant.
func (g Grant) Term() Term {
	if g.leaderTerm == nil {
		return 0
	}
	return g.leaderTerm.term
}

// Action returns the action that the grant permits.
func (g Grant) Action() Action { return g.action }

// GrantedAt returns when the grant was given, or 0 for a shared grant.
func (g Grant) GrantedAt() micros.Micros { return g.grantedAt }

// ExpiresAt returns when the grant expires, or 0 for a shared grant, which never does.
func (g Grant) ExpiresAt() micros.Micros { return g.expiresAt }

// Check returns the reason why the grant does not permit an action now. It returns an empty
// reason if the grant permits it.
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
