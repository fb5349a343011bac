package server

import (
	"context"
	"time"

	"spurmoor/internal/core"
	"spurmoor/internal/message"
)

// tickInterval is how often the state machine gets a Tick.
const tickInterval = 100 * time.Millisecond

// eventLoop passes inputs to the state machine and executes its effects. The state machine
// is not safe for concurrent use, so no other goroutine may call it.
type eventLoop struct {
	core    *core.Controller
	clock   timeSource
	queue   *inputQueue
	effects *effectExecutor
}

// run processes inputs until ctx ends, then closes the queue. It always returns nil.
func (l *eventLoop) run(ctx context.Context) error {
	defer close(l.queue.closed)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// Calls that are in flight when the loop ends are not cancelled.
	calls := context.WithoutCancel(ctx)
	for {
		next, ok := l.queue.next(ctx, ticker.C)
		if !ok {
			return nil
		}
		l.step(calls, next)
	}
}

// step passes one input to the state machine and executes the effects. ctx bounds their
// calls.
func (l *eventLoop) step(ctx context.Context, next queuedInput) {
	if next.answerTo != nil {
		l.effects.pendingRequests[next.requestID] = next.answerTo
	}
	now := l.clock.Now()
	if _, isTick := next.input.(message.Tick); isTick {
		// Refresh makes a system call: too expensive for every input, cheap ten times a
		// second.
		now = l.clock.Refresh()
	}
	for _, effect := range l.core.Step(now, next.input) {
		l.effects.execute(ctx, effect, now)
	}
}
