package core

import (
	"github.com/go-json-experiment/json"

	"spurmoor/internal/wire"
)

// txn is a conditional transaction that is repeated until its outcome is
// known. Each guards every key that it writes, so that of several copies of
// it at most one is ever carried out, and a late one after the answer never.
type txn struct {
	part   int // -1: none
	term   uint64
	req    wire.Txn
	over   bool
	next   int64
	out    bool
	tries  int
	settle bool // refused: the mirror is to be read before it fails
	ok     func(rev uint64)
	failed func()
}

// guarded sends a transaction for a held part.
func (c *Core) guarded(p *part, guards []wire.Guard, writes []wire.Write, ok func(rev uint64), failed func()) {
	t := &txn{part: p.idx, term: p.ver, ok: ok, failed: failed}
	t.req.If = append([]wire.Guard{{Key: p.key(), Version: p.ver}}, guards...)
	t.req.Then = writes
	c.txns = append(c.txns, t)
	c.sendTxn(t)
}

func (c *Core) sendTxn(t *txn) {
	t.out = true
	t.tries++
	c.callStore(StoreCall{Op: OpTxn, Txn: &t.req}, func(r *StoreReply) {
		t.out = false
		if t.over {
			return
		}
		switch {
		case r.Status == 200:
			t.over = true
			t.ok(r.Txn.Revision)
		case r.Status == 409 || r.Status == 400:
			// An earlier copy without an answer may have been carried out:
			// the mirror tells, once it is newer than this refusal.
			if r.Status == 400 {
				c.log(8, "transaction malformed", "error", r.Txn.Error)
			}
			t.settle = true
			c.settle(t)
		default:
			// Unknown, or not carried out: the same again.
			t.next = c.now + c.jitter(min(Second, Second/8<<min(t.tries, 4)))
		}
	})
}

func (c *Core) settle(t *txn) {
	c.read(func(ok bool) {
		switch {
		case t.over:
		case ok:
			t.over = true
			t.failed()
		default:
			t.next = c.now + c.jitter(Second/2)
		}
	})
}

// abandon fails a part's transactions: another term began, so that none of
// them can be carried out any more.
func (c *Core) abandon(p *part) {
	for _, t := range c.txns {
		if t.part == p.idx && !t.over {
			t.over = true
			t.failed()
		}
	}
}

type sentChunk struct {
	j   *job
	n   int
	gen uint64
	raw []byte
}

// batch gathers changes of several jobs into one transaction.
type batch struct {
	guards []wire.Guard
	writes []wire.Write
	bytes  int
	chunks []sentChunk
	jobs   []*job
	finals []*job
	states []finalRecord
}

// commit writes what was decided, several decisions to a transaction.
func (c *Core) commit() {
	live := c.txns[:0]
	for _, t := range c.txns {
		if t.over {
			continue
		}
		if !t.out && c.now >= t.next {
			t.next = c.now + Second
			if t.settle {
				c.settle(t)
			} else {
				c.sendTxn(t)
			}
		}
		live = append(live, t)
	}
	clear(c.txns[len(live):])
	c.txns = live
	if len(c.dirty) == 0 || !c.synced || len(c.txns) >= 8 {
		return
	}
	batches := make([]*batch, len(c.parts))
	for _, id := range sorted(c.dirty) {
		j := c.jobs[id]
		if j == nil || j.over || !c.parts[j.part].held {
			delete(c.dirty, id)
			continue
		}
		if j.busy {
			continue
		}
		b := batches[j.part]
		if b == nil {
			b = &batch{}
			batches[j.part] = b
		}
		if !c.gather(b, j) {
			c.sendBatch(c.parts[j.part], b)
			b = &batch{}
			batches[j.part] = b
			c.gather(b, j)
		}
	}
	for i, b := range batches {
		if b != nil {
			c.sendBatch(c.parts[i], b)
		}
	}
}

const maxTxnBytes = 40 << 10

