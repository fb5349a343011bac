// Package coordination holds what a controller needs to act beside others: the watch
// cache that follows the key-value store, transactions and their budget, the lease and
// the roles that depend on it, and what is known of the other controllers.
//
// Like all packages of the state machine it is pure: it does no input or output, reads
// no clock and starts no goroutine.
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

// Environment is what all components of one controller share: its settings, the time of
// the step, and the effects that the step has gathered so far.
type Environment struct {
	Settings    parameters
	random      *rand.Rand
	Incarnation leadership.Incarnation // of this controller, among all that ran under the node's name
	Now         micros.Micros
	Effects     []message.Effect

	NextCall   uint64                               // number of the last call to the store or the cloud
	StoreCalls map[uint64]func(*message.StoreReply) // by call, what handles its reply
	CloudCalls map[uint64]func(*message.CloudReply)
}

// NewEnvironment makes an environment. All random draws come from random.
func NewEnvironment(set *settings.Settings, incarnation leadership.Incarnation, random *rand.Rand) *Environment {
	return &Environment{
		Settings:    parameters{Settings: set},
		random:      random,
		Incarnation: incarnation,
		StoreCalls:  map[uint64]func(*message.StoreReply){},
		CloudCalls:  map[uint64]func(*message.CloudReply){},
	}
}

// Emit adds an effect to the step's.
func (e *Environment) Emit(effect message.Effect) { e.Effects = append(e.Effects, effect) }

// LogDebug logs a detail.
func (e *Environment) LogDebug(msg string, args ...any) { e.log(slog.LevelDebug, msg, args) }

// LogInfo logs an event.
func (e *Environment) LogInfo(msg string, args ...any) { e.log(slog.LevelInfo, msg, args) }

// LogWarn logs what operators should know of.
func (e *Environment) LogWarn(msg string, args ...any) { e.log(slog.LevelWarn, msg, args) }

// LogError logs a fault of this program or of what it reads.
func (e *Environment) LogError(msg string, args ...any) { e.log(slog.LevelError, msg, args) }

func (e *Environment) log(level slog.Level, msg string, args []any) {
	e.Emit(message.Log{Level: level, Message: msg, Args: args})
}

// CallStore sends a request to the key-value store and gives its reply to handle, in a
// later step.
func (e *Environment) CallStore(call message.StoreCall, handle func(*message.StoreReply)) {
	e.NextCall++
	call.CallID = e.NextCall
	e.StoreCalls[call.CallID] = handle
	e.Emit(call)
}

// CallCloud sends a request to the cloud and gives its reply to handle, in a later step.
func (e *Environment) CallCloud(call message.CloudCall, handle func(*message.CloudReply)) {
	e.NextCall++
	call.CallID = e.NextCall
	e.CloudCalls[call.CallID] = handle
	e.Emit(call)
}

// Jitter returns a random span between 0.75 and 1.25 times the given one, so that
// controllers that fail together do not retry together.
func (e *Environment) Jitter(span micros.Micros) micros.Micros {
	return span*3/4 + micros.Random(e.random, span/2+1)
}

// Answer answers a request.
func (e *Environment) Answer(requestID uint64, status int, body any) {
	e.Emit(message.Answer{RequestID: requestID, Status: status, Body: body})
}

// Refuse answers a request with an error, and with the seconds after which the client
// should try again.
func (e *Environment) Refuse(requestID uint64, status int, why string, retryAfterS int) {
	e.Emit(message.Answer{
		RequestID:   requestID,
		Status:      status,
		Body:        api.Error{Error: why},
		RetryAfterS: retryAfterS,
	})
}
