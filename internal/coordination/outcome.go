package coordination

import "spurmoor/internal/message"

// Outcome is the result of one attempt to commit a transaction, as far as its reply shows it.
type Outcome int

// Outcomes of a transaction.
const (
	// OutcomeUnknown means that the transaction may have been committed, or may still be.
	// There was no reply, or one that does not show it.
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

// OutcomeOf returns the outcome that a reply to a transaction shows.
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
