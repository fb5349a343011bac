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

// publicHandler answers users, workers and health checks.
type publicHandler struct {
	settings  *settings.Settings
	log       *slog.Logger
	queue     *inputQueue
	clock     timeSource
	gate      *orderGate
	malformed *malformedCounter
	// openConnections counts the public connections that are open now.
	openConnections func() int32
	lastRequestID   atomic.Uint64
	// loggedCrowding is set once there were too many connections to keep them all.
	loggedCrowding atomic.Bool
}

// newEvent makes the state machine's input of a request with an ID.
type newEvent func(requestID uint64) message.Input

// handle answers a request.
func (h *publicHandler) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/ready":
		h.serve(ctx, fasthttp.MethodGet, h.queue.urgent, func(requestID uint64) message.Input {
			return message.CheckReadiness{RequestID: requestID}
		})
	case "/duties":
		h.serve(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.ListRoles{RequestID: requestID}
		})
	case "/work":
		h.serve(ctx, fasthttp.MethodPost, h.queue.regular, func(requestID uint64) message.Input {
			// fasthttp reuses the body once the request is answered.
			body := append([]byte(nil), ctx.PostBody()...)
			return message.Submit{RequestID: requestID, Body: body}
		})
	case "/v1/report":
		h.handleHeartbeat(ctx)
	default:
		h.handleJob(ctx, path)
	}
}

// handleJob answers what is asked of one job.
func (h *publicHandler) handleJob(ctx *fasthttp.RequestCtx, path string) {
	if id, found := strings.CutPrefix(path, "/why/"); found {
		h.serve(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.Explain{RequestID: requestID, ID: id}
		})
		return
	}
	rest, found := strings.CutPrefix(path, "/work/")
	if !found {
		respondNoSuchPath(ctx)
		return
	}
	id, cancel := strings.CutSuffix(rest, "/cancel")
	switch {
	case cancel:
		h.serve(ctx, fasthttp.MethodPost, h.queue.regular, func(requestID uint64) message.Input {
			return message.Cancel{RequestID: requestID, ID: id}
		})
	case strings.Contains(id, "/"):
		respondNoSuchPath(ctx)
	default:
		h.serve(ctx, fasthttp.MethodGet, h.queue.regular, func(requestID uint64) message.Input {
			return message.GetStatus{RequestID: requestID, ID: id}
		})
	}
}

// handleHeartbeat answers a worker's heartbeat.
func (h *publicHandler) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		respondWrongMethod(ctx, fasthttp.MethodPost)
		return
	}
	heartbeat, err := api.ParseHeartbeat(ctx.PostBody())
	if err != nil {
		h.malformed.report(senderWorker, err)
		respond(ctx, message.Answer{Status: fasthttp.StatusBadRequest, Body: api.Error{Error: err.Error()}})
		return
	}
	h.closeIfCrowded(ctx)
	h.ask(ctx, h.queue.regular, func(requestID uint64) message.Input {
		return message.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat}
	})
}

// closeIfCrowded has a worker's connection closed once it is answered, if there are too
// many: a worker connects again within seconds; users must find room, and so must more
// workers than there are sockets.
func (h *publicHandler) closeIfCrowded(ctx *fasthttp.RequestCtx) {
	if int(h.openConnections()) <= h.settings.Sockets.KeepAliveLimit {
		return
	}
	ctx.SetConnectionClose()
	if h.loggedCrowding.Swap(true) {
		return
	}
	h.log.Warn("sockets are short: workers' connections last for one heartbeat",
		logkey.OpenConnections, h.openConnections(),
		logkey.MaxConnections, h.settings.Deployment.Process.MaxConnections)
}

// serve asks the state machine, if the method is the right one.
func (h *publicHandler) serve(ctx *fasthttp.RequestCtx, method string, queue chan<- input, newEvent newEvent) {
	if string(ctx.Method()) != method {
		respondWrongMethod(ctx, method)
		return
	}
	h.ask(ctx, queue, newEvent)
}

// ask hands a request to the state machine through one of the queue's channels, and waits
// for its answer. Where the channel is full it turns the client away.
func (h *publicHandler) ask(ctx *fasthttp.RequestCtx, queue chan<- input, newEvent newEvent) {
	requestID := h.lastRequestID.Add(1)
	answer := make(chan decision, 1)
	select {
	case queue <- input{event: newEvent(requestID), requestID: requestID, answerTo: answer}:
		respond(ctx, h.currentAnswer(<-answer))
	default:
		respond(ctx, message.Answer{
			Status:      fasthttp.StatusTooManyRequests,
			Body:        api.Error{Error: "too many requests"},
			RetryAfterS: overloadRetryAfterS,
		})
	}
}

// currentAnswer gives what may still be answered of what the state machine decided: nothing
// that it decided too long ago, and commands only under a grant that holds.
func (h *publicHandler) currentAnswer(decided decision) message.Answer {
	if isStale(decided.decidedAt, h.clock.Now()) {
		return unavailable(errStaleDecision)
	}
	answer := decided.answer
	order, ok := answer.Body.(leadership.Order[api.HeartbeatResponse])
	if !ok {
		return answer
	}
	// A worker drops an answer that comes late, so a clock that may miss a suspension
	// until the next tick will do for the hundreds of answers a second.
	if err := h.gate.admitAt(h.clock.Now(), order.Grant(), leadership.Command); err != nil {
		return unavailable(err)
	}
	answer.Body = order.Body()
	return answer
}
