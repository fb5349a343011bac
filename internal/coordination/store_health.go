package coordination

import (
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// StoreHealth is whether the key-value store answers this controller.
type StoreHealth struct {
	*Environment

	lastReplyAt      micros.Micros
	UnavailableSince micros.Micros // when it last began not to answer; 0: it answers
	// Refusing: since it began to fail some of it were answers, not silence.
	Refusing bool
}

// NewStoreHealth makes a store health.
func NewStoreHealth(env *Environment) *StoreHealth { return &StoreHealth{Environment: env} }

// ObserveStoreReply takes in what a reply, or its absence, says of whether the store
// answers.
func (h *StoreHealth) ObserveStoreReply(r *message.StoreReply) {
	switch {
	case r.Unsent: // says nothing of the store
	case r.Status == 0 || r.Status >= 500:
		h.Refusing = h.Refusing || r.Status != 0
		if h.UnavailableSince == 0 {
			h.UnavailableSince = h.Now
		}
	case r.Status != 429:
		h.lastReplyAt, h.UnavailableSince, h.Refusing = h.Now, 0, false
	}
}
