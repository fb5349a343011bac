package core

import (
	"slices"
	"strconv"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/wire"
)

// txn is a conditional transaction that is repeated until its outcome is
// known.
type txn struct {
	req    wire.Txn
	over   bool
	next   int64
	out    bool
	tries  int
	settle bool // refused: the mirror is to be read before it fails
	ok     func(rev uint64)
	failed func()
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
			c.log(-4, "transaction refused", "status", r.Status, "failed", r.Txn.Failed)
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

// resend repeats the transactions whose outcome is not known.
func (c *Core) resend() {
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
}

// entry is what is kept of an entry of a part's log: which tasks it told of.
type entry struct {
	seq  uint64
	ver  uint64
	runs []run
}

// logged notes an entry; its place is by its number.
func (p *part) logged(seq, ver uint64, runs []run) {
	at, found := slices.BinarySearchFunc(p.log, seq, func(e entry, s uint64) int {
		switch {
		case e.seq < s:
			return -1
		case e.seq > s:
			return 1
		}
		return 0
	})
	if found {
		p.log[at] = entry{seq, ver, runs}
		return
	}
	p.log = slices.Insert(p.log, at, entry{seq, ver, runs})
}

// lastEntry is the newest entry of a part's log.
func (p *part) lastEntry() entry {
	if len(p.log) == 0 {
		return entry{}
	}
	return p.log[len(p.log)-1]
}

// newPage is a page of machines that a part is to record.
type newPage struct {
	rec   pageRecord
	adopt bool // strays: others' logs and rentals are guarded against
	then  func()
}

// flush is the one transaction of a part that is out: all that was decided,
// as far as it fits. It guards the part's key, that the newest entry of the
// log is the one known and that the next is not there. Entries are dropped
// oldest first and never the newest, so that of several copies of a flush at
// most one is ever carried out: once the entry it wrote was dropped, the one
// it guards was too.
type flush struct {
	*txn
	seq    uint64 // of its first entry
	logs   [][]run
	tasks  []sentTask
	finals []*job
	states []finalRecord
	ops    []sentOp
	pages  map[string]pageRecord // empty: dropped
	fresh  []*newPage
	drops  []uint64
}

type sentTask struct {
	j   *job
	n   int
	gen uint32
	s   standing
	seq uint64
}

type sentOp struct {
	m  *machine
	op machineOp
}

// Sizes of what is written. logKept entries stay before the oldest are
// written anew and dropped.
const (
	maxTxnBytes = 40 << 10
	logKept     = 100
	runBytes    = 90 // a run's longest form
)

// budget is how many changes a controller may make: a share of what the
// state service admits, by the parts held. Users' accepts and cancellations
// are not held back by it but count, so that they never wait behind flushes.
type budget struct {
	level float64
	at    int64
}

func (c *Core) refill() {
	held := 0
	for _, p := range c.parts {
		if p.held {
			held++
		}
	}
	s := c.set.Facts.State
	rate := s.WriteRPS * (0.1 + 0.65*float64(held)/float64(len(c.parts)))
	c.writes.level = min(max(rate, 6), c.writes.level+rate*float64(c.now-c.writes.at)/float64(Second))
	c.writes.at = c.now
}

// spend counts changes made for users.
func (c *Core) spend(n int) {
	c.writes.level = max(-c.set.Facts.State.WriteRPS/2, c.writes.level-float64(n))
}

// flushes sends each held part's next flush when there is something to
// commit, the last one is settled and the budget allows it.
func (c *Core) flushes() {
	c.resend()
	if !c.synced {
		return
	}
	c.refill()
	for k := range c.parts {
		// Each part first in turn.
		p := c.parts[(k+c.turn)%len(c.parts)]
		if !p.held || p.flush != nil || c.now < p.flushAt || len(p.dirty) == 0 && len(p.ops) == 0 && len(p.fresh) == 0 {
			continue
		}
		most := min(c.set.Facts.State.TxnOps, int(c.writes.level))
		if most < min(4, c.set.Facts.State.TxnOps) {
			return
		}
		if f := c.build(p, most); f != nil {
			c.writes.level -= float64(len(f.req.Then))
			p.flush, p.flushAt = f, c.now+Second/10
			c.txns = append(c.txns, f.txn)
			c.sendTxn(f.txn)
			c.turn++
		}
	}
}

// build gathers a part's flush in at most so many writes.
func (c *Core) build(p *part, most int) *flush {
	last := p.lastEntry()
	f := &flush{txn: &txn{}, seq: last.seq + 1, pages: map[string]pageRecord{}}
	conds := 4 * c.set.Facts.State.TxnOps
	bytes := 0
	guard := func(key string, ver uint64) { f.req.If = append(f.req.If, wire.Guard{Key: key, Version: ver}) }
	put := func(key string, v any) {
		b := mustJSON(v)
		bytes += len(b) + 80
		f.req.Then = append(f.req.Then, wire.Write{Put: key, Value: b})
	}
	guard(p.key(), p.ver)
	guard(entryKey(p.idx, last.seq), last.ver)
	guard(entryKey(p.idx, f.seq), 0)
	room := func(n int) bool {
		return len(f.req.Then)+n < most && len(f.req.If)+n < conds && bytes < maxTxnBytes*3/4
	}

	c.buildFresh(p, f, room, guard, put)
	ids := sorted(p.dirty)
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.over {
			delete(p.dirty, id)
			continue
		}
		finished := !j.cancelled && j.spec.Kind != wire.Daemon && j.nDone == j.spec.Tasks
		if !finished && !(j.cancelled && j.nPlaced == 0) {
			if j.nChanged == 0 {
				delete(p.dirty, id)
			}
			continue
		}
		if !room(2) {
			continue
		}
		rec := finalRecord{State: wire.Done, Done: j.nDone}
		if j.cancelled {
			rec.State = wire.Cancelled
		}
		guard(jobKey+id, j.ver)
		put(overKey+id, rec)
		f.req.Then = append(f.req.Then, wire.Write{Delete: jobKey + id})
		f.finals, f.states = append(f.finals, j), append(f.states, rec)
	}
	c.buildOps(p, f, room, guard, put)
	c.buildLog(p, f, ids, most, (maxTxnBytes+8<<10-bytes)/int(c.set.Facts.State.ValueKB*1000+80), guard)
	for i, runs := range f.logs {
		put(entryKey(p.idx, f.seq+uint64(i)), logRecord{runs})
	}
	for _, seq := range f.drops {
		f.req.Then = append(f.req.Then, wire.Write{Delete: entryKey(p.idx, seq)})
	}
	if len(f.finals) == 0 && len(f.ops) == 0 && len(f.fresh) == 0 && len(f.tasks) == 0 && len(f.drops) == 0 {
		return nil
	}
	f.ok = func(rev uint64) { c.flushed(p, rev) }
	f.failed = func() { c.unflushed(p) }
	return f
}

