package leadership

import "spurmoor/internal/micros"

// Claim is what a holder writes under a duty's key: the node, and the process among
// all that ever bore its name.
type Claim struct {
	Node    string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// RoleState is what one controller knows of a duty: who holds it, and whether that is
// this controller.
type RoleState struct {
	Role       Role
	Claim      Claim         // of the holder; empty: nobody is known to hold it
	Term       uint64        // the version of the duty's key when it was taken; 0: nobody holds it
	ObservedAt micros.Micros // when this controller learned of the term
	// VacantAt is from when the duty may be taken.
	VacantAt micros.Micros
	// AcquiredAt is when this controller took it last.
	AcquiredAt micros.Micros
	// Acquiring: a request to take it is under way.
	Acquiring bool

	current      *leaderTerm // this controller's; nil: it does not hold the duty
	resignedTerm uint64      // the last term that this controller gave up by itself
}

// Leads tells whether this controller holds the duty.
func (h *RoleState) Leads() bool { return h.current != nil }

// Contradicts tells whether this controller holds the duty and its key, as the state
// service has it, says otherwise. own is this controller's claim, and leased whether
// it has a lease at all.
func (h *RoleState) Contradicts(claim Claim, version uint64, own Claim, leased bool) bool {
	return h.Leads() && (version != h.Term || !h.namesUs(claim, version, own, leased))
}

// namesUs tells whether a claim makes this controller the holder. A term that it gave up
// is never held again: the deletion of its key may still be carried out, and whoever
// takes the duty then counts on our silence.
func (h *RoleState) namesUs(claim Claim, version uint64, own Claim, leased bool) bool {
	return version > h.resignedTerm && claim == own && leased
}

// Observe takes in the duty's key as the state service has it, a claim and its
// version or version 0 for none, and tells whether this controller holds the duty
// from now on and did not before.
func (h *RoleState) Observe(now micros.Micros, claim Claim, version uint64, own Claim, leased bool) (taken bool) {
	if version != h.Term || claim != h.Claim {
		h.ObservedAt = now
	}
	h.Claim, h.Term = claim, version
	if version == 0 {
		h.VacantAt = now
	}
	if h.Leads() || !h.namesUs(claim, version, own, leased) {
		return false
	}
	h.current = &leaderTerm{role: h.Role, term: version}
	h.AcquiredAt = now
	return true
}

// End ends this controller's holding, and with it all grants under it.
func (h *RoleState) End(now micros.Micros) {
	if h.current == nil {
		return
	}
	h.current.ended.Store(true)
	h.current = nil
	h.VacantAt = now
}

// Resign ends this controller's holding for good and gives the term given up.
func (h *RoleState) Resign(now micros.Micros) (term uint64) {
	h.resignedTerm = h.Term
	h.End(now)
	h.Claim = Claim{} // not ours any more, whatever the replica still says
	return h.resignedTerm
}

// Forget forgets what the state service said, as before everything is read again.
func (h *RoleState) Forget(now micros.Micros) {
	h.Claim, h.Term, h.VacantAt = Claim{}, 0, now
}

// Grant gives the permission to do something until a time. It permits nothing where
// this controller does not hold the duty.
func (h *RoleState) Grant(action Action, now, until micros.Micros) Grant {
	if h.current == nil {
		return Grant{}
	}
	return Grant{leaderTerm: h.current, action: action, grantedAt: now, expiresAt: until}
}
