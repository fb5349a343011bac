package core

import (
	"cmp"
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
	bad    bool // refused as malformed: too large, perhaps
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
				t.bad = true
			}
			c.log(-4, "transaction refused", "status", r.Status, "failed", r.Txn.Failed)
			t.settle = true
			c.settle(t)
		default:
			// Unknown, or not carried out: the same again. Even one refused may
			// be repeated by the network; built anew, each would be taken for
			// the other (random days).
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

// Sizes of what is written. A log has at least so many slots, and so many that
// what is written anew fills a quarter of an entry.
const (
	maxTxnBytes = 40 << 10
	minSlots    = 64
	entryBytes  = 60  // an entry without its runs and rows
	rowBytes    = 160 // a row, at the most, without its names
	keptShare   = 4
)

// size is how many bytes a row takes in an entry.
func (r machineRow) size() int { return len(mustJSON(r)) + 1 }

// size is how many bytes a run takes in an entry.
func (r run) size() int {
	n := len(`{"j":""},`) + len(r.Job)
	for _, v := range []uint64{uint64(r.From), uint64(r.N), uint64(r.State), r.Attempt} {
		if v > 0 {
			n += len(`,"f":`) + len(strconv.FormatUint(v, 10))
		}
	}
	if r.Machine != "" {
		n += len(`,"m":""`) + len(r.Machine)
	}
	return n
}

// budget is how many changes a controller may make: a share of what the
// state service admits, by the parts held. Users' accepts and cancellations
// are not held back by it but count, so that they never wait behind flushes.
type budget struct {
	level  float64
	at     int64
	most   float64 // that it may hold
	sum    float64 // spent in all
	told   float64 // of it, when it was looked at last
	toldAt int64
	rate   float64 // spent a second of late
}

// flushWait is how long a flush may wait for its budget to hold all ends that are
// due, as far as a transaction does: each costs an entry beside them. With four
// one-task jobs a second over 18 changes the entries took what the ends needed.
const flushWait = Second * 8 / 5

// cancelledWait is how long the final state of a cancelled job may wait for a budget
// that others need.
const cancelledWait = 300 * Second

// share is how many changes a second we may make: a fixed share, by the parts held,
// and what the others said they do not use. All the same may want it at once: then
// some are refused and repeated until each has heard of the others.
func (c *Core) share() float64 {
	held := 0
	for _, p := range c.parts {
		if p.held {
			held++
		}
	}
	all := c.set.Facts.State.WriteRPS
	fixed := all * (0.1 + 0.65*float64(held)/float64(len(c.parts)))
	free := 0.9 * all
	for _, node := range c.set.Nodes {
		if node == c.set.Node {
			continue
		}
		h := c.heartbeats[node]
		if h == nil || c.now > h.at+3*Second || h.writes == 0 {
			return fixed // not known: one that was not heard may use its share
		}
		free -= max(h.writes*1.2, 0.1*all)
	}
	return max(fixed, min(free, 0.8*all))
}

func (c *Core) refill() {
	rate := c.share()
	c.writes.most = max(rate, 6)
	c.writes.level = min(c.writes.most, c.writes.level+rate*float64(c.now-c.writes.at)/float64(Second))
	c.writes.at = c.now
}