// buildFresh records machines rented and adopted. Adoptions and rentals
// exclude each other: an adoption changes a key that rentals guard, and
// guards that no other part's log went on unseen.
func (c *Core) buildFresh(p *part, f *flush, room func(int) bool, guard func(string, uint64), put func(string, any)) {
	left := p.fresh[:0]
	adopted := false
	for i, n := range p.fresh {
		n.rec.Machines = slices.DeleteFunc(n.rec.Machines, func(r pageMachine) bool { return c.machines[r.Name] != nil })
		if len(n.rec.Machines) == 0 {
			n.then()
			continue
		}
		extra := 1
		if n.adopt && !adopted {
			extra += 1 + 2*len(c.parts)
		}
		if !room(extra) {
			left = append(left, p.fresh[i:]...)
			break
		}
		if len(f.fresh) == 0 {
			guard(adoptKey, c.adoptVer)
		}
		if n.adopt && !adopted {
			adopted = true
			put(adoptKey, struct{}{})
			for _, o := range c.parts {
				if o == p {
					continue
				}
				if last := o.lastEntry(); last.seq > 0 {
					guard(entryKey(o.idx, last.seq), last.ver)
				}
				guard(entryKey(o.idx, o.lastEntry().seq+1), 0)
			}
		}
		key := c.pageName(p)
		put(key, n.rec)
		f.pages[key] = n.rec
		f.fresh = append(f.fresh, n)
		left = append(left, n)
	}
	clear(p.fresh[len(left):])
	p.fresh = left
}

