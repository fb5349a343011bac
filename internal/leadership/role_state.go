package leadership

import (
	"spurmoor/internal/micros"
)

// Term identifies one period of leadership of a role by any controller. It is the version
// of the role's key, so later terms are higher, though not consecutive. 0 is no term.
type Term uint64

// Incarnation identifies a controller's process among all that ran on the same node.
type Incarnation uint64

// Claim is the value of a role's key. It identifies the leader by its node and by the
// incarnation of that node's controller.
type Claim struct {
	Node        string      `json:"n"`
	Incarnation Incarnation `json:"i"`
}

// RoleState is what one controller knows of a role: its leader, the term, and whether this
// controller is the leader. It is not safe for concurrent use.
type RoleState struct {
	Role       Role
	Claim      Claim         // the leader's; empty if no leader is known
	Term       Term          // the version of the role's key; 0 if there is no key
	ObservedAt micros.Micros // when this controller learned of the claim and term
	VacantAt   micros.Micros // from when the role counts as vacant; may be in the future
	AcquiredAt micros.Micros // when this controller last acquired it
	Acquiring  bool          // an attempt to acquire it is in progress

	current      *leaderTerm // this controller's; nil if it does not lead the role
	resignedTerm Term        // the last term that this controller resigned
}

// Leads reports whether this controller leads the role.
func (s *RoleState) Leads() bool { return s.current != nil }

// Contradicts reports whether this controller acts as the role's leader although the role's
// key in the store has another claim or term. own is this controller's claim, and leased
// tells whether this controller has a lease.
func (s *RoleState) Contradicts(claim Claim, term Term, own Claim, leased bool) bool {
	return s.Leads() && (term != s.Term || !s.isOurs(claim, term, own, leased))
}

// isOurs reports whether a claim makes this controller the leader. A controller that resigned
// a term must never lead in that term again. The deletion of the role's key may still be
// committed, and another controller that then acquires the role relies on this one not
// acting.
func (s *RoleState) isOurs(claim Claim, term Term, own Claim, leased bool) bool {
	return term > s.resignedTerm && claim == own && leased
}

// Observe applies the state of the role's key in the store: the claim, and the key's version
// as the term, or term 0 if the key does not exist. It reports whether this controller has
// just become the leader. It does not end a leadership; see Contradicts.
func (s *RoleState) Observe(now micros.Micros, claim Claim, term Term, own Claim, leased bool) (acquired bool) {
	if term != s.Term || claim != s.Claim {
		s.ObservedAt = now
	}
	s.Claim, s.Term = claim, term
	if term == 0 {
		s.VacantAt = now
	}
	if s.Leads() || !s.isOurs(claim, term, own, leased) {
		return false
	}
	s.current = &leaderTerm{role: s.Role, term: term}
	s.AcquiredAt = now
	return true
}

// End ends this controller's leadership and all grants given under it. It does nothing if
// this controller does not lead the role.
func (s *RoleState) End(now micros.Micros) {
	if s.current == nil {
		return
	}
	s.current.ended.Store(true)
	s.current = nil
	s.VacantAt = now
}

// Resign ends this controller's leadership, so that it never leads in the same term again. It
// returns the resigned term.
func (s *RoleState) Resign(now micros.Micros) (term Term) {
	s.resignedTerm = s.Term
	s.End(now)
	s.Claim = Claim{} // no longer ours, even if the watch cache still shows it
	return s.resignedTerm
}

// ClearClaim clears the claim and the term before all keys are listed again. The role counts
// as vacant from now on.
func (s *RoleState) ClearClaim(now micros.Micros) {
	s.Claim, s.Term, s.VacantAt = Claim{}, 0, now
}

// Grant returns a grant for an action that expires at a given time. It returns the zero
// Grant, which permits nothing, if this controller does not lead the role.
func (s *RoleState) Grant(action Action, now, expiresAt micros.Micros) Grant {
	if s.current == nil {
		return Grant{}
	}
	return Grant{leaderTerm: s.current, action: action, grantedAt: now, expiresAt: expiresAt}
}
