package server

import (
	"errors"

	"spurmoor/internal/micros"
)

// staleAfter is how long after the state machine decided it an answer or a command may
// leave the process: one that was paused in between knows nothing of what other
// controllers did meanwhile.
const staleAfter = micros.Second

// errStaleDecision says that something was decided too long ago to leave. Users see the
// text.
var errStaleDecision = errors.New("this controller stood still")

// isStale tells whether what was decided then must not leave any more.
func isStale(decidedAt, now micros.Micros) bool { return now > decidedAt+staleAfter }