// pageName names a new page; never used before, by this process's number.
func (c *Core) pageName(p *part) string {
	c.pageSeq++
	return pageKey + strconv.Itoa(p.idx) + "-" + strconv.FormatUint(c.inc, 36) + "-" + strconv.Itoa(c.pageSeq)
}

// buildOps rewrites the pages of machines whose records change.
func (c *Core) buildOps(p *part, f *flush, room func(int) bool, guard func(string, uint64), put func(string, any)) {
	byPage := map[string][]*machine{}
	left := p.ops[:0]
	for _, m := range p.ops {
		if m.op != opNone && c.machines[m.name] == m && m.rec.Cur == p.idx {
			left = append(left, m)
			byPage[m.page.key] = append(byPage[m.page.key], m)
		}
	}
	clear(p.ops[len(left):])
	p.ops = left
	for _, key := range sorted(byPage) {
		ms := byPage[key]
		pg := c.pages[key]
		if pg == nil {
			continue
		}
		to := map[int][]pageMachine{}
		ops := map[string]machineOp{}
		for _, m := range ms {
			ops[m.name] = m.op
		}
		first := c.machines[pg.names[0]].rec
		rec := pageRecord{Type: first.Type, Zone: first.Zone, Spot: first.Spot, Home: first.Home, Cur: p.idx}
		for _, name := range pg.names {
			m := c.machines[name]
			r := pageMachine{Name: name, At: m.rec.At, Gone: m.rec.Gone, Token: m.floor}
			switch ops[name] {
			case opGone:
				r.Gone = true
			case opForget:
				continue
			case opToken:
				r.Token = 0
			case opMove:
				r.Token = 0
				to[m.opTo] = append(to[m.opTo], r)
				continue
			}
			rec.Machines = append(rec.Machines, r)
		}
		if !room(1 + len(to)) {
			continue
		}
		guard(key, pg.ver)
		if len(rec.Machines) == 0 {
			f.req.Then = append(f.req.Then, wire.Write{Delete: key})
		} else {
			put(key, rec)
		}
		f.pages[key] = rec
		for i := range c.parts {
			if to[i] != nil {
				moved := rec
				moved.Cur, moved.Machines = i, to[i]
				k := c.pageName(c.parts[i])
				put(k, moved)
				f.pages[k] = moved
			}
		}
		for _, m := range ms {
			f.ops = append(f.ops, sentOp{m, m.op})
		}
	}
}

// buildLog writes what changed of tasks, and anew what the oldest entries
// alone still hold, so that these can go. A start guards its job's key: it
// and a cancellation cannot both win.
func (c *Core) buildLog(p *part, f *flush, ids []string, most, entries int, guard func(string, uint64)) {
	size, limit := 0, min(maxTxnBytes/2, int(c.set.Facts.State.ValueKB*1000)-200)
	f.logs = [][]run{nil}
	inFlush := map[*task]bool{}
	add := func(j *job, n int, t *task) bool {
		k := len(f.logs) - 1
		if last := len(f.logs[k]) - 1; last >= 0 {
			r := &f.logs[k][last]
			if r.Job == j.id && r.From+r.count() == n && (standing{r.State, r.Attempt, r.Machine}) == t.standing {
				r.N = r.count() + 1
				f.tasks = append(f.tasks, sentTask{j, n, t.gen, t.standing, f.seq + uint64(k)})
				return true
			}
		}
		if size+runBytes > limit {
			if len(f.req.Then)+len(f.logs) >= most || len(f.logs) >= entries {
				return false
			}
			f.logs, size, k = append(f.logs, nil), 0, k+1
		}
		size += runBytes - 30 + len(j.id) + len(t.machine)
		f.logs[k] = append(f.logs[k], run{Job: j.id, From: n, State: t.state, Attempt: t.attempt, Machine: t.machine})
		f.tasks = append(f.tasks, sentTask{j, n, t.gen, t.standing, f.seq + uint64(k)})
		return true
	}
	for _, id := range ids {
		j := c.jobs[id]
		if j == nil || j.nChanged == 0 || slices.Contains(f.finals, j) {
			continue
		}
		if len(f.req.If) >= 4*c.set.Facts.State.TxnOps-1 {
			break
		}
		guarded := false
		for _, k := range j.chunkList() {
			for i := range j.chunks[k] {
				t := &j.chunks[k][i]
				if !t.changed {
					continue
				}
				if !add(j, k*chunkSize+i, t) {
					return
				}
				inFlush[t] = true
				if t.state == placed && !guarded {
					guarded = true
					guard(jobKey+id, j.ver)
				}
			}
		}
	}
	// The oldest entries go, a few with each flush.
	for len(p.log)-len(f.drops) > logKept && len(f.drops) < 3 && len(f.req.Then)+len(f.logs)+len(f.drops) < most {
		e := p.log[len(f.drops)]
		for _, r := range e.runs {
			j := c.jobs[r.Job]
			if j == nil || j.over || slices.Contains(f.finals, j) {
				continue
			}
			for n := r.From; n < r.From+r.count() && n < j.spec.Tasks; n++ {
				t := j.touch(n)
				if t.logged != e.seq || inFlush[t] {
					continue
				}
				kept := *t
				kept.standing = t.kept
				if !add(j, n, &kept) {
					return
				}
				if t.changed { // what it became since is still to be committed
					f.tasks[len(f.tasks)-1].gen--
				}
				inFlush[t] = true
			}
		}
		f.drops = append(f.drops, e.seq)
	}
}

