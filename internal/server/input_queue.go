package server

import (
	"context"
	"time"

	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// input is an input to the state machine, or a request that awaits its answer.
type input struct {
	event     message.Input
	requestID uint64          // 0 for an input without an answer
	answerTo  chan<- decision // nil for an input without an answer
}

// decision is the state machine's answer to a request, and when it was given.
type decision struct {
	answer    message.Answer
	decidedAt micros.Micros
}

// inputQueue holds the inputs that the event loop has not taken yet.
type inputQueue struct {
	// urgent is taken before regular: a lease's renewal once waited behind a thousand
	// heartbeats.
	urgent  chan input
	regular chan input
	// closed is closed when the event loop has ended: nobody takes inputs any more.
	closed chan struct{}
}

// urgentQueueLength is well above the number of connections to the store, each of which
// gives one reply at a time, so that a reply hardly ever waits for room.
const urgentQueueLength = 256

// newInputQueue makes a queue with room for a request of each connection: a shorter one
// once turned workers away that there were sockets for.
func newInputQueue(maxConnections int) *inputQueue {
	return &inputQueue{
		urgent:  make(chan input, urgentQueueLength),
		regular: make(chan input, maxConnections),
		closed:  make(chan struct{}),
	}
}

// enqueue adds an input; it waits while the queue is full.
func (q *inputQueue) enqueue(event message.Input) {
	select {
	case q.regular <- input{event: event}:
	case <-q.closed:
	}
}

// enqueueUrgent adds an input that others wait for.
func (q *inputQueue) enqueueUrgent(event message.Input) {
	select {
	case q.urgent <- input{event: event}:
	case <-q.closed:
	}
}

// next waits for the next input, which is a Tick when nothing else comes before the tick;
// ok is false once ctx has ended.
func (q *inputQueue) next(ctx context.Context, ticks <-chan time.Time) (next input, ok bool) {
	select {
	case next = <-q.urgent:
		return next, true
	default:
	}
	select {
	case <-ctx.Done():
		return input{}, false
	case <-ticks:
		return input{event: message.Tick{}}, true
	case next = <-q.urgent:
		return next, true
	case next = <-q.regular:
		return next, true
	}
}
