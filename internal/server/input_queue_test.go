package server

import (
	"testing"
	"time"

	"spurmoor/internal/message"
)

// TestUrgentFirst guards against a lease's renewal that waits behind heartbeats.
func TestUrgentFirst(t *testing.T) {
	queue := newInputQueue(1)
	queue.enqueue(message.WorkerHeartbeat{})
	for range 100 { // a select takes either of two channels, at random
		queue.enqueueUrgent(&message.StoreReply{CallID: 7})
		next, ok := queue.next(t.Context(), nil)
		if reply, isReply := next.event.(*message.StoreReply); !ok || !isReply || reply.CallID != 7 {
			t.Fatalf("taken first is %+v", next.event)
		}
	}
}

// TestQueueClosed guards against goroutines that wait for room for ever once the event
// loop has ended.
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
		t.Error("an input waits for a loop that has ended")
	}
}