// spend counts changes made for users.
func (c *Core) spend(n int) {
	c.writes.sum += float64(n)
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
		if !p.held || p.flush != nil || c.now < p.flushed+Second/10 || len(p.dirty) == 0 && len(p.ops) == 0 && len(p.fresh) == 0 {
			continue
		}
		most := min(c.set.Facts.State.TxnOps, int(c.writes.level))
		if most < min(4, c.set.Facts.State.TxnOps) {
			return
		}
		if f := c.build(p, most); f != nil {
			c.writes.level -= float64(len(f.req.Then))
			c.writes.sum += float64(len(f.req.Then))
			p.flush, p.flushed = f, c.now
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
	most = max(3, most>>p.tight)
	conds := 4 * c.set.Facts.State.TxnOps
	guard := func(key string, ver uint64) { f.req.If = append(f.req.If, wire.Guard{Key: key, Version: ver}) }
	guard(p.key(), p.ver)
	ids := sorted(p.dirty)
	var ends []*job
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
		if j.endedAt == 0 {
			j.endedAt = c.now
		}
		ends = append(ends, j)
	}
	if want := min(2*len(ends)+2, c.set.Facts.State.TxnOps); most < min(want, int(c.writes.most)) && c.now < p.flushed+flushWait {
		return nil
	}
	slices.SortStableFunc(ends, c.compareEnds)
	for _, j := range ends {
		id := j.id
		if len(f.req.Then)+2+1 > most || len(f.req.If)+2 > conds/2 {
			continue
		}
		if j.cancelled && float64(most) < c.writes.most*0.7 && c.now < j.endedAt+cancelledWait {
			continue // its user was told without it: others' ends need the budget
		}
		rec := finalRecord{State: wire.Done, Done: j.nDone, At: j.endedAt}
		if j.cancelled {
			rec.State = wire.Cancelled
		}
		guard(jobKey+id, j.ver)
		f.req.Then = append(f.req.Then, wire.Write{Put: overKey + id, Value: mustJSON(rec)}, wire.Write{Delete: jobKey + id})
		f.finals, f.states = append(f.finals, j), append(f.states, rec)
	}
	limit := min(maxTxnBytes/2, c.maxValue()-entryBytes) >> p.tight
	b := &builder{c: c, p: p, f: f, guard: guard, conds: conds, limit: limit, seen: map[*task]bool{}}
	b.most = min(most-len(f.req.Then), maxTxnBytes/b.limit)
	if b.open() {
		b.fresh()
		b.ops()
		b.tasks(ids)
	}
	if len(f.finals) == 0 && len(f.ops) == 0 && len(f.fresh) == 0 && len(f.tasks) == 0 {
		return nil
	}
	for _, e := range f.entries {
		f.req.Then = append(f.req.Then, wire.Write{Put: slotKey(p.idx, e.slot), Value: mustJSON(logRecord{e.seq, e.runs, e.rows})})
	}
	f.ok = func(rev uint64) { c.flushed(p, rev) }
	f.failed = func() { c.unflushed(p) }
	return f
}

// compareEnds orders final states: first of jobs that others wait for, then of
// those done, in the order of their ends. In the order of their names the last
// once waited for a hundred seconds.
func (c *Core) compareEnds(a, b *job) int {
	class := func(j *job) int {
		switch {
		case j.cancelled:
			return 2 // told without it
		case c.needs[j.id] != nil:
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.endedAt, b.endedAt))
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
	grow  bool
	seen  map[*task]bool
}

// open begins an entry: in the oldest one's slot, with the rows and runs that
// only that still holds written anew in it first; or in a new slot, while the
// log is short or so full that what is written anew leaves little room. Where
// the oldest holds more than an entry may have now, for it was written when more
// was admitted, or its runs were broken up, part of that goes into a new slot:
// some flushes later the rest fits, and the log never stands still.
func (b *builder) open() bool {
	k := len(b.f.entries)
	if k >= b.most {
		return false
	}
	e := entry{seq: 1}
	if n := len(b.p.log); n > 0 {
		e.seq = b.p.log[n-1].seq + 1 + uint64(k)
	}
	reused := k - b.slots
	b.f.size = 0
	var rows []machineRow
	var tasks []sentTask
	fresh := b.grow || len(b.p.log)-reused < minSlots
	if !fresh {
		old := b.p.log[reused]
		size := 0
		if rows, tasks, size = b.held(old); size > b.limit {
			fresh, b.grow = true, true
		} else {
			e.slot = old.slot
			b.grow = size > b.limit/keptShare
		}
	}
	if fresh {
		e.slot = len(b.p.log) + b.slots
		b.slots++
	}
	b.f.entries = append(b.f.entries, e)
	if k == 0 {
		for _, o := range b.p.log {
			if o.slot == e.slot {
				b.f.was = o.ver
			}
		}
		b.guard(slotKey(b.p.idx, e.slot), b.f.was)
	}
	for _, r := range rows {
		if b.f.size+r.size() > b.limit {
			return true
		}
		b.row(r)
	}
	for _, s := range tasks {
		if b.f.size+b.sizeOf(s) > b.limit {
			return true
		}
		b.seen[s.j.touch(s.n)] = true
		b.add(s)
	}
	return true
}