// gather adds a job's changes; false where the batch has no room for it.
func (c *Core) gather(b *batch, j *job) bool {
	ops := c.set.Facts.State.TxnOps
	finished := !j.cancelled && j.spec.Kind != wire.Daemon && j.nDone == j.spec.Tasks
	if finished || j.cancelled && j.nPlaced == 0 {
		if len(b.writes)+2 > ops {
			return false
		}
		rec := finalRecord{State: wire.Done, Done: j.nDone}
		if j.cancelled {
			rec.State = wire.Cancelled
		}
		b.guards = append(b.guards, wire.Guard{Key: jobKey + j.id, Version: j.ver}, wire.Guard{Key: overKey + j.id})
		b.writes = append(b.writes, wire.Write{Put: overKey + j.id, Value: mustJSON(rec)}, wire.Write{Delete: jobKey + j.id})
		for _, n := range j.chunkList() {
			if ch := j.chunks[n]; ch.ver > 0 && len(b.writes) < ops {
				b.guards = append(b.guards, wire.Guard{Key: chunkKey(j.id, n), Version: ch.ver})
				b.writes = append(b.writes, wire.Write{Delete: chunkKey(j.id, n)})
			}
		}
		b.finals, b.states = append(b.finals, j), append(b.states, rec)
		b.jobs = append(b.jobs, j)
		j.busy = true
		return true
	}
	var list []int
	for _, n := range j.chunkList() {
		if ch := j.chunks[n]; ch.gen > ch.kept {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		delete(c.dirty, j.id)
		return true
	}
	if len(b.writes) > 0 && (len(b.writes)+len(list) > ops || b.bytes > maxTxnBytes/2) {
		return false
	}
	b.guards = append(b.guards, wire.Guard{Key: jobKey + j.id, Version: j.ver})
	for _, n := range list {
		ch := j.chunks[n]
		raw := ch.pack()
		if len(b.writes) >= ops || b.bytes+len(raw) > maxTxnBytes {
			break
		}
		b.bytes += len(raw) + 60
		b.guards = append(b.guards, wire.Guard{Key: chunkKey(j.id, n), Version: ch.ver})
		b.writes = append(b.writes, wire.Write{Put: chunkKey(j.id, n), Value: raw})
		b.chunks = append(b.chunks, sentChunk{j, n, ch.gen, raw})
	}
	b.jobs = append(b.jobs, j)
	j.busy = true
	return true
}

func (c *Core) sendBatch(p *part, b *batch) {
	if len(b.writes) == 0 {
		return
	}
	free := func() {
		for _, j := range b.jobs {
			j.busy = false
			// Before any machine reports: one that died first left the gang
			// taken for one still being placed, and it waited for ever.
			j.placing = j.placing && !j.committed()
			if c.jobs[j.id] == j {
				c.dirty[j.id] = true
			}
		}
	}
	c.guarded(p, b.guards, b.writes, func(rev uint64) {
		for _, s := range b.chunks {
			ch := s.j.chunks[s.n]
			ch.kept = max(ch.kept, s.gen)
			for i := range ch.tasks {
				if t := &ch.tasks[i]; t.state == placed && !t.shown && t.pushed == 0 {
					if m := c.machines[t.machine]; m != nil {
						m.pushAt = min(m.pushAt, c.now) // start it without waiting for a report
					}
				}
			}
			if ch.ver < rev {
				ch.ver, ch.raw = rev, s.raw
			}
		}
		for i, j := range b.finals {
			j.over = true
			c.finals.add(j.id, b.states[i])
			c.info("job over", "job", j.id, "state", b.states[i].State, "after_s", (c.now-j.at)/Second)
		}
		free()
		if len(b.finals) > 0 {
			c.read(func(bool) {})
		}
	}, func() {
		free()
		for _, s := range b.chunks {
			if c.jobs[s.j.id] == s.j {
				c.reload(s.j, s.n)
				s.j.placing = false
			}
		}
		c.early(Second / 10)
	})
}

// sweep deletes chunks left behind by jobs that are over.
func (c *Core) sweep(p *part) {
	if len(c.stray) == 0 || p.sweeping || c.now < p.sweepAt {
		return
	}
	var guards []wire.Guard
	var writes []wire.Write
	for _, key := range sorted(c.stray) {
		if len(writes) >= c.set.Facts.State.TxnOps {
			break
		}
		guards = append(guards, wire.Guard{Key: key, Version: c.stray[key]})
		writes = append(writes, wire.Write{Delete: key})
	}
	p.sweeping, p.sweepAt = true, c.now+2*Second
	free := func() { p.sweeping = false }
	c.guarded(p, guards, writes, func(rev uint64) {
		for _, g := range guards {
			delete(c.stray, g.Key)
		}
		free()
	}, free)
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own plain records: cannot fail
	}
	return b
}

// finals keeps the states of jobs lately over; the oldest give way.
type finals struct {
	state map[string]finalRecord
	ring  []string
	next  int
}

func newFinals(n int) *finals {
	return &finals{state: map[string]finalRecord{}, ring: make([]string, 0, n)}
}

func (f *finals) add(id string, rec finalRecord) {
	if _, ok := f.state[id]; ok {
		return
	}
	f.state[id] = rec
	if len(f.ring) < cap(f.ring) {
		f.ring = append(f.ring, id)
		return
	}
	delete(f.state, f.ring[f.next])
	f.ring[f.next] = id
	f.next = (f.next + 1) % len(f.ring)
}
