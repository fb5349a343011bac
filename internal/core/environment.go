package core

import (
	"log/slog"
	"math/rand/v2"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// environment is what all components of one controller share: its settings, the time of
// the step, and what the step gathers to be carried out.
type environment struct {
	settings    parameters
	random      *rand.Rand
	incarnation uint64 // this process among all that ever bore the node's name
	now         micros.Micros
	effects     []Effect

	nextCall   uint64
	storeCalls map[uint64]func(*StoreReply) // by call, what awaits its answer
	cloudCalls map[uint64]func(*CloudReply)
}

func newEnvironment(set *settings.Settings, incarnation uint64, random *rand.Rand) *environment {
	return &environment{
		settings: parameters{Settings: set}, random: random, incarnation: incarnation,
		storeCalls: map[uint64]func(*StoreReply){}, cloudCalls: map[uint64]func(*CloudReply){},
	}
}

func (env *environment) emit(e Effect) { env.effects = append(env.effects, e) }

func (env *environment) log(level slog.Level, msg string, args ...any) {
	env.emit(Log{Level: level, Message: msg, Args: args})
}

func (env *environment) logDebug(msg string, args ...any) { env.log(slog.LevelDebug, msg, args...) }

func (env *environment) logWarn(msg string, args ...any) { env.log(slog.LevelWarn, msg, args...) }

func (env *environment) logError(msg string, args ...any) { env.log(slog.LevelError, msg, args...) }

func (env *environment) logInfo(msg string, args ...any) { env.log(slog.LevelInfo, msg, args...) }

func (env *environment) callStore(call StoreCall, f func(*StoreReply)) {
	env.nextCall++
	call.Call = env.nextCall
	env.storeCalls[call.Call] = f
	env.emit(call)
}

func (env *environment) callCloud(call CloudCall, f func(*CloudReply)) {
	env.nextCall++
	call.Call = env.nextCall
	env.cloudCalls[call.Call] = f
	env.emit(call)
}

// jitter spreads d over 0.75 to 1.25 of itself.
func (env *environment) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Random(env.random, d/2+1)
}

func (env *environment) answer(req uint64, status int, body any) {
	env.emit(Answer{RequestID: req, Status: status, Body: body})
}

// refuse answers at once that the user should come back later.
func (env *environment) refuse(req uint64, status int, why string, after int) {
	env.emit(Answer{RequestID: req, Status: status, Body: api.Error{Error: why}, RetryAfterS: after})
}
