package coordination

import "spurmoor/internal/message"

// Outcome is what the reply to a transaction says of it.
type Outcome int

// Outcomes of a transaction.
const (
	// OutcomeUnknown means that it may have been carried out, or may still be: there was
	// no reply, or one that does not say.
	OutcomeUnknown Outcome = iota
	// OutcomeCommitted means that it was carried out.
	OutcomeCommitted
	// OutcomeRefused means that this copy of it was not carried out, because a compare
	// failed. An earlier copy may have been.
	OutcomeRefused
	// OutcomeMalformed means that the store does not admit such a transaction, perhaps
	// because it is too large.
	OutcomeMalformed
)

// OutcomeOf returns the outcome that a reply to a transaction tells.
func OutcomeOf(reply *message.StoreReply) Outcome {
	switch reply.Status {
	case message.StatusOK:
		return OutcomeCommitted
	case message.StatusConflict:
		return OutcomeRefused
	case message.StatusBadRequest:
		return OutcomeMalformed
	default:
		return OutcomeUnknown
	}
}
