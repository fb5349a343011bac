package coordination

import (
	"math/rand/v2"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// testStart is the time at which each test starts.
const testStart = 1000 * micros.Second

// newTestEnvironment returns the environment of the first of three controllers.
func newTestEnvironment(t *testing.T) *Environment {
	t.Helper()
	config := &settings.Settings{Operators: settings.DefaultOperators(), Nodes: []string{"ctl-a", "ctl-b", "ctl-c"}}
	config.Node, config.Operators.Parts = "ctl-a", 3
	workers := &config.Deployment.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = 3, 20, 45
	config.Deployment.Store = settings.State{RPS: 200, WriteRPS: 20, ValueKB: 8, MaxTransactionOps: 12}
	env := NewEnvironment(config, 7, rand.New(rand.NewPCG(1, 1)))
	env.Now = testStart
	return env
}

// popStoreCalls returns the emitted calls to the store and clears all effects.
func popStoreCalls(env *Environment) []message.StoreCall {
	var calls []message.StoreCall
	for _, effect := range env.Effects {
		if call, ok := effect.(message.StoreCall); ok {
			calls = append(calls, call)
		}
	}
	env.Effects = nil
	return calls
}

// popStoreCall returns the only emitted call to the store and clears all effects. The test
// fails if there is not exactly one call.
func popStoreCall(t *testing.T, env *Environment) message.StoreCall {
	t.Helper()
	calls := popStoreCalls(env)
	if len(calls) != 1 {
		t.Fatalf("got %d calls to the store, want 1", len(calls))
	}
	return calls[0]
}

// replyTo delivers the reply to a call.
func replyTo(env *Environment, call message.StoreCall, reply message.StoreReply) {
	handle := env.StoreReplyHandlers[call.CallID]
	delete(env.StoreReplyHandlers, call.CallID)
	reply.CallID = call.CallID
	handle(&reply)
}

// recordingSink is a sink that records the keys, and counts the calls of ReplaceAll and
// Synced.
type recordingSink struct {
	replaceAllCalls int
	keys            map[string]api.Revision // versions, by key
	syncedCalls     int
}

func (s *recordingSink) ReplaceAll(pairs []api.KeyValue) {
	s.replaceAllCalls++
	s.keys = map[string]api.Revision{}
	for _, pair := range pairs {
		s.keys[pair.Key] = pair.Version
	}
}

func (s *recordingSink) ApplyPut(key string, _ []byte, version api.Revision) { s.keys[key] = version }

func (s *recordingSink) ApplyDelete(key string, _ api.Revision) { delete(s.keys, key) }

func (s *recordingSink) Synced(api.Revision, int) { s.syncedCalls++ }

// newSyncedCache returns a synced watch cache at revision 10, and its sink.
func newSyncedCache(env *Environment) (*WatchCache, *recordingSink) {
	cache, sink := NewWatchCache(env), &recordingSink{keys: map[string]api.Revision{}}
	cache.Sink, cache.Synced, cache.Revision = sink, true, 10
	return cache, sink
}
