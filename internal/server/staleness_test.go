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

// TestStaleDecisions guards against a controller that is paused after a decision and then
// still sends the answer or command, although other controllers may have acted meanwhile.
func TestStaleDecisions(t *testing.T) {
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
				t.Errorf("answer decided %d us ago: got status %d, want %d", tc.after, got, tc.status)
			}
		})
		t.Run(tc.name+", a command", func(t *testing.T) {
			reply, reached := sendCommandAfter(t, tc.after)
			if reached == tc.stale {
				t.Errorf("command decided %d us ago: got %t for reaching its worker, want %t", tc.after, reached, !tc.stale)
			}
			if reply.Unsent != tc.stale {
				t.Errorf("command decided %d us ago: got Unsent %t, want %t", tc.after, reply.Unsent, tc.stale)
			}
		})
	}
}

// answerStatusAfter returns the HTTP status of an answer that was decided the given time ago.
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
	server.public.forward(ctx, server.queue.regular, func(requestID uint64) message.Input {
		return message.GetStatus{RequestID: requestID}
	})
	return ctx.Response.StatusCode()
}

// sendCommandAfter sends a command that was decided the given time ago, and reports whether
// it reached its worker.
func sendCommandAfter(t *testing.T, after micros.Micros) (reply message.CommandReply, reached bool) {
	t.Helper()
	server, _ := newTestServer(t, &fakeClock{at: after})
	worker := listenOn(t, "127.0.0.1:0")
	connections := make(chan struct{}, 2)
	go acceptAndClose(worker, connections)
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.ActionCommand)
	command := message.SendCommands{
		Machine:     "n-1",
		Addr:        worker.Addr().String(),
		StartsTasks: true,
		Body:        leadership.NewOrder(grant, api.CommandRequest{}),
	}
	server.loop.effects.execute(t.Context(), command, 0)
	reply, ok := (<-server.queue.regular).input.(message.CommandReply)
	if !ok {
		t.Fatal("got another input after the command, want a CommandReply")
	}
	select {
	case <-connections:
		return reply, true
	default:
		return reply, false
	}
}

// pausedClock is the clock of a process that is paused after it reads the clock once.
type pausedClock struct{ readings int }

func (c *pausedClock) Now() micros.Micros {
	c.readings++
	if c.readings == 1 {
		return 0
	}
	return staleAfter + 1
}

func (c *pausedClock) Refresh() micros.Micros { return c.Now() }

// TestStaleCommandAfterConnecting guards against a command that is sent although the process
// was paused between the first check and the connection. No byte of it may be sent.
func TestStaleCommandAfterConnecting(t *testing.T) {
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
	grant := leadership.SharedGrant(leadership.ForProbe, leadership.ActionCommand)
	command := message.SendCommands{
		Addr: worker.Addr().String(),
		Body: leadership.NewOrder(grant, api.CommandRequest{}),
	}
	reply := server.loop.effects.workers.send(command, 0)
	if size := <-received; size != 0 || !reply.Unsent {
		t.Errorf("got %d bytes at the worker and Unsent %t, want 0 and true", size, reply.Unsent)
	}
}

// acceptAndClose accepts connections. It reports each to connections and then closes it.
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
