package core

import "spurmoor/internal/micros"

// storeHealth is whether the key-value store answers this controller.
type storeHealth struct {
	*environment

	lastReplyAt      micros.Micros
	unavailableSince micros.Micros // when it last began not to answer; 0: it answers
	// refusing: since it began to fail some of it were answers, not silence.
	refusing bool
}

func newStoreHealth(env *environment) *storeHealth { return &storeHealth{environment: env} }

// observeStoreReply takes in what a reply, or its absence, says of whether the store
// answers.
func (h *storeHealth) observeStoreReply(r *StoreReply) {
	switch {
	case r.Unsent: // says nothing of the store
	case r.Status == 0 || r.Status >= 500:
		h.refusing = h.refusing || r.Status != 0
		if h.unavailableSince == 0 {
			h.unavailableSince = h.now
		}
	case r.Status != 429:
		h.lastReplyAt, h.unavailableSince, h.refusing = h.now, 0, false
	}
}
