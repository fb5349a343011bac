// Package coordination holds what a controller needs to act beside others: the watch
// cache that follows the key-value store, transactions and their budget, the lease and
// the roles that hang on it, and what is known of the other controllers.
//
// Like all packages of the state machine it is pure: it does no input or output, reads
// no clock and starts no goroutine.
package coordination

import (
	"log/slog"
	"math/rand/v2"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Environment is what all components of one controller share: its settings, the time of
// the step, and what the step gathers to be carried out.
type Environment struct {
	Settings    parameters
	random      *rand.Rand
	Incarnation uint64 // this process among all that ever bore the node's name
	Now         micros.Micros
	Effects     []message.Effect

	NextCall   uint64
	StoreCalls map[uint64]func(*message.StoreReply) // by call, what awaits its answer
	CloudCalls map[uint64]func(*message.CloudReply)
}

// NewEnvironment makes an environment.
func NewEnvironment(set *settings.Settings, incarnation uint64, random *rand.Rand) *Environment {
	return &Environment{
		Settings: parameters{Settings: set}, random: random, Incarnation: incarnation,
		StoreCalls: map[uint64]func(*message.StoreReply){}, CloudCalls: map[uint64]func(*message.CloudReply){},
	}
}

// Emit gathers an effect of the step.
func (env *Environment) Emit(e message.Effect) { env.Effects = append(env.Effects, e) }

func (env *Environment) log(level slog.Level, msg string, args ...any) {
	env.Emit(message.Log{Level: level, Message: msg, Args: args})
}

// LogDebug logs a detail.
func (env *Environment) LogDebug(msg string, args ...any) { env.log(slog.LevelDebug, msg, args...) }

// LogWarn logs what operators should know of.
func (env *Environment) LogWarn(msg string, args ...any) { env.log(slog.LevelWarn, msg, args...) }

// LogError logs a fault of this program or of what it reads.
func (env *Environment) LogError(msg string, args ...any) { env.log(slog.LevelError, msg, args...) }

// LogInfo logs an event.
func (env *Environment) LogInfo(msg string, args ...any) { env.log(slog.LevelInfo, msg, args...) }

// CallStore sends a request to the key-value store; f gets its reply.
func (env *Environment) CallStore(call message.StoreCall, f func(*message.StoreReply)) {
	env.NextCall++
	call.Call = env.NextCall
	env.StoreCalls[call.Call] = f
	env.Emit(call)
}

// CallCloud sends a request to the cloud; f gets its reply.
func (env *Environment) CallCloud(call message.CloudCall, f func(*message.CloudReply)) {
	env.NextCall++
	call.Call = env.NextCall
	env.CloudCalls[call.Call] = f
	env.Emit(call)
}

// Jitter spreads d over 0.75 to 1.25 of itself.
func (env *Environment) Jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Random(env.random, d/2+1)
}

// Answer answers a request.
func (env *Environment) Answer(req uint64, status int, body any) {
	env.Emit(message.Answer{RequestID: req, Status: status, Body: body})
}

// Refuse answers at once that the user should come back later.
func (env *Environment) Refuse(req uint64, status int, why string, after int) {
	env.Emit(message.Answer{RequestID: req, Status: status, Body: api.Error{Error: why}, RetryAfterS: after})
}
