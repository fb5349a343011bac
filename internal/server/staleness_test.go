package server

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// TestPaused guards against what a controller decided before it was paused taking effect
// after: no answer and no command leaves it then.
func TestPaused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  micros.Micros
		status int
		stale  bool
	}{
		{"in time", staleAfter, 200, false},
		{"too late", staleAfter + 1, 503, true},
	} {
		t.Run(tc.name+", an answer", func(t *testing.T) {
			if got := answerStatusAfter(t, tc.after); got != tc.status {
				t.Errorf("an answer decided %d us ago leaves as %d, not %d", tc.after, got, tc.status)
			}
		})
		t.Run(tc.name+", a command", func(t *testing.T) {
			reply, reached := sendCommandAfter(t, tc.after)
			if reached == tc.stale {
				t.Errorf("a command decided %d us ago reaches its worker: %t", tc.after, reached)
			}
			if reply.Unsent != tc.stale {
				t.Errorf("a command decided %d us ago counts as unsent: %t", tc.after, reply.Unsent)
			}
		})
	}
}

// answerStatusAfter gives the status of an answer that was decided a time ago.
func answerStatusAfter(t *testing.T, after micros.Micros) int {
	t.Helper()
	server, _ := newTestServer(t, &fakeClock{at: after})
	effects := server.loop.effects
	go func() {
		asked := <-server.queue.regular
		effects.pendingRequests[asked.requestID] = asked.answerTo
		answer := message.Answer{RequestID: asked.requestID, Status: 200, Body: api.JobStatus{}}
		effects.execute(t.Context(), answer, 0)
	}()
	ctx := &fasthttp.RequestCtx{}
	server.public.ask(ctx, server.queue.regular, func(requestID uint64) message.Input {
		return message.GetStatus{RequestID: requestID}
	})
	return ctx.Response.StatusCode()
}

// sendCommandAfter sends a command that was decided a time ago, and tells whether it
// reached its worker.
func sendCommandAfter(t *testing.T, after micros.Micros) (reply message.CommandReply, reached bool) {
	t.Helper()
	server, _ := newTestServer(t, &fakeClock{at: after})
	worker := listenOn(t, "127.0.0.1:0")
	connections := make(chan struct{}, 2)
	go acceptAndClose(worker, connections)
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.Command)
	command := message.SendCommands{
		Machine:     "n-1",
		Addr:        worker.Addr().String(),
		StartsTasks: true,
		Body:        leadership.NewOrder(grant, api.CommandRequest{}),
	}
	server.loop.effects.execute(t.Context(), command, 0)
	reply, ok := (<-server.queue.regular).event.(message.CommandReply)
	if !ok {
		t.Fatal("a command is not answered by its reply")
	}
	select {
	case <-connections:
		return reply, true
	default:
		return reply, false
	}
}

// pausedClock is the clock of a process that is paused after its first reading.
type pausedClock struct{ readings int }

func (c *pausedClock) Now() micros.Micros {
	c.readings++
	if c.readings == 1 {
		return 0
	}
	return staleAfter + 1
}

func (c *pausedClock) Refresh() micros.Micros { return c.Now() }

// TestPausedWhileConnecting guards against a command that leaves after a pause between its
// first check and its connection: not a byte of it may.
func TestPausedWhileConnecting(t *testing.T) {
	server, _ := newTestServer(t, &pausedClock{})
	worker := listenOn(t, "127.0.0.1:0")
	received := make(chan int, 1)
	go func() {
		conn, err := worker.Accept()
		if err != nil {
			return
		}
		size, _ := conn.Read(make([]byte, 4096))
		received <- size
		_ = conn.Close()
	}()
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.Command)
	command := message.SendCommands{
		Addr: worker.Addr().String(),
		Body: leadership.NewOrder(grant, api.CommandRequest{}),
	}
	reply := server.loop.effects.workers.send(command, 0)
	if size := <-received; size != 0 || !reply.Unsent {
		t.Errorf("%d bytes arrived, and it counts as unsent: %t", size, reply.Unsent)
	}
}

// acceptAndClose closes each connection at once, and reports it before.
func acceptAndClose(listener net.Listener, connections chan<- struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		connections <- struct{}{}
		_ = conn.Close()
	}
}
