package server

import (
	"context"
	"time"

	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// queuedInput is an input to the state machine. If it is a request, a handler waits on
// answerTo for its answer.
type queuedInput struct {
	input     message.Input
	requestID uint64          // 0: the input is no request
	answerTo  chan<- decision // nil: the input is no request
}

// decision is the state machine's answer to a request, with the time at which it was decided.
type decision struct {
	answer    message.Answer
	decidedAt micros.Micros
}

// inputQueue holds the inputs that the event loop has not received yet.
type inputQueue struct {
	// urgent is received before regular. With a single channel, the reply to a lease
	// renewal can wait behind a thousand heartbeats.
	urgent  chan queuedInput
	regular chan queuedInput
	// closed is closed when the event loop has ended and receives no more inputs.
	closed chan struct{}
}

// urgentQueueLength is well above the number of connections to the key-value store. Each of
// them has one reply at a time, so a reply hardly ever waits for a place in the queue.
const urgentQueueLength = 256

// newInputQueue returns a queue with a place for one request of each connection. A shorter
// queue rejects requests of workers that have a connection.
func newInputQueue(maxConnections int) *inputQueue {
	return &inputQueue{
		urgent:  make(chan queuedInput, urgentQueueLength),
		regular: make(chan queuedInput, maxConnections),
		closed:  make(chan struct{}),
	}
}

// enqueue adds an input. It blocks while the queue is full, and drops the input once the
// event loop has ended.
func (q *inputQueue) enqueue(input message.Input) {
	select {
	case q.regular <- queuedInput{input: input}:
	case <-q.closed:
	}
}

// enqueueUrgent adds an input that the event loop receives before the regular ones. It
// blocks and drops like enqueue.
func (q *inputQueue) enqueueUrgent(input message.Input) {
	select {
	case q.urgent <- queuedInput{input: input}:
	case <-q.closed:
	}
}

// next waits for an input and returns it: an urgent one if there is any, else a regular one
// or, when ticks delivers, a Tick. ok is false if ctx ended instead.
func (q *inputQueue) next(ctx context.Context, ticks <-chan time.Time) (next queuedInput, ok bool) {
	select {
	case next = <-q.urgent:
		return next, true
	default:
	}
	select {
	case <-ctx.Done():
		return queuedInput{}, false
	case <-ticks:
		return queuedInput{input: message.Tick{}}, true
	case next = <-q.urgent:
		return next, true
	case next = <-q.regular:
		return next, true
	}
}
