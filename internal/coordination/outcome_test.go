package coordination

import (
	"testing"

	"spurmoor/internal/message"
)

// TestOutcomeOf guards against a known outcome for a reply that does not tell whether the
// transaction was committed.
func TestOutcomeOf(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		reply message.StoreReply
		want  Outcome
	}{
		{"carried out", message.StoreReply{Status: message.StatusOK}, OutcomeCommitted},
		{"a compare failed", message.StoreReply{Status: message.StatusConflict}, OutcomeRefused},
		{"too large", message.StoreReply{Status: message.StatusBadRequest}, OutcomeMalformed},
		{"no reply", message.StoreReply{Status: message.StatusNoReply}, OutcomeUnknown},
		{"not sent", message.StoreReply{Unsent: true}, OutcomeUnknown},
		{"too many requests", message.StoreReply{Status: message.StatusTooManyRequests}, OutcomeUnknown},
		{"failed", message.StoreReply{Status: message.StatusInternalServerError}, OutcomeUnknown},
		{"unavailable", message.StoreReply{Status: message.StatusServiceUnavailable}, OutcomeUnknown},
	} {
		if got := OutcomeOf(&tc.reply); got != tc.want {
			t.Errorf("%s: got outcome %d, want %d", tc.name, got, tc.want)
		}
	}
}
