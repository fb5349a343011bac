package server

import (
	"github.com/valyala/fasthttp"

	"spurmoor/internal/message"
	"spurmoor/internal/peer"
)

// internalHandler takes the heartbeats of the other controllers.
type internalHandler struct {
	queue     *inputQueue
	malformed *malformedCounter
}

// handle takes a heartbeat. It drops one that the queue has no room for: the next comes
// within a second.
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
	case h.queue.regular <- input{event: message.PeerHeartbeat{Heartbeat: heartbeat}}:
	default:
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
