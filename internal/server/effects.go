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
func (x *effectExecutor) execute(ctx context.Context, effect message.Effect, decidedAt micros.Micros) {
	switch effect := effect.(type) {
	case message.Answer:
		x.answer(effect, decidedAt)
	case message.StoreCall:
		go func() { x.queue.enqueueUrgent(x.store.Do(ctx, effect)) }()
	case message.CloudCall:
		go func() { x.queue.enqueue(x.cloud.Do(ctx, effect)) }()
	case message.SendCommands:
		go func() { x.queue.enqueue(x.workers.send(effect, decidedAt)) }()
	case message.Stopped:
		close(x.stopped)
	case message.Broadcast:
		x.peers.broadcast(effect.Heartbeat)
	case message.Log:
		x.log.Log(ctx, effect.Level, effect.Message, effect.Args...)
	}
}

// answer hands an answer to the handler that waits for it.
func (x *effectExecutor) answer(answer message.Answer, decidedAt micros.Micros) {
	answerTo := x.pendingRequests[answer.RequestID]
	if answerTo == nil {
		return
	}
	delete(x.pendingRequests, answer.RequestID)
	answerTo <- decision{answer: answer, decidedAt: decidedAt}
}
