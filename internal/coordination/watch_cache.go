package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// MaxReadAge is the maximum age of a read from which a user is answered.
	MaxReadAge = micros.Second

	// watchRetryInterval is the time from a failed list or watch to the next, before
	// jitter.
	watchRetryInterval = micros.Second / 2

	// readIntervalsPerWatch is the time from the reply to a watch until the next watch, in
	// read intervals.
	readIntervalsPerWatch = 2
)

// WatchCache follows the live keys of the key-value store. It lists them once, watches them
// for changes, and passes both to a sink. ReadLatest also reads changes at once, for callers
// that must not act on anything older than their call.
type WatchCache struct {
	*Environment
	Sink recordSink // set after construction, because the sink needs this cache

	Synced      bool          // all keys are listed and their changes are being watched
	Revision    api.Revision  // all changes up to this revision are applied
	CurrentAsOf micros.Micros // everything committed before this time is applied

	pendingReads  []func(ok bool) // callers of ReadLatest that wait for the next read
	readInFlight  bool
	watchInFlight bool
	nextWatchAt   micros.Micros // time of the next watch or list
	nextReadAt    micros.Micros
	listing       *listing // the list in progress; nil if there is none
}

// NewWatchCache returns a watch cache that has listed nothing. The caller must set Sink
// before replies are handled.
func NewWatchCache(env *Environment) *WatchCache { return &WatchCache{Environment: env} }

// recordSink receives what the watch cache reads, in the order of revisions.
type recordSink interface {
	// ReplaceAll replaces everything known before by all live keys.
	ReplaceAll(pairs []api.KeyValue)
	// ApplyPut applies a key's new value and version.
	ApplyPut(key string, value []byte, version api.Revision)
	// ApplyDelete applies the deletion of a key at a version.
	ApplyDelete(key string, version api.Revision)
	// Synced is called after ReplaceAll, when the changes since the list are applied, too.
	// keys is the number of keys listed.
	Synced(revision api.Revision, keys int)
}

// ReadLatest calls done once a read of the store that is sent after this call has been
// applied. It calls done with false if the read failed, if its reply came too late to answer
// a user, or if the cache is not synced. It may call done before it returns.
func (w *WatchCache) ReadLatest(done func(ok bool)) {
	if !w.Synced {
		done(false)
		return
	}
	w.pendingReads = append(w.pendingReads, done)
}

// MaintainWatch keeps one watch open and sends the reads that ReadLatest requested. While
// the cache is not synced it lists all keys instead. It is called after every input.
func (w *WatchCache) MaintainWatch() {
	if !w.Synced {
		w.failPendingReads()
		w.startListing()
		return
	}
	w.startRead()
	w.startWatch()
}

// failPendingReads fails all pending reads at once. Otherwise their callers would wait for
// the list of all keys, which may take as long as an outage lasts.
func (w *WatchCache) failPendingReads() {
	for _, done := range w.takePendingReads() {
		done(false)
	}
}

// takePendingReads returns the pending reads and clears them, so that later callers of
// ReadLatest wait for another read.
func (w *WatchCache) takePendingReads() []func(ok bool) {
	pending := w.pendingReads
	w.pendingReads = nil
	return pending
}

// startRead sends a read for the pending callers, if none is in flight and the time
// between two reads has passed.
func (w *WatchCache) startRead() {
	if len(w.pendingReads) == 0 || w.readInFlight || w.Now < w.nextReadAt {
		return
	}
	w.readInFlight = true
	w.nextReadAt = w.Now + w.Settings.readInterval()
	pending, sentAt := w.takePendingReads(), w.Now
	call := message.StoreCall{Op: message.OpWatch, Since: w.Revision, Urgent: true}
	w.CallStore(call, func(reply *message.StoreReply) { w.handleReadReply(reply, sentAt, pending) })
}

// handleReadReply applies the reply to a read and notifies the callers that wait for it.
func (w *WatchCache) handleReadReply(reply *message.StoreReply, sentAt micros.Micros, pending []func(ok bool)) {
	w.readInFlight = false
	// A reply that the network delayed may be outdated: another controller may have
	// confirmed a cancellation to the same user since.
	ok := w.ApplyWatchReply(reply, sentAt) && w.Now < sentAt+MaxReadAge
	for _, done := range pending {
		done(ok)
	}
}

// startWatch sends a watch if none is in flight and the next is due.
func (w *WatchCache) startWatch() {
	if w.watchInFlight || w.Now < w.nextWatchAt {
		return
	}
	w.watchInFlight = true
	sentAt := w.Now
	waitMs := int(w.Settings.watchTimeout().Milliseconds())
	call := message.StoreCall{Op: message.OpWatch, Since: w.Revision, WaitMs: waitMs}
	w.CallStore(call, func(reply *message.StoreReply) { w.handleWatchReply(reply, sentAt) })
}

// handleWatchReply applies the reply to a watch and schedules the next watch.
func (w *WatchCache) handleWatchReply(reply *message.StoreReply, sentAt micros.Micros) {
	w.watchInFlight = false
	w.nextWatchAt = w.Now + readIntervalsPerWatch*w.Settings.readInterval()
	if !w.ApplyWatchReply(reply, sentAt) && w.Synced {
		w.retryLater()
	}
}

// retryLater schedules the next watch or list after one that failed.
func (w *WatchCache) retryLater() { w.nextWatchAt = w.Now + w.Jitter(watchRetryInterval) }

// ApplyWatchReply applies the changes in the reply to a watch that was sent at sentAt. It
// reports whether the reply was valid. The cache is then at least as new as the reply. If
// the store no longer has the changes since our revision, all keys are listed again.
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

// applyEvent applies one change unless it was applied before. A reply may arrive after a
// newer one, and its older changes could bring back a job that has ended.
func (w *WatchCache) applyEvent(event api.Event) {
	switch {
	case event.Version <= w.Revision:
	case event.Delete != "":
		w.Sink.ApplyDelete(event.Delete, event.Version)
	default:
		w.Sink.ApplyPut(event.Put, event.Value, event.Version)
	}
}