// flushed takes in that a part's flush was carried out.
func (c *Core) flushed(p *part, rev uint64) {
	f := p.flush
	if f == nil {
		return
	}
	p.flush, f.over = nil, true
	for i, runs := range f.logs {
		p.logged(f.seq+uint64(i), rev, runs)
	}
	p.log = slices.DeleteFunc(p.log, func(e entry) bool { return slices.Contains(f.drops, e.seq) })
	for _, s := range f.tasks {
		if c.jobs[s.j.id] != s.j {
			continue
		}
		t := s.j.touch(s.n)
		t.kept, t.logged = s.s, s.seq
		if t.changed && t.gen == s.gen {
			t.changed = false
			s.j.nChanged--
		}
		if t.state == placed && !t.changed && !t.shown && t.pushed == 0 {
			if m := c.machines[t.machine]; m != nil {
				m.pushAt = min(m.pushAt, c.now) // start it without waiting for a report
			}
		}
		// Before any machine reports: one that died first left the gang
		// taken for one still being placed, and it waited for ever.
		s.j.placing = s.j.placing && s.j.nChanged > 0
	}
	for i, j := range f.finals {
		j.over = true
		delete(p.dirty, j.id)
		c.finals.add(j.id, f.states[i])
		c.info("job over", "job", j.id, "state", f.states[i].State, "after_s", (c.now-j.at)/Second)
	}
	for _, s := range f.ops {
		if s.m.op == s.op {
			s.m.op = opNone
		}
	}
	for _, key := range sorted(f.pages) {
		// Unless the mirror is past it already: it may have changed since.
		if rev > c.rev {
			if len(f.pages[key].Machines) > 0 {
				c.applyPage(key, f.pages[key], rev)
			} else {
				c.drop(key, rev)
			}
		}
	}
	c.bury()
	p.fresh = slices.DeleteFunc(p.fresh, func(n *newPage) bool {
		sent := slices.Contains(f.fresh, n)
		if sent {
			n.then()
		}
		return sent
	})
	if len(f.finals) > 0 {
		c.read(func(bool) {})
	}
}

// unflushed takes in that a part's flush was refused for good: a job was
// cancelled meanwhile, say. The mirror is newer than the refusal, so the next
// flush says the same in the light of it. Strays can wait.
func (c *Core) unflushed(p *part) {
	p.fresh = slices.DeleteFunc(p.fresh, func(n *newPage) bool {
		if n.adopt {
			n.then()
		}
		return n.adopt
	})
	p.flush = nil
}

// ask wants a machine's record changed.
func (c *Core) ask(m *machine, op machineOp) {
	m.op = op
	p := c.parts[m.rec.Cur]
	p.ops = append(p.ops, m)
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
