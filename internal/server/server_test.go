package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"spurmoor/internal/message"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// alone is a controller whose state service and cloud are not there.
func alone(t *testing.T) (*Server, *settings.Settings) {
	t.Helper()
	free := func() string {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		return ln.Addr().String()
	}
	away := free() // nobody listens there any more
	raw := fmt.Sprintf(`{"node_name":"nodo-0","site":"a","public_addr":%q,"internal_addr":%q,"endpoints":{"cloud":%q,"state":%q},
		"facts":{"nodes":1,"zones":["a"],"teams":[{"name":"x"}],
		"workers":{"report_s":3,"lease_s":18,"gang_wait_s":45,"gang_peer_s":4,"cancel_s":48},
		"state":{"rps":150,"write_rps":60,"value_kb":16,"txn_ops":48},"cloud":{"rps":2,"list_lag_s":10},
		"machine_limits":{"cores":1,"mem_mb":98,"max_connections":120}}}`, free(), free(), away, away)
	set, err := settings.Parse([]byte(raw), settings.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, set
}

// run runs a server until the test ends.
func run(t *testing.T, s *Server) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// TestMoreWorkersThanSockets guards against workers that keep all connections
// for themselves: a worker's is closed once answered while the listener is
// crowded, so every one of them is answered, and health checks as well.
func TestMoreWorkersThanSockets(t *testing.T) {
	s, set := alone(t)
	run(t, s)
	ask := func(request string) (net.Conn, *http.Response) {
		conn, err := net.DialTimeout("tcp4", set.PublicAddr, 5*time.Second)
		for tries := 0; err != nil && tries < 500; tries++ { // until it listens
			conn, err = net.DialTimeout("tcp4", set.PublicAddr, 5*time.Second)
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		return conn, resp
	}
	kept := 0
	for i := range 3 * set.Sockets.Public {
		body := fmt.Sprintf(`{"Maquina":"n-%06d","Endpoint":"10.1.0.1:9000","Tipo":"g8","Zona":"a","Prestadas":false,"Jornada":1,"Folio":1,"Baston":0,"AvisoS":null,"Tareas":[]}`, i)
		conn, resp := ask(fmt.Sprintf("POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		text, _ := io.ReadAll(resp.Body)
		if !strings.Contains(string(text), "the state service has not been read yet") {
			t.Fatalf("worker %d is turned away: %d %s", i, resp.StatusCode, text)
		}
		if resp.Close {
			_ = conn.Close()
			continue
		}
		kept++
		defer func() { _ = conn.Close() }()
	}
	if kept < set.Sockets.KeepAliveLimit/2 || kept > set.Sockets.KeepAliveLimit+1 {
		t.Errorf("%d connections of workers are kept, of %d that may be", kept, set.Sockets.KeepAliveLimit)
	}
	conn, resp := ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	defer func() { _ = conn.Close() }()
	if resp.StatusCode != 503 || resp.Close {
		t.Errorf("the health check is answered %d, closed %t", resp.StatusCode, resp.Close)
	}
}

// TestStandsStill guards against what a controller decided before it stood still
// taking effect after: no answer and no command leaves it then.
func TestStandsStill(t *testing.T) {
	s, _ := alone(t)
	var now micros.Micros
	s.now = func() micros.Micros { return now }
	s.fresh = s.now
	worker, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = worker.Close() }()
	reached := make(chan struct{}, 2)
	go func() {
		for {
			conn, err := worker.Accept()
			if err != nil {
				return
			}
			reached <- struct{}{}
			_ = conn.Close()
		}
	}()
	for _, c := range []struct {
		after  micros.Micros
		status int
		unsent bool
	}{{staleAfter, 200, false}, {staleAfter + 1, 503, true}} {
		now = 0
		in := make(chan input, 1)
		go func() {
			v := <-in
			s.waiting[v.req] = v.to
			s.effect(message.Answer{RequestID: v.req, Status: 200, Body: api.JobStatus{}}, 0)
		}()
		ctx := &fasthttp.RequestCtx{}
		now = c.after
		s.ask(ctx, in, func(req uint64) message.Input { return message.GetStatus{RequestID: req} })
		if got := ctx.Response.StatusCode(); got != c.status {
			t.Errorf("an answer decided %d us ago leaves as %d, not %d", c.after, got, c.status)
		}
		body := leadership.NewOrder(leadership.SharedGrant(leadership.ForProbe, leadership.Command), api.CommandRequest{})
		s.push(message.SendCommands{Machine: "n-1", Addr: worker.Addr().String(), Starts: true, Body: body}, 0)
		out := (<-s.inputs).in.(message.CommandReply)
		select {
		case <-reached:
			if c.unsent {
				t.Error("a command decided before standing still reached its worker")
			}
		default:
			if !c.unsent {
				t.Error("a fresh command did not reach its worker")
			}
		}
		if out.Unsent != c.unsent {
			t.Errorf("a command decided %d us ago counts as unsent: %t", c.after, out.Unsent)
		}
	}
}
