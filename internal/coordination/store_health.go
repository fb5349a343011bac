package coordination

import (
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// StoreHealth tracks whether the key-value store answers this controller.
type StoreHealth struct {
	*Environment

	UnavailableSince micros.Micros // when the store stopped answering; 0 if it answers
	Refusing         bool          // a call got a server error since UnavailableSince
}

// NewStoreHealth returns a store health that assumes an available store.
func NewStoreHealth(env *Environment) *StoreHealth { return &StoreHealth{Environment: env} }

// ObserveReply updates the health by the result of a call. No reply or a server error
// means that the store is unavailable. Any other reply except StatusTooManyRequests means
// that it is available.
func (h *StoreHealth) ObserveReply(reply *message.StoreReply) {
	switch {
	case reply.Unsent: // says nothing about the store
	case reply.Status == message.StatusNoReply || reply.Status >= message.StatusInternalServerError:
		h.Refusing = h.Refusing || reply.Status != message.StatusNoReply
		if h.UnavailableSince == 0 {
			h.UnavailableSince = h.Now
		}
	case reply.Status != message.StatusTooManyRequests:
		h.UnavailableSince, h.Refusing = 0, false
	}
}
