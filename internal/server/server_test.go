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

	"spurmoor/internal/clock"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// fakeClock returns the time that a test sets.
type fakeClock struct{ at micros.Micros }

func (c *fakeClock) Now() micros.Micros { return c.at }

func (c *fakeClock) Refresh() micros.Micros { return c.at }

// freeAddr returns an address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener := listenOn(t, "127.0.0.1:0")
	addr := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return addr
}

// newTestServer returns a server whose key-value store and cloud are unreachable, and its
// settings.
func newTestServer(t *testing.T, monotonicClock timeSource) (*Server, *settings.Settings) {
	t.Helper()
	unreachable := freeAddr(t)
	raw := fmt.Sprintf(`{"node_name":"nodo-0","site":"a","public_addr":%q,"internal_addr":%q,"endpoints":{"cloud":%q,"state":%q},
		"facts":{"nodes":1,"zones":["a"],"teams":[{"name":"x"}],
		"workers":{"report_s":3,"lease_s":18,"gang_wait_s":45,"gang_peer_s":4,"cancel_s":48},
		"state":{"rps":150,"write_rps":60,"value_kb":16,"txn_ops":48},"cloud":{"rps":2,"list_lag_s":10},
		"machine_limits":{"cores":1,"mem_mb":98,"max_connections":120}}}`,
		freeAddr(t), freeAddr(t), unreachable, unreachable)
	set, err := settings.Parse([]byte(raw), settings.DefaultOperators())
	if err != nil {
		t.Fatal(err)
	}
	server, err := newServer(set, slog.New(slog.DiscardHandler), nil, monotonicClock)
	if err != nil {
		t.Fatal(err)
	}
	return server, set
}

// startServer runs a server in the background until the test ends.
func startServer(t *testing.T, server *Server) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// dial connects to a server. It retries, since the server may not listen yet.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.DialContext(t.Context(), "tcp4", addr)
	for tries := 0; err != nil && tries < 500; tries++ {
		conn, err = dialer.DialContext(t.Context(), "tcp4", addr)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// httpReply is what a test checks of an HTTP reply.
type httpReply struct {
	status    int
	body      string
	connClose bool // the server closes the connection after the reply
}

// sendRequest sends a request over a new connection, and returns the connection and the reply.
func sendRequest(t *testing.T, addr, request string) (net.Conn, httpReply) {
	t.Helper()
	conn := dial(t, addr)
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return conn, httpReply{response.StatusCode, string(body), response.Close}
}

// TestMoreWorkersThanSockets guards against workers that occupy all public connections, so
// that further workers and health checks can't connect. Above KeepAliveLimit the server
// closes a worker's connection after its answer, so every request is answered.
func TestMoreWorkersThanSockets(t *testing.T) {
	server, set := newTestServer(t, clock.New())
	startServer(t, server)
	kept := 0
	for worker := range 3 * set.Sockets.Public {
		body := fmt.Sprintf(`{"Maquina":"n-%06d","Endpoint":"10.1.0.1:9000","Tipo":"g8","Zona":"a","Prestadas":false,`+
			`"Jornada":1,"Folio":1,"Baston":0,"AvisoS":null,"Tareas":[]}`, worker)
		request := fmt.Sprintf("POST /v1/report HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		conn, answer := sendRequest(t, set.PublicAddr, request)
		if !strings.Contains(answer.body, "the state service has not been read yet") {
			t.Fatalf("worker %d: got status %d, body %s, want that the state service is unread", worker, answer.status, answer.body)
		}
		if answer.connClose {
			_ = conn.Close()
			continue
		}
		kept++
		defer func() { _ = conn.Close() }()
	}
	if kept < set.Sockets.KeepAliveLimit/2 || kept > set.Sockets.KeepAliveLimit+1 {
		t.Errorf("got %d worker connections kept open, want from half of %d to one above it", kept, set.Sockets.KeepAliveLimit)
	}
	conn, answer := sendRequest(t, set.PublicAddr, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	defer func() { _ = conn.Close() }()
	if answer.status != 503 || answer.connClose {
		t.Errorf("health check: got status %d, connection closed %t, want 503 and false", answer.status, answer.connClose)
	}
}
