package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

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
func (c *Controller) maintainWatch() {
	if !c.synced {
		// Who waits for a read is told at once that there is none: reading
		// everything again may take as long as an outage lasts.
		waiting := c.pendingReads
		c.pendingReads = nil
		for _, f := range waiting {
			f(false)
		}
		if c.relist == nil && c.now >= c.nextWatchAt {
			c.relist = &relist{}
			c.listNextPage("")
		}
		return
	}
	if len(c.pendingReads) > 0 && !c.readInFlight && c.now >= c.nextReadAt {
		c.readInFlight = true
		waiting := c.pendingReads
		c.pendingReads = nil
		c.nextReadAt = c.now + c.readInterval()
		began := c.now
		c.callStore(StoreCall{Op: OpWatch, Since: c.revision, Urgent: true}, func(r *StoreReply) {
			c.readInFlight = false
			// An answer held back by the network says how things were: its
			// asker may have been told of a cancellation elsewhere since.
			ok := c.applyWatchReply(r, began) && c.now < began+maxReadAge
			for _, f := range waiting {
				f(ok)
			}
		})
	}
	if !c.watchInFlight && c.now >= c.nextWatchAt {
		c.watchInFlight = true
		began := c.now
		c.callStore(StoreCall{Op: OpWatch, Since: c.revision, WaitMs: int(c.watchTimeout().Milliseconds())}, func(r *StoreReply) {
			c.watchInFlight = false
			c.nextWatchAt = c.now + 2*c.readInterval()
			if !c.applyWatchReply(r, began) && c.synced {
				c.nextWatchAt = c.now + c.jitter(micros.Second/2)
			}
		})
	}
}

// watchTimeout is how long a watch waits for a change: its answer says how things
// were no earlier than when it was asked for, and the answer deadline counts from there.
func (c *Controller) watchTimeout() micros.Micros {
	return max(micros.Second/4, min(2*micros.Second, c.answerWindow()/6))
}

// maxReadAge is how old a read may be when it is told to a user.
const maxReadAge = micros.Second

// readInterval is the least time between two reads for users: all controllers'
// together take three tenths of what the state service admits.
func (c *Controller) readInterval() micros.Micros {
	return max(micros.Second/25, micros.Micros(float64(micros.Second)*float64(len(c.settings.Nodes))/(0.3*c.settings.Deployment.Store.RPS)))
}

// readLatest calls f after a read of the state service that began after now.
func (c *Controller) readLatest(f func(ok bool)) {
	if !c.synced {
		f(false)
		return
	}
	c.pendingReads = append(c.pendingReads, f)
}

// listNextPage reads all keys, page by page, and then the changes since the
// first page: only both together show one state.
func (c *Controller) listNextPage(after string) {
	l := c.relist
	fail := func() {
		c.relist = nil
		c.nextWatchAt = c.now + c.jitter(micros.Second/2)
	}
	c.callStore(StoreCall{Op: OpList, Key: after}, func(r *StoreReply) {
		if r.Status != 200 {
			fail()
			return
		}
		if l.revision == 0 {
			l.revision = r.Page.Revision
		}
		l.items = append(l.items, r.Page.Pairs...)
		if n := len(r.Page.Pairs); r.Page.More && n > 0 {
			c.listNextPage(r.Page.Pairs[n-1].Key)
			return
		}
		began := c.now
		c.callStore(StoreCall{Op: OpWatch, Since: l.revision, Urgent: true}, func(r *StoreReply) {
			if r.Status != 200 {
				fail()
				return
			}
			c.sink.replaceAll(l.items)
			c.relist = nil
			c.revision = l.revision
			c.applyWatchReply(r, began)
			c.synced = true
			c.sink.synchronized(c.revision, len(l.items))
		})
	})
}

// applyWatchReply takes in a log of changes that was asked for at a time; it tells
// whether the replica is now as new as the answer.
func (c *Controller) applyWatchReply(r *StoreReply, began micros.Micros) bool {
	if r.Status == 410 {
		c.synced = false
		return false
	}
	if r.Status != 200 {
		return false
	}
	for _, e := range r.Watch.Events {
		if e.Version <= c.revision {
			// Of two answers that overtook each other the older says nothing
			// new: it once brought back a job that was over.
			continue
		}
		if e.Delete != "" {
			c.sink.applyDelete(e.Delete, e.Version)
		} else {
			c.sink.applyPut(e.Put, e.Value, e.Version)
		}
	}
	c.revision = max(c.revision, r.Watch.Revision)
	c.currentAsOf = max(c.currentAsOf, began)
	return true
}
