package server

import (
	"context"
	"time"

	"spurmoor/internal/message"
)

// shutdownTimeout is how long the controller tries to resign its roles when it stops. Roles
// that it has not resigned by then end when its lease expires.
const shutdownTimeout = 2 * time.Second

// awaitStop waits until runContext ends, which requests a stop, and then until the controller
// has resigned its roles. It returns at once if serving ends first.
//
// It does not wait for requests to the store, the cloud, workers and peers that are still in
// flight: a watch returns only after its full wait time, which would delay the stop.
func (s *Server) awaitStop(runContext, serving context.Context) {
	select {
	case <-serving.Done():
		return
	case <-runContext.Done():
	}
	s.queue.enqueueUrgent(message.Stop{})
	select {
	case <-s.loop.effects.stopped:
		s.log.Info("controller stopped, all roles resigned")
	case <-time.After(shutdownTimeout):
		s.log.Warn("controller stopped before it resigned all roles; the rest end when its lease expires")
	}
}
