package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// listing is a list of all keys in progress: after the start, or when the store no
// longer has the changes since our revision.
type listing struct {
	revision api.Revision // of the first page
	pairs    []api.KeyValue
}

// startListing begins to list all keys, page by page, unless that is under way.
func (w *WatchCache) startListing() {
	if w.listing != nil || w.Now < w.nextWatchAt {
		return
	}
	w.listing = &listing{}
	w.listPage(w.listing, "")
}

// listPage requests the page that follows a key.
func (w *WatchCache) listPage(list *listing, after string) {
	call := message.StoreCall{Op: message.OpList, Key: after}
	w.CallStore(call, func(reply *message.StoreReply) { w.pageListed(list, reply) })
}

// pageListed takes in a page, and requests the next or, after the last, the changes.
func (w *WatchCache) pageListed(list *listing, reply *message.StoreReply) {
	if reply.Status != message.StatusOK {
		w.abortListing()
		return
	}
	page := reply.Page
	if list.revision == 0 {
		list.revision = page.Revision
	}
	list.pairs = append(list.pairs, page.Pairs...)
	if n := len(page.Pairs); page.More && n > 0 {
		w.listPage(list, page.Pairs[n-1].Key)
		return
	}
	w.readChangesSince(list)
}

// readChangesSince requests the changes since the first page: pages are read one after
// the other, and only all of them with these changes show one state of the store.
func (w *WatchCache) readChangesSince(list *listing) {
	sentAt := w.Now
	call := message.StoreCall{Op: message.OpWatch, Since: list.revision, Urgent: true}
	w.CallStore(call, func(reply *message.StoreReply) { w.completeListing(list, reply, sentAt) })
}

// completeListing hands all keys and the changes since to the sink.
func (w *WatchCache) completeListing(list *listing, reply *message.StoreReply, sentAt micros.Micros) {
	if reply.Status != message.StatusOK {
		w.abortListing()
		return
	}
	w.Sink.ReplaceAll(list.pairs)
	w.listing = nil
	w.Revision = list.revision
	w.ApplyWatchReply(reply, sentAt)
	w.Synced = true
	w.Sink.Synchronized(w.Revision, len(list.pairs))
}

// abortListing discards the pages listed so far; all keys are listed anew later.
func (w *WatchCache) abortListing() {
	w.listing = nil
	w.retryLater()
}
