// Package coordination lets several controllers work side by side on one key-value store.
// It holds the watch cache that follows the store, transactions and the write budget, the
// lease and the roles that depend on it, and the state of the other controllers. In its
// comments "we" and "our" refer to the controller that runs the code.
//
// Like all packages of the state machine it is pure: it does no input or output, reads
// no clock and starts no goroutine. Its types are not safe for concurrent use.
package coordination

import (
	"log/slog"
	"math/rand/v2"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Environment is shared by all components of one controller. It holds the settings, the
// time of the current step and the effects that the step has emitted so far.
type Environment struct {
	Settings    parameters
	random      *rand.Rand
	Incarnation leadership.Incarnation // of this controller's process
	Now         micros.Micros
	Effects     []message.Effect

	LastCallID         uint64                               // of the last call to the store or the cloud
	StoreReplyHandlers map[uint64]func(*message.StoreReply) // by call ID, for calls without a reply yet
	CloudReplyHandlers map[uint64]func(*message.CloudReply)
}

// NewEnvironment returns an environment without effects, whose time the caller sets. All
// random numbers are drawn from random.
func NewEnvironment(config *settings.Settings, incarnation leadership.Incarnation, random *rand.Rand) *Environment {
	return &Environment{
		Settings:           parameters{Settings: config},
		random:             random,
		Incarnation:        incarnation,
		StoreReplyHandlers: map[uint64]func(*message.StoreReply){},
		CloudReplyHandlers: map[uint64]func(*message.CloudReply){},
	}
}

// Emit adds an effect to those of the current step.
func (e *Environment) Emit(effect message.Effect) { e.Effects = append(e.Effects, effect) }

// LogDebug logs a detail that helps to debug this program.
func (e *Environment) LogDebug(msg string, args ...any) { e.log(slog.LevelDebug, msg, args) }

// LogInfo logs an event.
func (e *Environment) LogInfo(msg string, args ...any) { e.log(slog.LevelInfo, msg, args) }

// LogWarn logs an event that operators should know of.
func (e *Environment) LogWarn(msg string, args ...any) { e.log(slog.LevelWarn, msg, args) }

// LogError logs a fault of this program or of its input.
func (e *Environment) LogError(msg string, args ...any) { e.log(slog.LevelError, msg, args) }

func (e *Environment) log(level slog.Level, msg string, args []any) {
	e.Emit(message.Log{Level: level, Message: msg, Args: args})
}

// CallStore sends a request to the key-value store. It assigns the call's ID. In a later
// step, handle is called with the reply.
func (e *Environment) CallStore(call message.StoreCall, handle func(*message.StoreReply)) {
	e.LastCallID++
	call.CallID = e.LastCallID
	e.StoreReplyHandlers[call.CallID] = handle
	e.Emit(call)
}

// CallCloud sends a request to the cloud. It assigns the call's ID. In a later step,
// handle is called with the reply.
func (e *Environment) CallCloud(call message.CloudCall, handle func(*message.CloudReply)) {
	e.LastCallID++
	call.CallID = e.LastCallID
	e.CloudReplyHandlers[call.CallID] = handle
	e.Emit(call)
}

// Jitter returns a random duration between 0.75 and 1.25 times span, so that controllers
// that fail at the same time do not retry at the same time.
func (e *Environment) Jitter(span micros.Micros) micros.Micros {
	return span*3/4 + micros.Random(e.random, span/2+1)
}

// Answer sends the response to an HTTP request.
func (e *Environment) Answer(requestID uint64, status int, body any) {
	e.Emit(message.Answer{RequestID: requestID, Status: status, Body: body})
}

// Refuse sends an error response to an HTTP request. The client is told to retry after
// retryAfterS seconds, or is told no time if retryAfterS is 0.
func (e *Environment) Refuse(requestID uint64, status int, reason string, retryAfterS int) {
	e.Emit(message.Answer{
		RequestID:   requestID,
		Status:      status,
		Body:        api.Error{Error: reason},
		RetryAfterS: retryAfterS,
	})
}
