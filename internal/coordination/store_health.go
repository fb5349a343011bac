package coordination

import (
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// StoreHealth is whether the key-value store answers this controller.
type StoreHealth struct {
	*Environment

	UnavailableSince micros.Micros // when it stopped answering; 0: it answers
	Refusing         bool          // since then some calls failed by an answer, not for want of one
}

// NewStoreHealth makes a store health.
func NewStoreHealth(env *Environment) *StoreHealth { return &StoreHealth{Environment: env} }

// ObserveStoreReply takes in what a reply, or its absence, says of whether the store
// answers.
func (h *StoreHealth) ObserveStoreReply(reply *message.StoreReply) {
	switch {
	case reply.Unsent: // says nothing of the store
	case reply.Status == message.StatusNoReply || reply.Status >= message.StatusInternalServerError:
		h.Refusing = h.Refusing || reply.Status != message.StatusNoReply
		if h.UnavailableSince == 0 {
			h.UnavailableSince = h.Now
		}
	case reply.Status != message.StatusTooManyRequests:
		h.UnavailableSince, h.Refusing = 0, false
	}
}
