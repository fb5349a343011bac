package coordination

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// watchReply returns a successful reply to a watch.
func watchReply(revision api.Revision, events ...api.Event) message.StoreReply {
	return message.StoreReply{Status: message.StatusOK, Watch: api.WatchResponse{Revision: revision, Events: events}}
}

// newUnsyncedCache returns a watch cache that has listed nothing, and its sink.
func newUnsyncedCache(env *Environment) (*WatchCache, *recordingSink) {
	cache, sink := newSyncedCache(env)
	cache.Synced, cache.Revision = false, 0
	return cache, sink
}

// TestListing guards against a cache that counts as synced before all pages and the changes
// since the first page are known.
func TestListing(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, sink := newUnsyncedCache(env)
	cache.MaintainWatch()
	first := popStoreCall(t, env)
	replyTo(env, first, message.StoreReply{Status: message.StatusOK, Page: api.KeyValuePage{
		Pairs: []api.KeyValue{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, More: true, Revision: 5,
	}})
	second := popStoreCall(t, env)
	if second.Op != message.OpList || second.Key != "b" {
		t.Fatalf("got call %+v, want the page after key b", second)
	}
	cache.MaintainWatch()
	if calls := popStoreCalls(env); len(calls) > 0 {
		t.Fatalf("got calls %+v while a list is in progress, want none", calls)
	}
	replyTo(env, second, message.StoreReply{Status: message.StatusOK, Page: api.KeyValuePage{
		Pairs: []api.KeyValue{{Key: "c", Version: 4}}, Revision: 8,
	}})
	changes := popStoreCall(t, env)
	if changes.Op != message.OpWatch || changes.Since != 5 {
		t.Fatalf("got call %+v, want the changes since revision 5", changes)
	}
	if cache.Synced || sink.replaceAllCalls > 0 {
		t.Fatalf("got synced %t and %d calls of ReplaceAll before the changes since the first page are known, want false and 0",
			cache.Synced, sink.replaceAllCalls)
	}
	replyTo(env, changes, watchReply(9, api.Event{Delete: "a", Version: 7}, api.Event{Put: "d", Version: 9}))
	if !cache.Synced || cache.Revision != 9 || cache.CurrentAsOf != testStart || sink.syncedCalls != 1 {
		t.Errorf("got synced %t, revision %d, current as of %d, want true, 9, %d",
			cache.Synced, cache.Revision, cache.CurrentAsOf, testStart)
		t.Errorf("got %d calls of Synced, want 1", sink.syncedCalls)
	}
	if len(sink.keys) != 3 || sink.keys["d"] != 9 {
		t.Errorf("got keys %v, want b, c and d, with d at version 9", sink.keys)
	}
}

// TestFailedListRestarts guards against a list that contains pages of an earlier, failed list,
// and against a failed list that is not repeated.
func TestFailedListRestarts(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, _ := newUnsyncedCache(env)
	cache.MaintainWatch()
	page := api.KeyValuePage{Pairs: []api.KeyValue{{Key: "a", Version: 1}}, More: true, Revision: 5}
	replyTo(env, popStoreCall(t, env), message.StoreReply{Status: message.StatusOK, Page: page})
	replyTo(env, popStoreCall(t, env), message.StoreReply{Status: message.StatusNoReply})
	cache.MaintainWatch()
	if calls := popStoreCalls(env); len(calls) > 0 {
		t.Fatal("got another call right after the failure, want none")
	}
	env.Now += 2 * watchRetryInterval
	cache.MaintainWatch()
	if call := popStoreCall(t, env); call.Op != message.OpList || call.Key != "" || len(cache.listing.pairs) > 0 {
		t.Errorf("got call %+v with %d keys kept, want the first page and no keys", call, len(cache.listing.pairs))
	}
}

// TestApplyWatchReply guards against changes that are missed or applied twice, and against a
// failed watch that makes the cache look current.
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
			if got := cache.ApplyWatchReply(&tc.reply, testStart); got != tc.want {
				t.Errorf("got applied %t, want %t", got, tc.want)
			}
			if cache.Synced != tc.wantSynced || cache.Revision != tc.wantRevision || len(sink.keys) != tc.wantKeys {
				t.Errorf("got synced %t, revision %d, keys %v; want %t, %d, %d keys",
					cache.Synced, cache.Revision, sink.keys, tc.wantSynced, tc.wantRevision, tc.wantKeys)
			}
			if (cache.CurrentAsOf == testStart) != tc.want {
				t.Errorf("got current as of %d, reply applied %t; want %d if applied and 0 if not",
					cache.CurrentAsOf, tc.want, testStart)
			}
		})
	}
}

// TestReadLatest guards against a user who is answered from a read that was sent before the
// user's request, or whose reply the network delayed.
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
			cache.watchInFlight = true // so that only reads are sent
			var first, second []bool
			cache.ReadLatest(func(ok bool) { first = append(first, ok) })
			cache.MaintainWatch()
			read := popStoreCall(t, env)
			cache.ReadLatest(func(ok bool) { second = append(second, ok) })
			env.Now += tc.after
			replyTo(env, read, message.StoreReply{Status: tc.status})
			if len(first) != 1 || first[0] != tc.want {
				t.Errorf("got results %v for the first caller, want one %t", first, tc.want)
			}
			if len(second) > 0 {
				t.Error("got a result from a read sent before the request, want none yet")
			}
			env.Now += env.Settings.readInterval()
			cache.MaintainWatch()
			replyTo(env, popStoreCall(t, env), message.StoreReply{Status: message.StatusOK})
			if len(second) != 1 || !second[0] {
				t.Errorf("got results %v for the second caller, want one true", second)
			}
		})
	}
}

// TestReadLatestWhileListing guards against a user who waits as long as an outage lasts. While
// the keys are being listed, reads must fail at once.
func TestReadLatestWhileListing(t *testing.T) {
	t.Parallel()
	env := newTestEnvironment(t)
	cache, _ := newSyncedCache(env)
	var results []bool
	cache.ReadLatest(func(ok bool) { results = append(results, ok) })
	cache.Synced = false
	cache.MaintainWatch()
	cache.ReadLatest(func(ok bool) { results = append(results, ok) })
	if len(results) != 2 || results[0] || results[1] {
		t.Errorf("got results %v, want false twice", results)
	}
}
