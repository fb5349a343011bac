package core

import (
	"cmp"
	"slices"

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

// entry is an entry of a part's log.
type entry struct {
	seq  uint64
	slot int
	ver  uint64
	runs []run
	rows []machineRow
}

// logged notes an entry in the place of what its slot held before.
func (c *Core) logged(p *part, e entry) {
	for _, r := range e.rows {
		c.rows[r.Name]++
	}
	p.log = slices.DeleteFunc(p.log, func(o entry) bool {
		if o.slot != e.slot {
			return false
		}
		for _, r := range o.rows {
			if c.rows[r.Name]--; c.rows[r.Name] == 0 {
				delete(c.rows, r.Name)
				delete(c.tombs, r.Name)
			}
		}
		return true
	})
	at, _ := slices.BinarySearchFunc(p.log, e.seq, func(o entry, seq uint64) int { return cmp.Compare(o.seq, seq) })
	p.log = slices.Insert(p.log, at, e)
}

// flush is the one transaction of a part that is out: all that was decided,
// as far as it fits. It guards the part's key and the version of the slot that
// its first entry goes to, which never comes back: of several copies at most
// one is ever carried out.
type flush struct {
	*txn
	was     uint64 // version of its first slot before
	entries []entry
	size    int // of the last entry
	tasks   []sentTask
	finals  []*job
	states  []finalRecord
	ops     []sentOp
	fresh   []*newMachines
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

// newMachines are machines that a part is to record.
type newMachines struct {
	rows  []machineRow
	adopt bool // strays: others' logs and rentals are guarded against
	then  func()
}

// Sizes of what is written. A log has at least so many slots.
const (
	maxTxnBytes = 40 << 10
	minSlots    = 64
	runBytes    = 60 // a run without its names
	rowBytes    = 110
)

func (r machineRow) size() int { return rowBytes + len(r.Name) + len(r.Type) + len(r.Zone) }

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

// build gathers a part's flush in at most so many writes: finals first, for
// their users wait, then machines, then tasks, of which a flush may hold
// thousands.
func (c *Core) build(p *part, most int) *flush {
	f := &flush{txn: &txn{}}
	conds := 4 * c.set.Facts.State.TxnOps
	guard := func(key string, ver uint64) { f.req.If = append(f.req.If, wire.Guard{Key: key, Version: ver}) }
	guard(p.key(), p.ver)
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
		if len(f.req.Then)+2+min(2, most-2) > most || len(f.req.If)+2 > conds/2 {
			continue
		}
		rec := finalRecord{State: wire.Done, Done: j.nDone}
		if j.cancelled {
			rec.State = wire.Cancelled
		}
		guard(jobKey+id, j.ver)
		f.req.Then = append(f.req.Then, wire.Write{Put: overKey + id, Value: mustJSON(rec)}, wire.Write{Delete: jobKey + id})
		f.finals, f.states = append(f.finals, j), append(f.states, rec)
	}
	b := &builder{c: c, p: p, f: f, guard: guard, conds: conds, limit: min(maxTxnBytes/2, int(c.set.Facts.State.ValueKB*1000)-400)}
	b.most = min(most-len(f.req.Then), maxTxnBytes/b.limit)
	b.seen = map[*task]bool{}
	if b.open(false) {
		b.fresh()
		b.ops()
		b.tasks(ids)
	}
	if b.full || len(f.finals) == 0 && len(f.ops) == 0 && len(f.fresh) == 0 && len(f.tasks) == 0 {
		return nil // where it is full, finals and budget leave more room next time
	}
	for _, e := range f.entries {
		f.req.Then = append(f.req.Then, wire.Write{Put: slotKey(p.idx, e.slot), Value: mustJSON(logRecord{e.seq, e.runs, e.rows})})
	}
	f.ok = func(rev uint64) { c.flushed(p, rev) }
	f.failed = func() { c.unflushed(p) }
	return f
}

// builder fills the log entries of a flush.
type builder struct {
	c     *Core
	p     *part
	f     *flush
	guard func(key string, ver uint64)
	conds int
	limit int // bytes of an entry
	most  int // entries
	slots int // new ones taken
	kept  int // bytes written anew into the last entry
	seen  map[*task]bool
	full  bool // what must be written anew does not fit
}

// open begins an entry: in a new slot while the log is short or so full that
// what is written anew leaves little room, else in the oldest entry's, whose
// rows and runs that still hold go into it first.
func (b *builder) open(grow bool) bool {
	k := len(b.f.entries)
	if k >= b.most {
		return false
	}
	e := entry{seq: 1}
	if n := len(b.p.log); n > 0 {
		e.seq = b.p.log[n-1].seq + 1 + uint64(k)
	}
	reused := k - b.slots
	b.f.size, b.kept = 30, 0
	if grow || len(b.p.log)-reused < minSlots {
		e.slot = len(b.p.log) + b.slots
		b.slots++
		b.f.entries = append(b.f.entries, e)
	} else {
		old := b.p.log[reused]
		e.slot = old.slot
		b.f.entries = append(b.f.entries, e)
		if !b.keep(old) {
			b.full = true
			return false
		}
	}
	if k == 0 {
		e := b.f.entries[0]
		for _, o := range b.p.log {
			if o.slot == e.slot {
				b.f.was = o.ver
			}
		}
		b.guard(slotKey(b.p.idx, e.slot), b.f.was)
	}
	return true
}

// room has room for so many bytes, in a new entry if need be.
func (b *builder) room(n int) bool {
	for b.f.size+n > b.limit {
		if !b.open(b.kept > b.limit/2) {
			return false
		}
	}
	b.f.size += n
	return true
}

// keep writes anew what an entry alone still holds; what does not fit beside it
// goes into a new slot. Of a run of tasks every second may be left, in as many
// runs: such an entry was too large for the state service once it was full.
func (b *builder) keep(old entry) bool {
	c, p := b.c, b.p
	fits := func(n int) bool { return b.f.size+n <= b.limit || b.open(true) }
	for _, r := range old.rows {
		here := origin{r.Epoch, p.idx, old.seq}
		if m := c.machines[r.Name]; m != nil && m.from == here {
			r = m.rec
		} else if t, ok := c.tombs[r.Name]; !ok || t != here || c.rows[r.Name] <= 1 {
			continue
		}
		if !fits(r.size()) {
			return false
		}
		b.row(r)
		b.f.size += r.size()
	}
	for _, r := range old.runs {
		j := c.jobs[r.Job]
		if j == nil || j.over || slices.Contains(b.f.finals, j) {
			continue
		}
		for n := r.From; n < r.From+r.count() && n < j.spec.Tasks; n++ {
			if t := j.touch(n); t.logged == old.seq && !b.seen[t] {
				gen := t.gen
				if t.changed {
					gen-- // what it became since is still to be committed
				}
				if !fits(runBytes + len(j.id) + len(t.kept.machine)) {
					return false
				}
				b.add(sentTask{j, n, gen, t.kept, 0})
			}
		}
	}
	b.kept = b.f.size
	return true
}

// add logs a task in the last entry, joined to the run before if it is like it.
func (b *builder) add(s sentTask) {
	last := &b.f.entries[len(b.f.entries)-1]
	s.seq = last.seq
	b.f.tasks = append(b.f.tasks, s)
	if k := len(last.runs) - 1; k >= 0 {
		r := &last.runs[k]
		if r.Job == s.j.id && r.From+r.count() == s.n && (standing{r.State, r.Attempt, r.Machine}) == s.s {
			r.N = r.count() + 1
			return
		}
	}
	b.f.size += runBytes + len(s.j.id) + len(s.s.machine)
	last.runs = append(last.runs, run{Job: s.j.id, From: s.n, State: s.s.state, Attempt: s.s.attempt, Machine: s.s.machine})
}

func (b *builder) row(r machineRow) {
	last := &b.f.entries[len(b.f.entries)-1]
	last.rows = append(last.rows, r)
}

// fresh records machines rented and adopted. Adoptions and rentals exclude
// each other: an adoption changes a key that rentals guard, and guards that no
// other part's log went on unseen, which would change its oldest slot or
// begin a new one.
func (b *builder) fresh() {
	c, p := b.c, b.p
	adopts := false
	for _, n := range p.fresh {
		n.rows = slices.DeleteFunc(n.rows, func(r machineRow) bool { return c.machines[r.Name] != nil })
		if n.adopt && !adopts {
			if len(b.f.req.If)+3*len(c.parts) > b.conds || b.most <= len(b.f.entries) {
				continue
			}
			adopts = true
			b.most--
			b.f.req.Then = append(b.f.req.Then, wire.Write{Put: adoptKey, Value: mustJSON(struct{}{})})
			for _, o := range c.parts {
				if o == p {
					continue
				}
				b.guard(slotKey(o.idx, len(o.log)), 0)
				if len(o.log) > 0 {
					b.guard(slotKey(o.idx, o.log[0].slot), o.log[0].ver)
				}
			}
		}
		size := 0
		for _, r := range n.rows {
			size += r.size()
		}
		if !b.room(size) {
			break
		}
		if len(b.f.fresh) == 0 {
			b.guard(adoptKey, c.adoptVer)
		}
		for _, r := range n.rows {
			r.Epoch = c.tombs[r.Name].epoch + 1
			b.row(r)
		}
		b.f.fresh = append(b.f.fresh, n)
	}
}

// ops records what is to become of machines.
func (b *builder) ops() {
	left := b.p.ops[:0]
	for _, m := range b.p.ops {
		if m.op != opNone && b.c.machines[m.name] == m && m.rec.Cur == b.p.idx {
			left = append(left, m)
		}
	}
	clear(b.p.ops[len(left):])
	b.p.ops = left
	for _, m := range left {
		if !b.room(m.rec.size()) {
			return
		}
		r := m.rec
		switch m.op {
		case opGone:
			r.Gone = true
		case opForget:
			r = machineRow{Name: r.Name, Cur: r.Cur, Dead: true, Epoch: r.Epoch + 1}
		case opToken:
			r.Token = 0
		case opMove:
			r.Cur, r.Token = m.opTo, 0
			r.Epoch++
		}
		b.row(r)
		b.f.ops = append(b.f.ops, sentOp{m, m.op})
	}
}

// tasks logs what changed of tasks. A start guards its job's key: it and a
// cancellation cannot both win.
func (b *builder) tasks(ids []string) {
	for _, id := range ids {
		j := b.c.jobs[id]
		if j == nil || j.nChanged == 0 || slices.Contains(b.f.finals, j) {
			continue
		}
		guarded := false
		for _, k := range j.chunkList() {
			for i := range j.chunks[k] {
				t := &j.chunks[k][i]
				if !t.changed {
					continue
				}
				if t.state == placed && !guarded {
					if len(b.f.req.If) >= b.conds {
						continue
					}
					guarded = true
					b.guard(jobKey+id, j.ver)
				}
				n := runBytes + len(id) + len(t.machine)
				if !b.room(n) {
					return
				}
				b.f.size -= n // add counts it, unless it joins the run before
				b.seen[t] = true
				b.add(sentTask{j, k*chunkSize + i, t.gen, t.standing, 0})
			}
		}
	}
}

// flushed takes in that a part's flush was carried out.
func (c *Core) flushed(p *part, rev uint64) {
	f := p.flush
	if f == nil {
		return
	}
	p.flush, f.over = nil, true
	for _, e := range f.entries {
		e.ver = rev
		c.logged(p, e)
	}
	for _, s := range f.ops {
		if s.m.op == s.op {
			s.m.op = opNone
		}
	}
	for _, e := range f.entries {
		for _, r := range e.rows {
			c.applyRow(r, origin{r.Epoch, p.idx, e.seq}, rev)
		}
	}
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
	p.fresh = slices.DeleteFunc(p.fresh, func(n *newMachines) bool {
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
	p.fresh = slices.DeleteFunc(p.fresh, func(n *newMachines) bool {
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
