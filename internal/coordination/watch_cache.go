package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// MaxReadAge is how old a read may be when a user is answered from it.
	MaxReadAge = micros.Second

	// watchRetryInterval is how long after a failed list or watch the next is sent,
	// before jitter.
	watchRetryInterval = micros.Second / 2

	// readIntervalsPerWatch is how many read intervals lie between the reply to a watch
	// and the next watch.
	readIntervalsPerWatch = 2
)

// WatchCache follows the live keys of the key-value store: it lists them once, watches
// their changes and hands both to a sink. It also reads at once for those who must not
// be given anything older than their question.
type WatchCache struct {
	*Environment
	Sink recordSink // set once the sink, which reads from here, is made

	Synced      bool          // all keys are listed, and the changes since are known
	Revision    api.Revision  // up to which changes were applied
	CurrentAsOf micros.Micros // all that was committed before then was applied

	pendingReads  []func(ok bool) // wait for a read sent after they asked
	readInFlight  bool
	watchInFlight bool
	nextWatchAt   micros.Micros // of the next list too
	nextReadAt    micros.Micros
	listing       *listing // nil: the keys are not being listed
}

// NewWatchCache makes a watch cache.
func NewWatchCache(env *Environment) *WatchCache { return &WatchCache{Environment: env} }

// recordSink is given what the watch cache reads, in the order of its revisions.
type recordSink interface {
	// ReplaceAll gives all live keys, in place of what was known before.
	ReplaceAll(pairs []api.KeyValue)
	// ApplyPut gives a key's new value, and its version.
	ApplyPut(key string, value []byte, version api.Revision)
	// ApplyDelete reports that a key was deleted, at a version.
	ApplyDelete(key string, version api.Revision)
	// Synchronized reports that all keys and the changes since were given.
	Synchronized(revision api.Revision, keys int)
}

// ReadLatest calls done after a read of the store that was sent after now. done is
// given false if there was no such read, or its reply came too late to be told to a
// user; it may be called before ReadLatest returns.
func (w *WatchCache) ReadLatest(done func(ok bool)) {
	if !w.Synced {
		done(false)
		return
	}
	w.pendingReads = append(w.pendingReads, done)
}

// MaintainWatch keeps one watch open and sends the reads that are waited for. Until all
// keys are listed it lists them instead.
func (w *WatchCache) MaintainWatch() {
	if !w.Synced {
		w.failPendingReads()
		w.startListing()
		return
	}
	w.startRead()
	w.startWatch()
}

// failPendingReads tells at once those who wait for a read that there is none: listing
// all keys again may take as long as an outage lasts.
func (w *WatchCache) failPendingReads() {
	for _, done := range w.takePendingReads() {
		done(false)
	}
}

// takePendingReads returns those who wait for a read. Whoever asks from now on waits
// for the next one.
func (w *WatchCache) takePendingReads() []func(ok bool) {
	waiting := w.pendingReads
	w.pendingReads = nil
	return waiting
}

// startRead reads for those who wait, if the time between two reads has passed.
func (w *WatchCache) startRead() {
	if len(w.pendingReads) == 0 || w.readInFlight || w.Now < w.nextReadAt {
		return
	}
	w.readInFlight = true
	w.nextReadAt = w.Now + w.Settings.readInterval()
	waiting, sentAt := w.takePendingReads(), w.Now
	call := message.StoreCall{Op: message.OpWatch, Since: w.Revision, Urgent: true}
	w.CallStore(call, func(reply *message.StoreReply) { w.finishRead(reply, sentAt, waiting) })
}

// finishRead applies the reply to a read and tells those who wait for it.
func (w *WatchCache) finishRead(reply *message.StoreReply, sentAt micros.Micros, waiting []func(ok bool)) {
	w.readInFlight = false
	// A reply that the network held back shows how things were: its asker may have been
	// told of a cancellation by another controller since.
	ok := w.ApplyWatchReply(reply, sentAt) && w.Now < sentAt+MaxReadAge
	for _, done := range waiting {
		done(ok)
	}
}

// startWatch opens the watch, if none is open and the next is due.
func (w *WatchCache) startWatch() {
	if w.watchInFlight || w.Now < w.nextWatchAt {
		return
	}
	w.watchInFlight = true
	sentAt := w.Now
	waitMs := int(w.Settings.watchTimeout().Milliseconds())
	call := message.StoreCall{Op: message.OpWatch, Since: w.Revision, WaitMs: waitMs}
	w.CallStore(call, func(reply *message.StoreReply) { w.finishWatch(reply, sentAt) })
}

// finishWatch applies the reply to a watch and sets the time of the next.
func (w *WatchCache) finishWatch(reply *message.StoreReply, sentAt micros.Micros) {
	w.watchInFlight = false
	w.nextWatchAt = w.Now + readIntervalsPerWatch*w.Settings.readInterval()
	if !w.ApplyWatchReply(reply, sentAt) && w.Synced {
		w.retryLater()
	}
}

// retryLater sets the time of the next watch or list after one that failed.
func (w *WatchCache) retryLater() { w.nextWatchAt = w.Now + w.Jitter(watchRetryInterval) }

// ApplyWatchReply applies the changes in the reply to a watch that was sent at a time.
// It reports whether the cache is now as new as the reply. When the store no longer
// has the changes since our revision, all keys are listed again.
func (w *WatchCache) ApplyWatchReply(reply *message.StoreReply, sentAt micros.Micros) bool {
	switch reply.Status {
	case message.StatusOK:
	case message.StatusGone:
		w.Synced = false
		return false
	default:
		return false
	}
	for _, event := range reply.Watch.Events {
		w.applyEvent(event)
	}
	w.Revision = max(w.Revision, reply.Watch.Revision)
	w.CurrentAsOf = max(w.CurrentAsOf, sentAt)
	return true
}

// applyEvent applies one change, unless it was applied before: of two replies that
// overtook each other, the older once brought back a job that had ended.
func (w *WatchCache) applyEvent(event api.Event) {
	switch {
	case event.Version <= w.Revision:
	case event.Delete != "":
		w.Sink.ApplyDelete(event.Delete, event.Version)
	default:
		w.Sink.ApplyPut(event.Put, event.Value, event.Version)
	}
}
