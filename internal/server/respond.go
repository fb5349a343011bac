package server

import (
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/message"
)

// Seconds after which a client may try again.
const (
	overloadRetryAfterS    = 2 // the queue is full
	unavailableRetryAfterS = 1 // the controller was paused, or its grant ended
)

// respond writes an answer.
func respond(ctx *fasthttp.RequestCtx, answer message.Answer) {
	body, err := json.Marshal(answer.Body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(jsonhttp.ContentType)
	if answer.RetryAfterS > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(answer.RetryAfterS))
	}
	ctx.SetBody(body)
}

// unavailable is the answer to a request that this controller can't answer now.
func unavailable(reason error) message.Answer {
	return message.Answer{
		Status:      fasthttp.StatusServiceUnavailable,
		Body:        api.Error{Error: reason.Error()},
		RetryAfterS: unavailableRetryAfterS,
	}
}

// respondWrongMethod answers a request whose path takes another method.
func respondWrongMethod(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	respond(ctx, message.Answer{Status: fasthttp.StatusMethodNotAllowed, Body: api.Error{Error: "wrong method"}})
}

// respondNoSuchPath answers a request whose path is unknown.
func respondNoSuchPath(ctx *fasthttp.RequestCtx) {
	respond(ctx, message.Answer{Status: fasthttp.StatusNotFound, Body: api.Error{Error: "no such path"}})
}
