package server

import (
	"context"
	"time"

	"spurmoor/internal/core"
	"spurmoor/internal/message"
)

// tickInterval is how often the state machine is told that time has passed.
const tickInterval = 100 * time.Millisecond

// eventLoop feeds the state machine, and is the only place that touches it.
type eventLoop struct {
	core    *core.Controller
	clock   timeSource
	queue   *inputQueue
	effects *effectExecutor
}

// run feeds inputs to the state machine and carries out its effects until ctx ends.
func (l *eventLoop) run(ctx context.Context) error {
	defer close(l.queue.closed)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	// Calls that are under way when the loop ends are not cut short.
	calls := context.WithoutCancel(ctx)
	for {
		next, ok := l.queue.next(ctx, ticker.C)
		if !ok {
			return nil
		}
		l.step(calls, next)
	}
}

// step has the state machine take one input, and carries out its effects: ctx bounds them.
func (l *eventLoop) step(ctx context.Context, next input) {
	if next.answerTo != nil {
		l.effects.pendingRequests[next.requestID] = next.answerTo
	}
	now := l.clock.Now()
	if _, isTick := next.event.(message.Tick); isTick {
		// The system call for it is dear for each input, and cheap ten times a second.
		now = l.clock.Refresh()
	}
	for _, effect := range l.core.Step(now, next.event) {
		l.effects.execute(ctx, effect, now)
	}
}
