package coordination

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// watchReply returns a reply to a watch.
func watchReply(revision api.Revision, events ...api.Event) message.StoreReply {
	return message.StoreReply{Status: message.StatusOK, Watch: api.WatchResponse{Revision: revision, Events: events}}
}

// newUnsyncedCache returns a watch cache that has listed nothing.
func newUnsyncedCache(env *Environment) (*WatchCache, *recordedSink) {
	cache, sink := newSyncedCache(env)
	cache.Synced, cache.Revision = false, 0
	return cache, sink
}

// TestListing guards the first list: all pages, then the changes since the first, and
// only then is the cache in use.
func TestListing(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, sink := newUnsyncedCache(env)
	cache.MaintainWatch()
	first := takeStoreCall(t, env)
	replyTo(env, first, message.StoreReply{Status: message.StatusOK, Page: api.KeyValuePage{
		Pairs: []api.KeyValue{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, More: true, Revision: 5,
	}})
	second := takeStoreCall(t, env)
	if second.Op != message.OpList || second.Key != "b" {
		t.Fatalf("the second page is requested by %+v", second)
	}
	cache.MaintainWatch()
	if calls := takeStoreCalls(env); len(calls) > 0 {
		t.Fatalf("a list under way is joined by %+v", calls)
	}
	replyTo(env, second, message.StoreReply{Status: message.StatusOK, Page: api.KeyValuePage{
		Pairs: []api.KeyValue{{Key: "c", Version: 4}}, Revision: 8,
	}})
	changes := takeStoreCall(t, env)
	if changes.Op != message.OpWatch || changes.Since != 5 {
		t.Fatalf("the changes since the first page are requested by %+v", changes)
	}
	if cache.Synced || sink.replaced > 0 {
		t.Fatal("in use before the changes since the first page are known")
	}
	replyTo(env, changes, watchReply(9, api.Event{Delete: "a", Version: 7}, api.Event{Put: "d", Version: 9}))
	if !cache.Synced || cache.Revision != 9 || cache.CurrentAsOf != startOfTest || sink.synchronized != 1 {
		t.Errorf("synced %t, revision %d, as of %d", cache.Synced, cache.Revision, cache.CurrentAsOf)
		t.Errorf("told of %d completed lists", sink.synchronized)
	}
	if len(sink.keys) != 3 || sink.keys["d"] != 9 {
		t.Errorf("the keys are %v", sink.keys)
	}
}

// TestFailedListBeginsAnew guards against pages of two lists that are mixed, and against
// a list that is not repeated.
func TestFailedListBeginsAnew(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, _ := newUnsyncedCache(env)
	cache.MaintainWatch()
	page := api.KeyValuePage{Pairs: []api.KeyValue{{Key: "a", Version: 1}}, More: true, Revision: 5}
	replyTo(env, takeStoreCall(t, env), message.StoreReply{Status: message.StatusOK, Page: page})
	replyTo(env, takeStoreCall(t, env), message.StoreReply{Status: message.StatusNoReply})
	cache.MaintainWatch()
	if calls := takeStoreCalls(env); len(calls) > 0 {
		t.Fatal("listed again at once")
	}
	env.Now += 2 * watchRetryInterval
	cache.MaintainWatch()
	if call := takeStoreCall(t, env); call.Op != message.OpList || call.Key != "" || len(cache.listing.pairs) > 0 {
		t.Errorf("the list goes on with %+v, %d keys kept", call, len(cache.listing.pairs))
	}
}

// TestApplyWatchReply guards which changes are applied, and what a failed watch does to
// the cache.
func TestApplyWatchReply(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name         string
		reply        message.StoreReply
		want         bool
		wantSynced   bool
		wantRevision api.Revision
		wantKeys     int
	}{
		{"a change", watchReply(12, api.Event{Put: "k", Version: 11}), true, true, 12, 1},
		{"a change that was applied before", watchReply(10, api.Event{Put: "k", Version: 10}), true, true, 10, 0},
		{"an overtaken reply", watchReply(8, api.Event{Put: "k", Version: 7}), true, true, 10, 0},
		{"nothing new", watchReply(10), true, true, 10, 0},
		{"the changes are no longer kept", message.StoreReply{Status: message.StatusGone}, false, false, 10, 0},
		{"no reply", message.StoreReply{Status: message.StatusNoReply}, false, true, 10, 0},
		{"unavailable", message.StoreReply{Status: message.StatusServiceUnavailable}, false, true, 10, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cache, sink := newSyncedCache(newTestEnvironment(t))
			if got := cache.ApplyWatchReply(&tc.reply, startOfTest); got != tc.want {
				t.Errorf("up to date %t, want %t", got, tc.want)
			}
			if cache.Synced != tc.wantSynced || cache.Revision != tc.wantRevision || len(sink.keys) != tc.wantKeys {
				t.Errorf("synced %t, revision %d, keys %v", cache.Synced, cache.Revision, sink.keys)
			}
			if (cache.CurrentAsOf == startOfTest) != tc.want {
				t.Errorf("current as of %d", cache.CurrentAsOf)
			}
		})
	}
}

// TestReadLatest guards against a user's answer from a read that was sent before the
// question, or whose reply the network held back.
func TestReadLatest(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		after  micros.Micros
		status int
		want   bool
	}{
		{"in time", MaxReadAge - 1, message.StatusOK, true},
		{"held back", MaxReadAge, message.StatusOK, false},
		{"failed", 0, message.StatusNoReply, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnvironment(t)
			cache, _ := newSyncedCache(env)
			cache.watchInFlight = true // only reads are of interest
			var first, second []bool
			cache.ReadLatest(func(ok bool) { first = append(first, ok) })
			cache.MaintainWatch()
			read := takeStoreCall(t, env)
			cache.ReadLatest(func(ok bool) { second = append(second, ok) })
			env.Now += tc.after
			replyTo(env, read, message.StoreReply{Status: tc.status})
			if len(first) != 1 || first[0] != tc.want {
				t.Errorf("told %v, want %t", first, tc.want)
			}
			if len(second) > 0 {
				t.Error("a read sent before the question answers it")
			}
			env.Now += env.Settings.readInterval()
			cache.MaintainWatch()
			replyTo(env, takeStoreCall(t, env), message.StoreReply{Status: message.StatusOK})
			if len(second) != 1 || !second[0] {
				t.Errorf("the later question is told %v", second)
			}
		})
	}
}

// TestReadLatestWhileListing guards against a user who waits for as long as an outage
// lasts.
func TestReadLatestWhileListing(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, _ := newSyncedCache(env)
	var told []bool
	cache.ReadLatest(func(ok bool) { told = append(told, ok) })
	cache.Synced = false
	cache.MaintainWatch()
	cache.ReadLatest(func(ok bool) { told = append(told, ok) })
	if len(told) != 2 || told[0] || told[1] {
		t.Errorf("told %v, want false twice", told)
	}
}
