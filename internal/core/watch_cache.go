package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// watchCache follows the live keys of the key-value store: it lists them once, watches
// their changes and hands both to a sink, and reads at once for those who must not be
// told anything older than their question.
type watchCache struct {
	*environment
	sink recordSink // set once the sink, which reads from here, is made

	synced      bool
	revision    uint64
	currentAsOf micros.Micros // all that was committed before then was taken in

	pendingReads  []func(ok bool) // wait for a read begun after they asked
	readInFlight  bool
	watchInFlight bool
	nextWatchAt   micros.Micros
	nextReadAt    micros.Micros
	relist        *relist // nil: the keys are not being listed
}

func newWatchCache(env *environment) *watchCache { return &watchCache{environment: env} }

// recordSink takes in what the watch cache reads, in the order of its revisions.
type recordSink interface {
	// replaceAll takes in all live keys in place of what was known before.
	replaceAll(pairs []api.KeyValue)
	applyPut(key string, value []byte, version uint64)
	applyDelete(key string, version uint64)
	// synchronized tells that all keys and the changes since were taken in.
	synchronized(revision uint64, keys int)
}

// relist is a reading of all keys, after the start or when the log of
// changes no longer reaches back.
type relist struct {
	revision uint64
	items    []api.KeyValue
}

// maintainWatch keeps one watch open, and reads at once for those who wait.
func (w *watchCache) maintainWatch() {
	if !w.synced {
		// Who waits for a read is told at once that there is none: reading
		// everything again may take as long as an outage lasts.
		waiting := w.pendingReads
		w.pendingReads = nil
		for _, f := range waiting {
			f(false)
		}
		if w.relist == nil && w.now >= w.nextWatchAt {
			w.relist = &relist{}
			w.listNextPage("")
		}
		return
	}
	if len(w.pendingReads) > 0 && !w.readInFlight && w.now >= w.nextReadAt {
		w.readInFlight = true
		waiting := w.pendingReads
		w.pendingReads = nil
		w.nextReadAt = w.now + w.settings.readInterval()
		began := w.now
		w.callStore(StoreCall{Op: OpWatch, Since: w.revision, Urgent: true}, func(r *StoreReply) {
			w.readInFlight = false
			// An answer held back by the network says how things were: its
			// asker may have been told of a cancellation elsewhere since.
			ok := w.applyWatchReply(r, began) && w.now < began+maxReadAge
			for _, f := range waiting {
				f(ok)
			}
		})
	}
	if !w.watchInFlight && w.now >= w.nextWatchAt {
		w.watchInFlight = true
		began := w.now
		w.callStore(StoreCall{Op: OpWatch, Since: w.revision, WaitMs: int(w.settings.watchTimeout().Milliseconds())}, func(r *StoreReply) {
			w.watchInFlight = false
			w.nextWatchAt = w.now + 2*w.settings.readInterval()
			if !w.applyWatchReply(r, began) && w.synced {
				w.nextWatchAt = w.now + w.jitter(micros.Second/2)
			}
		})
	}
}

// maxReadAge is how old a read may be when it is told to a user.
const maxReadAge = micros.Second

// readLatest calls f after a read of the state service that began after now.
func (w *watchCache) readLatest(f func(ok bool)) {
	if !w.synced {
		f(false)
		return
	}
	w.pendingReads = append(w.pendingReads, f)
}

// listNextPage reads all keys, page by page, and then the changes since the
// first page: only both together show one state.
func (w *watchCache) listNextPage(after string) {
	l := w.relist
	fail := func() {
		w.relist = nil
		w.nextWatchAt = w.now + w.jitter(micros.Second/2)
	}
	w.callStore(StoreCall{Op: OpList, Key: after}, func(r *StoreReply) {
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
		began := w.now
		w.callStore(StoreCall{Op: OpWatch, Since: l.revision, Urgent: true}, func(r *StoreReply) {
			if r.Status != 200 {
				fail()
				return
			}
			w.sink.replaceAll(l.items)
			w.relist = nil
			w.revision = l.revision
			w.applyWatchReply(r, began)
			w.synced = true
			w.sink.synchronized(w.revision, len(l.items))
		})
	})
}

// applyWatchReply takes in a log of changes that was asked for at a time; it tells
// whether the replica is now as new as the answer.
func (w *watchCache) applyWatchReply(r *StoreReply, began micros.Micros) bool {
	if r.Status == 410 {
		w.synced = false
		return false
	}
	if r.Status != 200 {
		return false
	}
	for _, e := range r.Watch.Events {
		if e.Version <= w.revision {
			// Of two answers that overtook each other the older says nothing
			// new: it once brought back a job that was over.
			continue
		}
		if e.Delete != "" {
			w.sink.applyDelete(e.Delete, e.Version)
		} else {
			w.sink.applyPut(e.Put, e.Value, e.Version)
		}
	}
	w.revision = max(w.revision, r.Watch.Revision)
	w.currentAsOf = max(w.currentAsOf, began)
	return true
}
