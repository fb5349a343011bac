package coordination

import (
	"math/rand/v2"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// startOfTest is the time at which the tests begin.
const startOfTest = 1000 * micros.Second

// newTestEnvironment returns the environment of the first of three controllers.
func newTestEnvironment(t *testing.T) *Environment {
	t.Helper()
	set := &settings.Settings{Operators: settings.Defaults(), Nodes: []string{"ctl-a", "ctl-b", "ctl-c"}}
	set.Node, set.Operators.Parts = "ctl-a", 3
	workers := &set.Deployment.Workers
	workers.ReportS, workers.LeaseS, workers.CancelS = 3, 20, 45
	set.Deployment.Store = settings.State{RPS: 200, WriteRPS: 20, ValueKB: 8, MaxTransactionOps: 12}
	env := NewEnvironment(set, 7, rand.New(rand.NewPCG(1, 1)))
	env.Now = startOfTest
	return env
}

// takeStoreCalls returns the calls to the store that were sent since the last time.
func takeStoreCalls(env *Environment) []message.StoreCall {
	var calls []message.StoreCall
	for _, effect := range env.Effects {
		if call, ok := effect.(message.StoreCall); ok {
			calls = append(calls, call)
		}
	}
	env.Effects = nil
	return calls
}

// takeStoreCall returns the only call to the store that was sent since the last time.
func takeStoreCall(t *testing.T, env *Environment) message.StoreCall {
	t.Helper()
	calls := takeStoreCalls(env)
	if len(calls) != 1 {
		t.Fatalf("%d calls to the store, want 1", len(calls))
	}
	return calls[0]
}

// replyTo gives a call its reply.
func replyTo(env *Environment, call message.StoreCall, reply message.StoreReply) {
	handle := env.StoreCalls[call.CallID]
	delete(env.StoreCalls, call.CallID)
	reply.CallID = call.CallID
	handle(&reply)
}

// recordedSink records what the watch cache hands to its sink.
type recordedSink struct {
	replaced     int
	keys         map[string]api.Revision // by key, its version
	synchronized int
}

func (s *recordedSink) ReplaceAll(pairs []api.KeyValue) {
	s.replaced++
	s.keys = map[string]api.Revision{}
	for _, pair := range pairs {
		s.keys[pair.Key] = pair.Version
	}
}

func (s *recordedSink) ApplyPut(key string, _ []byte, version api.Revision) { s.keys[key] = version }

func (s *recordedSink) ApplyDelete(key string, _ api.Revision) { delete(s.keys, key) }

func (s *recordedSink) Synchronized(api.Revision, int) { s.synchronized++ }

// newSyncedCache returns a watch cache that has listed all keys, up to revision 10.
func newSyncedCache(env *Environment) (*WatchCache, *recordedSink) {
	cache, sink := NewWatchCache(env), &recordedSink{keys: map[string]api.Revision{}}
	cache.Sink, cache.Synced, cache.Revision = sink, true, 10
	return cache, sink
}
