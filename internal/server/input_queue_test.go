package server

import (
	"testing"
	"time"

	"spurmoor/internal/message"
)

// TestUrgentFirst guards against the reply to a lease renewal waiting behind heartbeats.
func TestUrgentFirst(t *testing.T) {
	queue := newInputQueue(1)
	queue.enqueue(message.WorkerHeartbeat{})
	for range 100 { // a select over both channels would choose at random
		queue.enqueueUrgent(&message.StoreReply{CallID: 7})
		next, ok := queue.next(t.Context(), nil)
		if reply, isReply := next.input.(*message.StoreReply); !ok || !isReply || reply.CallID != 7 {
			t.Fatalf("got %+v first, want the urgent reply", next.input)
		}
	}
}

// TestQueueClosed guards against goroutines that block on a full queue forever after the
// event loop has ended.
func TestQueueClosed(t *testing.T) {
	queue := newInputQueue(0)
	close(queue.closed)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		queue.enqueue(message.Tick{})
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Error("enqueue blocks after the event loop has ended, want it to return")
	}
}
