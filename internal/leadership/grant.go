package leadership

import (
	"sync/atomic"

	"spurmoor/internal/micros"
)

// Action is a kind of order that a grant permits.
type Action uint8

// Actions. Their names are part of what operators read, see String.
const (
	// Write is a write of a leader's records to the key-value store.
	Write Action = iota + 1
	// Launch is a request to the cloud for machines.
	Launch
	// Delete is a request to the cloud to delete machines.
	Delete
	// Command sends commands to a worker, or answers its heartbeat.
	Command
)

var actionNames = map[Action]string{
	Write:   "write",
	Launch:  "rent",
	Delete:  "delete",
	Command: "command",
}

// String returns the action's name as operators read it.
func (a Action) String() string { return actionNames[a] }

// Reason says why an order must not leave this process; empty: it may.
type Reason string

// Reasons for refusing an order. Operators read them.
const (
	// NoGrant means that the order was made without a grant.
	NoGrant Reason = "no grant"
	// WrongAction means that the grant permits another action.
	WrongAction Reason = "grant for another action"
	// GrantExpired means that the grant's time has run out.
	GrantExpired Reason = "expired"
	// RoleEnded means that the role was resigned or lost since.
	RoleEnded Reason = "duty ended"
)

// Purpose is what a shared grant is for.
type Purpose uint8

// Purposes for which every controller may act without leading a role, and why that is
// safe.
const (
	// ForUser accepts or cancels a job; the write compares the job's key.
	ForUser Purpose = iota + 1
	// ForElection acquires or resigns a role; the write compares the role's key.
	ForElection
	// ForSchema announces which schema version this controller reads, under its own key.
	ForSchema
	// ForProbe sends an empty command without a fencing token, on which no worker acts.
	ForProbe
	// ForFleet acts under a fleet role that has no single leader yet, because the
	// operators' settings or another controller's version do not know it. Such writes
	// compare the keys that they change.
	ForFleet
)

var purposeNames = map[Purpose]string{
	ForUser:     "users",
	ForElection: "elections",
	ForSchema:   "schema",
	ForProbe:    "probes",
	ForFleet:    "fleet",
}

// leaderTerm is one controller's leadership of a role under one term. The state machine
// sets ended; whoever sends orders reads it, in other goroutines.
type leaderTerm struct {
	role  Role
	term  Term
	ended atomic.Bool
}

// Grant is the permission for one action until a time. It comes from RoleState.Grant or
// SharedGrant; the zero Grant permits nothing.
type Grant struct {
	leaderTerm *leaderTerm // nil: a shared grant, or the zero one
	action     Action
	grantedAt  micros.Micros
	expiresAt  micros.Micros
	purpose    Purpose // of a shared grant
}

// SharedGrant returns the grant for what every controller may do. It does not expire.
func SharedGrant(purpose Purpose, action Action) Grant {
	return Grant{action: action, purpose: purpose}
}

// RoleName returns the name of the role, or of a shared grant's purpose.
func (g Grant) RoleName() string {
	if g.leaderTerm == nil {
		return purposeNames[g.purpose]
	}
	return g.leaderTerm.role.String()
}

// Term returns the term under which the role is led; 0 for a shared grant.
func (g Grant) Term() Term {
	if g.leaderTerm == nil {
		return 0
	}
	return g.leaderTerm.term
}

// Action returns what the grant permits.
func (g Grant) Action() Action { return g.action }

// GrantedAt returns when the grant was given; 0 for a shared grant.
func (g Grant) GrantedAt() micros.Micros { return g.grantedAt }

// ExpiresAt returns when the grant ends; 0 for a shared grant, which does not.
func (g Grant) ExpiresAt() micros.Micros { return g.expiresAt }

// Check returns why an action must not be done under the grant now; empty if it may be.
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
