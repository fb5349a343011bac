package server

import (
	"context"
	"log/slog"

	"spurmoor/internal/cloud"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/store"
)

// effectExecutor carries out the effects that the state machine asks for. Requests run in
// goroutines of their own, whose replies come back through the queue. Nothing waits for
// them when the process stops, see awaitStop.
type effectExecutor struct {
	log     *slog.Logger
	queue   *inputQueue
	store   *store.Client
	cloud   *cloud.Client
	workers *workerClient
	peers   *peerClient
	// pendingRequests are the requests that the state machine has not answered yet, by
	// their ID. Only the event loop uses it.
	pendingRequests map[uint64]chan<- decision
	// stopped is closed when the state machine has resigned all its roles.
	stopped chan struct{}
}

// execute carries out an effect that was decided at the given time, or starts to.
func (e *effectExecutor) execute(ctx context.Context, effect message.Effect, decidedAt micros.Micros) {
	switch effect := effect.(type) {
	case message.Answer:
		e.answer(effect, decidedAt)
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

// answer hands an answer to the handler that waits for it.
func (e *effectExecutor) answer(answer message.Answer, decidedAt micros.Micros) {
	answerTo := e.pendingRequests[answer.RequestID]
	if answerTo == nil {
		return
	}
	delete(e.pendingRequests, answer.RequestID)
	answerTo <- decision{answer: answer, decidedAt: decidedAt}
}
