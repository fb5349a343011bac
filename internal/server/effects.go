package server

import (
	"context"
	"log/slog"

	"spurmoor/internal/cloud"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/store"
)

// effectExecutor executes the effects that the state machine returns. Each request runs in a
// goroutine of its own, which adds the reply to the queue. Nothing waits for these goroutines
// when the process stops, see awaitStop.
type effectExecutor struct {
	log     *slog.Logger
	queue   *inputQueue
	store   *store.Client
	cloud   *cloud.Client
	workers *workerClient
	peers   *peerClient
	// pendingRequests maps the ID of each request that is not answered yet to the channel
	// on which its handler waits. Only the event loop uses it.
	pendingRequests map[uint64]chan<- decision
	// stopped is closed when the state machine has resigned all its roles.
	stopped chan struct{}
}

// execute executes an effect that was decided at the given time. It starts a request without
// waiting for the reply.
func (e *effectExecutor) execute(ctx context.Context, effect message.Effect, decidedAt micros.Micros) {
	switch effect := effect.(type) {
	case message.Answer:
		e.deliverAnswer(effect, decidedAt)
	case message.StoreCall:
		go func() { e.queue.enqueueUrgent(e.store.Do(ctx, effect)) }()
	case message.CloudCall:
		go func() { e.queue.enqueue(e.cloud.Do(ctx, effect)) }()
	case message.SendCommands:
		go func() { e.queue.enqueue(e.workers.send(effect, decidedAt)) }()
	case message.Stopped:
		close(e.stopped)
	case message.Broadcast:
		e.peers.broadcast(effect.Heartbeat)
	case message.Log:
		e.log.Log(ctx, effect.Level, effect.Message, effect.Args...)
	}
}

// deliverAnswer sends an answer to the handler that waits for it. It ignores an answer
// whose request is unknown or already answered.
func (e *effectExecutor) deliverAnswer(answer message.Answer, decidedAt micros.Micros) {
	answerTo := e.pendingRequests[answer.RequestID]
	if answerTo == nil {
		return
	}
	delete(e.pendingRequests, answer.RequestID)
	answerTo <- decision{answer: answer, decidedAt: decidedAt}
}
