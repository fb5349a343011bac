package server

import (
	"log/slog"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/settings"
)

// publicHandler handles the HTTP requests of users, workers and health checks.
type publicHandler struct {
	settings  *settings.Settings
	log       *slog.Logger
	queue     *inputQueue
	clock     timeSource
	grants    *grantChecker
	malformed *malformedCounter
	// openConnections returns the number of public connections that are open. Run sets it.
	openConnections func() int32
	lastRequestID   atomic.Uint64
	// loggedConnectionShortage is set with the first warning, so that it is logged once.
	loggedConnectionShortage atomic.Bool
}

// inputFunc returns the state machine's input for a request with the given ID.
type inputFunc func(requestID uint64) message.Input

// handle routes a request by its path and answers it.
func (h *publicHandler) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/ready":
		h.forwardMethod(ctx, fasthttp.MethodGet, h.queue.urgent, func(requestID uint64) message.Input {
			return message.CheckReadiness{RequestID: requestID}
		})
	case "/duties":
		h.forwardMethod(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.ListRoles{RequestID: requestID}
		})
	case "/work":
		h.forwardMethod(ctx, fasthttp.MethodPost, h.queue.regular, func(requestID uint64) message.Input {
			// fasthttp reuses the body's memory once the request is answered.
			body := append([]byte(nil), ctx.PostBody()...)
			return message.Submit{RequestID: requestID, Body: body}
		})
	case "/v1/report":
		h.handleHeartbeat(ctx)
	default:
		h.handleJob(ctx, path)
	}
}

// handleJob handles the requests about one job.
func (h *publicHandler) handleJob(ctx *fasthttp.RequestCtx, path string) {
	if id, found := strings.CutPrefix(path, "/why/"); found {
		h.forwardMethod(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.Explain{RequestID: requestID, ID: id}
		})
		return
	}
	rest, found := strings.CutPrefix(path, "/work/")
	if !found {
		respondNotFound(ctx)
		return
	}
	id, cancel := strings.CutSuffix(rest, "/cancel")
	switch {
	case cancel:
		h.forwardMethod(ctx, fasthttp.MethodPost, h.queue.regular, func(requestID uint64) message.Input {
			return message.Cancel{RequestID: requestID, ID: id}
		})
	case strings.Contains(id, "/"):
		respondNotFound(ctx)
	default:
		h.forwardMethod(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.GetStatus{RequestID: requestID, ID: id}
		})
	}
}

// handleHeartbeat handles a worker's heartbeat.
func (h *publicHandler) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		respondMethodNotAllowed(ctx, fasthttp.MethodPost)
		return
	}
	heartbeat, err := api.ParseHeartbeat(ctx.PostBody())
	if err != nil {
		h.malformed.report(senderWorker, err)
		respond(ctx, message.Answer{Status: fasthttp.StatusBadRequest, Body: api.Error{Error: err.Error()}})
		return
	}
	h.closeAboveKeepAliveLimit(ctx)
	h.forward(ctx, h.queue.regular, func(requestID uint64) message.Input {
		return message.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat}
	})
}

// closeAboveKeepAliveLimit closes a worker's connection after its answer if more connections
// than KeepAliveLimit are open. Without this, workers could occupy all sockets, and neither
// users nor further workers could connect. The worker connects again within seconds.
func (h *publicHandler) closeAboveKeepAliveLimit(ctx *fasthttp.RequestCtx) {
	if int(h.openConnections()) <= h.settings.Sockets.KeepAliveLimit {
		return
	}
	ctx.SetConnectionClose()
	if h.loggedConnectionShortage.Swap(true) {
		return
	}
	h.log.Warn("too many open connections: workers' connections are closed after each heartbeat",
		logkey.OpenConnections, h.openConnections(),
		logkey.MaxConnections, h.settings.Deployment.Process.MaxConnections)
}

// forwardMethod forwards a request with the given method, and rejects any other.
func (h *publicHandler) forwardMethod(ctx *fasthttp.RequestCtx, method string, queue chan<- queuedInput, newInput inputFunc) {
	if string(ctx.Method()) != method {
		respondMethodNotAllowed(ctx, method)
		return
	}
	h.forward(ctx, queue, newInput)
}

// forward passes a request to the state machine through one of the queue's channels, waits
// for the answer and writes it. If the channel is full, it rejects the request with 429.
func (h *publicHandler) forward(ctx *fasthttp.RequestCtx, queue chan<- queuedInput, newInput inputFunc) {
	requestID := h.lastRequestID.Add(1)
	answer := make(chan decision, 1)
	select {
	case queue <- queuedInput{input: newInput(requestID), requestID: requestID, answerTo: answer}:
		respond(ctx, h.answerOrUnavailable(<-answer))
	default:
		respond(ctx, message.Answer{
			Status:      fasthttp.StatusTooManyRequests,
			Body:        api.Error{Error: "too many requests"},
			RetryAfterS: overloadRetryAfterS,
		})
	}
}

// answerOrUnavailable returns the answer that the state machine decided on, or a 503 if the
// decision is stale or the grant for the commands in it is no longer valid.
func (h *publicHandler) answerOrUnavailable(decided decision) message.Answer {
	if isStale(decided.decidedAt, h.clock.Now()) {
		return unavailableAnswer(errStaleDecision)
	}
	answer := decided.answer
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return answer
	}
	// There are hundreds of such answers a second, so the check uses Now, which may miss
	// a suspension of the host until the next tick. That is safe here: a worker drops an
	// answer that comes late.
	if err := h.grants.checkAt(h.clock.Now(), order.Grant(), leadership.ActionCommand); err != nil {
		return unavailableAnswer(err)
	}
	answer.Body = order.Body()
	return answer
}
