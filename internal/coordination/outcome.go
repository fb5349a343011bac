package coordination

import "spurmoor/internal/message"

// Outcome is the result of one attempt to carry out a transaction, as told by its reply.
type Outcome int

// Outcomes of a transaction.
const (
	// OutcomeUnknown means that the transaction may have been committed, or may still be.
	// There was no reply, or one that does not tell.
	OutcomeUnknown Outcome = iota
	// OutcomeCommitted means that the transaction was committed.
	OutcomeCommitted
	// OutcomeRefused means that this copy of the transaction was not committed, because a
	// compare failed. An earlier copy may have been committed.
	OutcomeRefused
	// OutcomeMalformed means that the store rejects the transaction as invalid, for example
	// because it is too large.
	OutcomeMalformed
)

// OutcomeOf returns the outcome that the reply to a transaction tells.
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
