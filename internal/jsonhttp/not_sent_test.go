package jsonhttp

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// acceptOnce answers one request on each connection, and reports how many bytes it read.
func acceptOnce(listener net.Listener, received chan<- int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		size, _ := conn.Read(make([]byte, 4096))
		received <- size
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		_ = conn.Close()
	}
}

// TestNotSent guards against a request that is sent although BeforeSend refused it once it
// had its connection. Not even its headers may be sent.
func TestNotSent(t *testing.T) {
	listener := listen(t)
	received := make(chan int, 2)
	go acceptOnce(listener, received)
	host := &fasthttp.HostClient{Addr: listener.Addr().String(), MaxIdemponentCallAttempts: 1}
	refusal := errors.New("expired")
	for _, tc := range []struct {
		refusal error
		sent    bool
	}{
		{refusal: refusal, sent: false},
		{refusal: nil, sent: true},
	} {
		checks := 0
		request := Request{
			URI:     "/txn",
			Body:    map[string]int{"a": 1},
			Timeout: 5 * time.Second,
			BeforeSend: func() error {
				checks++
				return tc.refusal
			},
		}
		err := Do(host, request, func(int, []byte) error { return nil })
		var notSent *NotSentError
		if errors.As(err, &notSent) == tc.sent || tc.refusal != nil && !errors.Is(err, refusal) {
			t.Errorf("BeforeSend returns %v: got error %v, want a NotSentError that wraps it: %t", tc.refusal, err, !tc.sent)
		}
		if size := <-received; size > 0 != tc.sent {
			t.Errorf("BeforeSend returns %v: got %d bytes at the server, want any: %t", tc.refusal, size, tc.sent)
		}
		if checks != 1 {
			t.Errorf("got %d calls of BeforeSend, want 1", checks)
		}
	}
}
