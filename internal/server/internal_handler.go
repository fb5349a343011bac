package server

import (
	"github.com/valyala/fasthttp"

	"spurmoor/internal/message"
	"spurmoor/internal/peer"
)

// internalHandler receives the heartbeats of the other controllers.
type internalHandler struct {
	queue     *inputQueue
	malformed *malformedCounter
}

// handle adds a heartbeat to the queue. It drops the heartbeat if the queue is full, since
// the next one comes within a second.
func (h *internalHandler) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != peerPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	heartbeat, err := peer.Decode(ctx.PostBody())
	if err != nil {
		h.malformed.report(senderPeer, err)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	select {
	case h.queue.regular <- queuedInput{input: message.PeerHeartbeat{Heartbeat: heartbeat}}:
	default:
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
