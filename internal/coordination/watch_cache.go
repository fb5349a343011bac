package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// WatchCache follows the live keys of the key-value store: it lists them once, watches
// their changes and hands both to a sink, and reads at once for those who must not be
// told anything older than their question.
type WatchCache struct {
	*Environment
	Sink recordSink // set once the sink, which reads from here, is made

	Synced      bool
	Revision    uint64
	CurrentAsOf micros.Micros // all that was committed before then was taken in

	pendingReads  []func(ok bool) // wait for a read begun after they asked
	readInFlight  bool
	watchInFlight bool
	nextWatchAt   micros.Micros
	nextReadAt    micros.Micros
	relist        *relist // nil: the keys are not being listed
}

// NewWatchCache makes a watch cache.
func NewWatchCache(env *Environment) *WatchCache { return &WatchCache{Environment: env} }

// recordSink takes in what the watch cache reads, in the order of its revisions.
type recordSink interface {
	// ReplaceAll takes in all live keys in place of what was known before.
	ReplaceAll(pairs []api.KeyValue)
	ApplyPut(key string, value []byte, version uint64)
	ApplyDelete(key string, version uint64)
	// Synchronized tells that all keys and the changes since were taken in.
	Synchronized(revision uint64, keys int)
}

// relist is a reading of all keys, after the start or when the log of
// changes no longer reaches back.
type relist struct {
	revision uint64
	items    []api.KeyValue
}

// MaintainWatch keeps one watch open, and reads at once for those who wait.
func (w *WatchCache) MaintainWatch() {
	if !w.Synced {
		// Who waits for a read is told at once that there is none: reading
		// everything again may take as long as an outage lasts.
		waiting := w.pendingReads
		w.pendingReads = nil
		for _, f := range waiting {
			f(false)
		}
		if w.relist == nil && w.Now >= w.nextWatchAt {
			w.relist = &relist{}
			w.listNextPage("")
		}
		return
	}
	if len(w.pendingReads) > 0 && !w.readInFlight && w.Now >= w.nextReadAt {
		w.readInFlight = true
		waiting := w.pendingReads
		w.pendingReads = nil
		w.nextReadAt = w.Now + w.Settings.readInterval()
		began := w.Now
		w.CallStore(message.StoreCall{Op: message.OpWatch, Since: w.Revision, Urgent: true}, func(r *message.StoreReply) {
			w.readInFlight = false
			// An answer held back by the network says how things were: its
			// asker may have been told of a cancellation elsewhere since.
			ok := w.ApplyWatchReply(r, began) && w.Now < began+MaxReadAge
			for _, f := range waiting {
				f(ok)
			}
		})
	}
	if !w.watchInFlight && w.Now >= w.nextWatchAt {
		w.watchInFlight = true
		began := w.Now
		w.CallStore(message.StoreCall{Op: message.OpWatch, Since: w.Revision, WaitMs: int(w.Settings.watchTimeout().Milliseconds())}, func(r *message.StoreReply) {
			w.watchInFlight = false
			w.nextWatchAt = w.Now + 2*w.Settings.readInterval()
			if !w.ApplyWatchReply(r, began) && w.Synced {
				w.nextWatchAt = w.Now + w.Jitter(micros.Second/2)
			}
		})
	}
}

// MaxReadAge is how old a read may be when it is told to a user.
const MaxReadAge = micros.Second

// ReadLatest calls f after a read of the state service that began after now.
func (w *WatchCache) ReadLatest(f func(ok bool)) {
	if !w.Synced {
		f(false)
		return
	}
	w.pendingReads = append(w.pendingReads, f)
}

// listNextPage reads all keys, page by page, and then the changes since the
// first page: only both together show one state.
func (w *WatchCache) listNextPage(after string) {
	l := w.relist
	fail := func() {
		w.relist = nil
		w.nextWatchAt = w.Now + w.Jitter(micros.Second/2)
	}
	w.CallStore(message.StoreCall{Op: message.OpList, Key: after}, func(r *message.StoreReply) {
		if r.Status != 200 {
			fail()
			return
		}
		if l.revision == 0 {
			l.revision = r.Page.Revision
		}
		l.items = append(l.items, r.Page.Pairs...)
		if n := len(r.Page.Pairs); r.Page.More && n > 0 {
			w.listNextPage(r.Page.Pairs[n-1].Key)
			return
		}
		began := w.Now
		w.CallStore(message.StoreCall{Op: message.OpWatch, Since: l.revision, Urgent: true}, func(r *message.StoreReply) {
			if r.Status != 200 {
				fail()
				return
			}
			w.Sink.ReplaceAll(l.items)
			w.relist = nil
			w.Revision = l.revision
			w.ApplyWatchReply(r, began)
			w.Synced = true
			w.Sink.Synchronized(w.Revision, len(l.items))
		})
	})
}

// ApplyWatchReply takes in a log of changes that was asked for at a time; it tells
// whether the replica is now as new as the answer.
func (w *WatchCache) ApplyWatchReply(r *message.StoreReply, began micros.Micros) bool {
	if r.Status == 410 {
		w.Synced = false
		return false
	}
	if r.Status != 200 {
		return false
	}
	for _, e := range r.Watch.Events {
		if e.Version <= w.Revision {
			// Of two answers that overtook each other the older says nothing
			// new: it once brought back a job that was over.
			continue
		}
		if e.Delete != "" {
			w.Sink.ApplyDelete(e.Delete, e.Version)
		} else {
			w.Sink.ApplyPut(e.Put, e.Value, e.Version)
		}
	}
	w.Revision = max(w.Revision, r.Watch.Revision)
	w.CurrentAsOf = max(w.CurrentAsOf, began)
	return true
}
