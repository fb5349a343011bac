package server

import (
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/valyala/fasthttp"

	"spurmoor/internal/api"
	"spurmoor/internal/jsonhttp"
	"spurmoor/internal/message"
)

// Values of the Retry-After header, in seconds.
const (
	overloadRetryAfterS    = 2 // the queue is full
	unavailableRetryAfterS = 1 // the decision is stale, or its grant is no longer valid
)

// respond writes an answer as JSON.
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

// unavailableAnswer returns a 503 answer with the reason as its text.
func unavailableAnswer(reason error) message.Answer {
	return message.Answer{
		Status:      fasthttp.StatusServiceUnavailable,
		Body:        api.Error{Error: reason.Error()},
		RetryAfterS: unavailableRetryAfterS,
	}
}

// respondMethodNotAllowed answers 405 and names the allowed method.
func respondMethodNotAllowed(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	respond(ctx, message.Answer{Status: fasthttp.StatusMethodNotAllowed, Body: api.Error{Error: "wrong method"}})
}

// respondNotFound answers 404 to a request for an unknown path.
func respondNotFound(ctx *fasthttp.RequestCtx) {
	respond(ctx, message.Answer{Status: fasthttp.StatusNotFound, Body: api.Error{Error: "no such path"}})
}
