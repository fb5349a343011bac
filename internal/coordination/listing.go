package coordination

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// listing is the state of a list of all keys in progress. Keys are listed at the start, and
// again when the store no longer has the changes since our revision.
type listing struct {
	revision api.Revision // of the first page
	pairs    []api.KeyValue
}

// startListing starts to list all keys page by page, unless a list is in progress or the
// next is not due.
func (w *WatchCache) startListing() {
	if w.listing != nil || w.Now < w.nextWatchAt {
		return
	}
	w.listing = &listing{}
	w.requestPage(w.listing, "")
}

// requestPage requests the page that begins after a key.
func (w *WatchCache) requestPage(list *listing, after string) {
	call := message.StoreCall{Op: message.OpList, Key: after}
	w.CallStore(call, func(reply *message.StoreReply) { w.handlePageReply(list, reply) })
}

// handlePageReply handles the reply with a page. It requests the next page or, after the
// last, the changes since the first.
func (w *WatchCache) handlePageReply(list *listing, reply *message.StoreReply) {
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
		w.requestPage(list, page.Pairs[n-1].Key)
		return
	}
	w.requestChangesSince(list)
}

// requestChangesSince requests the changes since the first page of a list. The pages are
// read at different revisions and show one consistent state of the store only together
// with these changes.
func (w *WatchCache) requestChangesSince(list *listing) {
	sentAt := w.Now
	call := message.StoreCall{Op: message.OpWatch, Since: list.revision, Urgent: true}
	w.CallStore(call, func(reply *message.StoreReply) { w.completeListing(list, reply, sentAt) })
}

// completeListing handles the reply with the changes since the first page. It passes all
// keys and these changes to the sink.
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
	w.Sink.Synced(w.Revision, len(list.pairs))
}

// abortListing discards the pages listed so far. All keys are listed again later.
func (w *WatchCache) abortListing() {
	w.listing = nil
	w.retryLater()
}
