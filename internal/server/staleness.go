package server

import (
	"errors"

	"spurmoor/internal/micros"
)

// staleAfter is how long after a decision of the state machine the answer or command may
// still be sent. If the process was paused for longer in between, other controllers may have
// acted meanwhile, and the decision does not know of it.
const staleAfter = micros.Second

// errStaleDecision reports that an answer or command was decided too long ago to be sent.
// Users see its text.
var errStaleDecision = errors.New("this controller stood still")

// isStale reports whether a decision is too old to be sent.
func isStale(decidedAt, now micros.Micros) bool { return now > decidedAt+staleAfter }
