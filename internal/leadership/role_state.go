package leadership

import (
	"spurmoor/internal/micros"
)

// Term numbers the times that a role was acquired, by whatever controller: it is the
// version of the role's key, and rises. 0 is none.
type Term uint64

// Incarnation tells a controller's process from all others that ran under its node's name.
type Incarnation uint64

// Claim is what a leader writes under its role's key: the node, and which incarnation
// of that node's controller it is.
type Claim struct {
	Node        string      `json:"n"`
	Incarnation Incarnation `json:"i"`
}

// RoleState is what one controller knows of a role: who leads it, and whether that is
// this controller.
type RoleState struct {
	Role       Role
	Claim      Claim         // the leader's; empty: no leader is known
	Term       Term          // the version of the role's key; 0: nobody leads it
	ObservedAt micros.Micros // when this controller learned of the term
	VacantAt   micros.Micros // from when the role may be acquired
	AcquiredAt micros.Micros // when this controller last acquired it
	Acquiring  bool          // a request to acquire it is in flight

	current      *leaderTerm // this controller's; nil: it does not lead the role
	resignedTerm Term        // the last term that this controller resigned by itself
}

// Leads reports whether this controller leads the role.
func (s *RoleState) Leads() bool { return s.current != nil }

// Contradicts reports whether this controller leads the role although the role's key,
// as the store has it, names another leader or term. own is this controller's claim,
// and leased whether it has a lease at all.
func (s *RoleState) Contradicts(claim Claim, term Term, own Claim, leased bool) bool {
	return s.Leads() && (term != s.Term || !s.namesUs(claim, term, own, leased))
}

// namesUs reports whether a claim makes this controller the leader. A term that it
// resigned is never led again: the deletion of its key may still be carried out, and
// whoever then acquires the role relies on this controller not acting.
func (s *RoleState) namesUs(claim Claim, term Term, own Claim, leased bool) bool {
	return term > s.resignedTerm && claim == own && leased
}

// Observe takes in the role's key as the store has it: a claim and its version as a term, or
// term 0 if there is no key. It reports whether this controller leads the role from
// now on and did not before.
func (s *RoleState) Observe(now micros.Micros, claim Claim, term Term, own Claim, leased bool) (acquired bool) {
	if term != s.Term || claim != s.Claim {
		s.ObservedAt = now
	}
	s.Claim, s.Term = claim, term
	if term == 0 {
		s.VacantAt = now
	}
	if s.Leads() || !s.namesUs(claim, term, own, leased) {
		return false
	}
	s.current = &leaderTerm{role: s.Role, term: term}
	s.AcquiredAt = now
	return true
}

// End ends this controller's leadership, and with it all grants under it.
func (s *RoleState) End(now micros.Micros) {
	if s.current == nil {
		return
	}
	s.current.ended.Store(true)
	s.current = nil
	s.VacantAt = now
}

// Resign ends this controller's leadership for good and returns the resigned term.
func (s *RoleState) Resign(now micros.Micros) (term Term) {
	s.resignedTerm = s.Term
	s.End(now)
	s.Claim = Claim{} // not ours any more, whatever the watch cache still says
	return s.resignedTerm
}

// Forget discards what the store said, before all keys are listed again.
func (s *RoleState) Forget(now micros.Micros) {
	s.Claim, s.Term, s.VacantAt = Claim{}, 0, now
}

// Grant returns the permission for an action until a time. It permits nothing if this
// controller does not lead the role.
func (s *RoleState) Grant(action Action, now, until micros.Micros) Grant {
	if s.current == nil {
		return Grant{}
	}
	return Grant{leaderTerm: s.current, action: action, grantedAt: now, expiresAt: until}
}
