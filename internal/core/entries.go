package core

import (
	"slices"

	"spurmoor/internal/wire"
)

// builder fills the log entries of a flush.
type builder struct {
	c     *Core
	p     *partition
	f     *flush
	guard func(key string, ver uint64)
	conds int
	limit int // bytes of an entry
	most  int // entries
	slots int // new ones taken
	grow  bool
	seen  map[*task]bool
}

// openEntry begins an entry: in the oldest one's slot, with the rows and runs that
// only that still holds written anew in it first; or in a new slot, while the
// log is short or so full that what is written anew leaves little room. Where
// the oldest holds more than an entry may have now, for it was written when more
// was admitted, or its runs were broken up, part of that goes into a new slot:
// some flushes later the rest fits, and the log never stands still.
func (b *builder) openEntry() bool {
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
		if b.f.size == 0 || !b.openEntry() {
			return false
		}
	}
	return true
}

// held is what an entry alone still holds, and how many bytes that is. Of a run
// of tasks every second may be left, in as many runs.
func (b *builder) held(old entry) ([]machineRow, []sentTask, int) {
	rows, size := b.heldRows(old)
	var tasks []sentTask
	last := run{}
	for _, r := range old.runs {
		j := b.c.jobs[r.Job]
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
			if s.joins(last) {
				size -= last.size()
				last.N = last.count() + 1
			} else {
				last = s.run()
			}
			size += last.size()
		}
	}
	return rows, tasks, size
}

// heldRows is which machines' records an entry alone still holds, and their size.
func (b *builder) heldRows(old entry) ([]machineRow, int) {
	var rows []machineRow
	size := 0
	for _, r := range old.rows {
		here := origin{r.Epoch, b.p.idx, old.seq}
		if m := b.c.machines[r.Name]; m != nil && m.from == here {
			r = m.rec
		} else if t, ok := b.c.tombstones[r.Name]; !ok || t != here || b.c.rows[r.Name] <= 1 {
			continue
		}
		size += r.size()
		rows = append(rows, r)
	}
	return rows, size
}

// run gives a task as a run of one.
func (s sentTask) run() run {
	return run{Job: s.j.id, From: s.n, State: s.s.state, Attempt: s.s.attempt, Machine: s.s.machine}
}

// joins tells whether a task makes a run one longer.
func (s sentTask) joins(r run) bool {
	return r.Job == s.j.id && r.From+r.count() == s.n && (taskRecord{r.State, r.Attempt, r.Machine}) == s.s
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
// other partition's log went on unseen, which would change its oldest slot or
// begin a new one.
func (b *builder) fresh() {
	c, p := b.c, b.p
	adopts := false
	for _, n := range p.fresh {
		n.rows = slices.DeleteFunc(n.rows, func(r machineRow) bool { return c.machines[r.Name] != nil })
		if n.adopt && !adopts {
			if len(b.f.req.If)+3*len(c.partitions) > b.conds || b.most <= len(b.f.entries) {
				continue
			}
			adopts = true
			b.most--
			b.f.req.Then = append(b.f.req.Then, wire.Write{Put: adoptKey, Value: mustJSON(struct{}{})})
			for _, o := range c.partitions {
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
			n.rows[i].Epoch = c.tombstones[n.rows[i].Name].epoch + 1
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
		case opDelete:
			r.Gone = true
		case opDropRecord:
			r = machineRow{Name: r.Name, Cur: r.Cur, Dead: true, Epoch: r.Epoch + 1}
		case opRaiseToken:
			r.Token = 0
		case opLend:
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
				s := sentTask{j, k*chunkSize + i, t.gen, t.taskRecord, 0}
				if !b.room(b.sizeOf(s)) {
					return
				}
				b.seen[t] = true
				b.add(s)
			}
		}
	}
}
