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

// Limits on a heartbeat to another controller. peerTimeout covers the whole exchange and is
// shorter than peerReadTimeout, so it is the one that takes effect.
const (
	peerTimeout      = 2 * time.Second
	peerReadTimeout  = 3 * time.Second
	peerWriteTimeout = 2 * time.Second
	peerIdleTimeout  = 30 * time.Second
)

// peerPath is the HTTP path on which a controller accepts the heartbeats of the others.
const peerPath = "/peer"

// peerClient sends heartbeats to the other controllers.
type peerClient struct {
	log   *slog.Logger
	peers []*peerSender
}

// peerSender sends heartbeats to one other controller.
type peerSender struct {
	log     *slog.Logger
	http    *fasthttp.HostClient
	sending atomic.Bool // a heartbeat is in flight
}

// newPeerClient returns a client for the other controllers that the settings name.
func newPeerClient(set *settings.Settings, log *slog.Logger) *peerClient {
	client := &peerClient{log: log}
	for _, other := range set.Peers {
		client.peers = append(client.peers, &peerSender{
			log: log,
			http: &fasthttp.HostClient{
				Addr:                      other.Addr,
				MaxConns:                  set.Sockets.PerPeer,
				ReadTimeout:               peerReadTimeout,
				WriteTimeout:              peerWriteTimeout,
				MaxIdleConnDuration:       peerIdleTimeout,
				MaxIdemponentCallAttempts: 1,
			},
		})
	}
	return client
}

// broadcast sends a heartbeat to every other controller. It skips those to which the last
// heartbeat is still in flight, and does not wait for replies.
func (c *peerClient) broadcast(heartbeat *peer.Heartbeat) {
	body, err := peer.Encode(heartbeat)
	if err != nil {
		c.log.Error("encoding a heartbeat to peers failed", logkey.Error, err)
		return
	}
	for _, sender := range c.peers {
		if sender.sending.Swap(true) {
			continue
		}
		go func() {
			defer sender.sending.Store(false)
			sender.post(body)
		}()
	}
}

// post sends an encoded heartbeat and waits for the reply, which it ignores.
func (s *peerSender) post(body []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.http.Addr + peerPath)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := s.http.DoTimeout(request, response, peerTimeout); err != nil {
		s.log.Debug("peer does not answer", logkey.Peer, s.http.Addr, logkey.Error, err)
	}
}
