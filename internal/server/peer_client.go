package server

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/logkey"
	"spurmoor/internal/peer"
	"spurmoor/internal/settings"
)

// Limits of a heartbeat to another controller. peerTimeout is for all of it, and shorter
// than what its connection may take to read.
const (
	peerTimeout      = 2 * time.Second
	peerReadTimeout  = 3 * time.Second
	peerWriteTimeout = 2 * time.Second
	peerIdleTimeout  = 30 * time.Second
)

// peerPath is where a controller takes the heartbeats of the others.
const peerPath = "/peer"

// peerClient sends heartbeats to the other controllers.
type peerClient struct {
	log   *slog.Logger
	peers []*peerConnection
}

// peerConnection sends heartbeats to one other controller.
type peerConnection struct {
	log     *slog.Logger
	http    *fasthttp.HostClient
	sending atomic.Bool // one heartbeat is in flight
}

// newPeerClient makes a client of the controllers that the settings name.
func newPeerClient(set *settings.Settings, log *slog.Logger) *peerClient {
	client := &peerClient{log: log}
	for _, other := range set.Peers {
		client.peers = append(client.peers, &peerConnection{
			log: log,
			http: &fasthttp.HostClient{
				Addr:                      other.Addr,
				MaxConns:                  set.Sockets.Peers,
				ReadTimeout:               peerReadTimeout,
				WriteTimeout:              peerWriteTimeout,
				MaxIdleConnDuration:       peerIdleTimeout,
				MaxIdemponentCallAttempts: 1,
			},
		})
	}
	return client
}

// broadcast sends a heartbeat to every other controller but those to which the last one is
// still in flight. It does not wait for the replies.
func (c *peerClient) broadcast(heartbeat *peer.Heartbeat) {
	body, err := peer.Encode(heartbeat)
	if err != nil {
		c.log.Error("peer message", logkey.Error, err)
		return
	}
	for _, connection := range c.peers {
		if connection.sending.Swap(true) {
			continue
		}
		go func() {
			defer connection.sending.Store(false)
			connection.post(body)
		}()
	}
}

// post sends an encoded heartbeat and waits for the reply.
func (c *peerConnection) post(body []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Addr + peerPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, peerTimeout); err != nil {
		c.log.Debug("peer does not answer", logkey.Peer, c.http.Addr, logkey.Error, err)
	}
}
