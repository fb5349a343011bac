package main

import (
	"net"
	"sync"
	"time"
)

// link carries the connections from one controller to another. While it is cut it holds back
// what is sent, and new connections hang; then it delivers in order.
type link struct {
	to  string
	at  string
	mu  sync.Mutex
	cut bool
}

func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{to: to, at: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn)
		}
	}()
	return l, nil
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
}

func (l *link) wait() {
	for {
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *link) carry(from net.Conn) {
	defer from.Close()
	l.wait()
	to, err := net.DialTimeout("tcp4", l.to, 2*time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	done := make(chan struct{}, 2)
	pipe := func(a, b net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := a.Read(buffer)
			l.wait()
			if n > 0 {
				if _, err := b.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(from, to)
	go pipe(to, from)
	<-done
}