// room has room for so many bytes, in a new entry if need be.
func (b *builder) room(n int) bool {
	for b.f.size+n > b.limit {
		if b.f.size == 0 || !b.open() {
			return false
		}
	}
	return true
}

// held is what an entry alone still holds, and how many bytes that is. Of a run
// of tasks every second may be left, in as many runs.
func (b *builder) held(old entry) ([]machineRow, []sentTask, int) {
	c, p := b.c, b.p
	var rows []machineRow
	var tasks []sentTask
	size := 0
	for _, r := range old.rows {
		here := origin{r.Epoch, p.idx, old.seq}
		if m := c.machines[r.Name]; m != nil && m.from == here {
			r = m.rec
		} else if t, ok := c.tombs[r.Name]; !ok || t != here || c.rows[r.Name] <= 1 {
			continue
		}
		size += r.size()
		rows = append(rows, r)
	}
	last := run{}
	for _, r := range old.runs {
		j := c.jobs[r.Job]
		if j == nil || j.over || slices.Contains(b.f.finals, j) {
			continue
		}
		for n := r.From; n < r.From+r.count() && n < j.spec.Tasks; n++ {
			t := j.touch(n)
			if t.logged != old.seq || b.seen[t] {
				continue
			}
			gen := t.gen
			if t.changed {
				gen-- // what it became since is still to be committed
			}
			s := sentTask{j, n, gen, t.kept, 0}
			tasks = append(tasks, s)
			before := last.size()
			if s.joins(last) {
				last.N = last.count() + 1
				size += last.size() - before
			} else {
				last = s.run()
				size += last.size()
			}
		}
	}
	return rows, tasks, size
}

// run gives a task as a run of one.
func (s sentTask) run() run {
	return run{Job: s.j.id, From: s.n, State: s.s.state, Attempt: s.s.attempt, Machine: s.s.machine}
}

// joins tells whether a task makes a run one longer.
func (s sentTask) joins(r run) bool {
	return r.Job == s.j.id && r.From+r.count() == s.n && (standing{r.State, r.Attempt, r.Machine}) == s.s
}

// sizeOf is how many bytes a task takes at the most.
func (b *builder) sizeOf(s sentTask) int { return s.run().size() }

// add logs a task in the last entry, joined to the run before if it is like it.
func (b *builder) add(s sentTask) {
	last := &b.f.entries[len(b.f.entries)-1]
	s.seq = last.seq
	b.f.tasks = append(b.f.tasks, s)
	if k := len(last.runs) - 1; k >= 0 && s.joins(last.runs[k]) {
		r := &last.runs[k]
		b.f.size -= r.size()
		r.N = r.count() + 1
		b.f.size += r.size()
		return
	}
	b.f.size += s.run().size()
	last.runs = append(last.runs, s.run())
}

func (b *builder) row(r machineRow) {
	last := &b.f.entries[len(b.f.entries)-1]
	last.rows = append(last.rows, r)
	b.f.size += r.size()
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
		for i := range n.rows {
			n.rows[i].Epoch = c.tombs[n.rows[i].Name].epoch + 1
			size += n.rows[i].size()
		}
		if !b.room(size) {
			break
		}
		if len(b.f.fresh) == 0 {
			b.guard(adoptKey, c.adoptVer)
		}
		for _, r := range n.rows {
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
		if !b.room(r.size()) {
			return
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
				s := sentTask{j, k*chunkSize + i, t.gen, t.standing, 0}
				if !b.room(b.sizeOf(s)) {
					return
				}
				b.seen[t] = true
				b.add(s)
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
		c.learn(j.id, f.states[i].outcome(), f.states[i].At)
		c.info("job over", "job", j.id, "team", j.spec.Team, "class", j.spec.Class, "state", f.states[i].State,
			"after_s", (c.now-j.at)/Second, "deadline_s", j.spec.DeadlineS)
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
	if p.flush.bad {
		// Less is admitted than we were told: never the same again.
		p.tight = min(p.tight+1, 3)
	}
	p.flush = nil
}

// ask wants a machine's record changed.
func (c *Core) ask(m *machine, op machineOp) {
	m.op = op
	p := c.parts[m.rec.Cur]
	p.ops = append(p.ops, m)
}

// maxValue is the longest value written, in bytes.
func (c *Core) maxValue() int { return int(c.set.Facts.State.ValueKB * 1000) }

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
