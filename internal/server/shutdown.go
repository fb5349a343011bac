package server

import (
	"context"
	"time"

	"spurmoor/internal/message"
)

// shutdownTimeout is how long an orderly stop may take: after it the roles end with the
// lease.
const shutdownTimeout = 2 * time.Second

// awaitStop waits until the controller is told to stop, and then until it has resigned its
// roles. It returns at once when serving ends by itself.
//
// Requests to the store, the cloud, workers and peers that are still under way then are not
// waited for: a watch returns only after its whole wait, which would hold up the stop.
func (s *Server) awaitStop(told, serving context.Context) {
	select {
	case <-serving.Done():
		return
	case <-told.Done():
	}
	s.queue.enqueueUrgent(message.Stop{})
	select {
	case <-s.loop.effects.stopped:
		s.log.Info("controller stopped, its roles are resigned")
	case <-time.After(shutdownTimeout):
		s.log.Warn("controller stopped, its roles end with its lease")
	}
}
