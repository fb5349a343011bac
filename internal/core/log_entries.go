package core

import (
	"slices"

	"spurmoor/internal/api"
)

// entryBuilder fills the log entries of a flush.
type entryBuilder struct {
	log         *partitionLog
	partition   *partition
	commit      *logCommit
	compare     func(key string, ver uint64)
	maxCompares int
	entryLimit  int // bytes of an entry
	maxEntries  int // entries
	newSlots    int // new ones taken
	growLog     bool
	included    map[*task]bool
}

// openEntry begins an entry: in the oldest one's slot, with the rows and runs that
// only that still holds written anew in it first; or in a new slot, while the
// log is short or so full that what is written anew leaves little room. Where
// the oldest holds more than an entry may have now, for it was written when more
// was admitted, or its runs were broken up, part of that goes into a new slot:
// some flushes later the rest fits, and the log never stands still.
func (b *entryBuilder) openEntry() bool {
	k := len(b.commit.entries)
	if k >= b.maxEntries {
		return false
	}
	e := logEntry{sequence: 1}
	if n := len(b.partition.log); n > 0 {
		e.sequence = b.partition.log[n-1].sequence + 1 + uint64(k)
	}
	reused := k - b.newSlots
	b.commit.lastEntrySize = 0
	var rows []machineRecord
	var tasks []taskChange
	fresh := b.growLog || len(b.partition.log)-reused < minLogSlots
	if !fresh {
		old := b.partition.log[reused]
		size := 0
		if rows, tasks, size = b.carriedOver(old); size > b.entryLimit {
			fresh, b.growLog = true, true
		} else {
			e.slot = old.slot
			b.growLog = size > b.entryLimit/carriedOverShare
		}
	}
	if fresh {
		e.slot = len(b.partition.log) + b.newSlots
		b.newSlots++
	}
	b.commit.entries = append(b.commit.entries, e)
	if k == 0 {
		for _, o := range b.partition.log {
			if o.slot == e.slot {
				b.commit.previousSlotVersion = o.version
			}
		}
		b.compare(slotKey(b.partition.index, e.slot), b.commit.previousSlotVersion)
	}
	for _, r := range rows {
		if b.commit.lastEntrySize+r.encodedSize() > b.entryLimit {
			return true
		}
		b.addMachine(r)
	}
	for _, s := range tasks {
		if b.commit.lastEntrySize+b.sizeOf(s) > b.entryLimit {
			return true
		}
		b.included[s.job.ensureTask(s.index)] = true
		b.addTask(s)
	}
	return true
}

// reserveSpace has room for so many bytes, in a new entry if need be.
func (b *entryBuilder) reserveSpace(n int) bool {
	for b.commit.lastEntrySize+n > b.entryLimit {
		if b.commit.lastEntrySize == 0 || !b.openEntry() {
			return false
		}
	}
	return true
}

// carriedOver is what an entry alone still holds, and how many bytes that is. Of a run
// of tasks every second may be left, in as many runs.
func (b *entryBuilder) carriedOver(old logEntry) ([]machineRecord, []taskChange, int) {
	rows, size := b.carriedOverMachines(old)
	var tasks []taskChange
	last := taskRun{}
	for _, r := range old.runs {
		j := b.log.cluster.jobs[r.Job]
		if j == nil || j.terminal || slices.Contains(b.commit.terminalJobs, j) {
			continue
		}
		for n := r.First; n < r.First+r.taskCount() && n < j.spec.Tasks; n++ {
			t := j.ensureTask(n)
			if t.loggedIn != old.sequence || b.included[t] {
				continue
			}
			gen := t.generation
			if t.changed {
				gen-- // what it became since is still to be committed
			}
			s := taskChange{job: j, index: n, generation: gen, record: t.committed, sequence: 0}
			tasks = append(tasks, s)
			if s.extends(last) {
				size -= last.encodedSize()
				last.Tasks = last.taskCount() + 1
			} else {
				last = s.asRun()
			}
			size += last.encodedSize()
		}
	}
	return rows, tasks, size
}

// carriedOverMachines is which machines' records an entry alone still holds, and their size.
func (b *entryBuilder) carriedOverMachines(old logEntry) ([]machineRecord, int) {
	var rows []machineRecord
	size := 0
	for _, r := range old.machines {
		here := recordOrigin{epoch: r.Epoch, partition: b.partition.index, sequence: old.sequence}
		if m := b.log.cluster.machines[r.Name]; m != nil && m.origin == here {
			r = m.record
		} else if t, ok := b.log.cluster.tombstones[r.Name]; !ok || t != here || b.log.cluster.logReferences[r.Name] <= 1 {
			continue
		}
		size += r.encodedSize()
		rows = append(rows, r)
	}
	return rows, size
}

// asRun gives a task as a run of one.
func (s taskChange) asRun() taskRun {
	return taskRun{Job: s.job.id, First: s.index, State: s.record.state, Attempt: s.record.attempt, Machine: s.record.machine}
}

// extends tells whether a task makes a run one longer.
func (s taskChange) extends(r taskRun) bool {
	return r.Job == s.job.id && r.First+r.taskCount() == s.index && (taskRecord{state: r.State, attempt: r.Attempt, machine: r.Machine}) == s.record
}

// sizeOf is how many bytes a task takes at the most.
func (b *entryBuilder) sizeOf(s taskChange) int { return s.asRun().encodedSize() }

// addTask logs a task in the last entry, joined to the run before if it is like it.
func (b *entryBuilder) addTask(s taskChange) {
	last := &b.commit.entries[len(b.commit.entries)-1]
	s.sequence = last.sequence
	b.commit.tasks = append(b.commit.tasks, s)
	if k := len(last.runs) - 1; k >= 0 && s.extends(last.runs[k]) {
		r := &last.runs[k]
		b.commit.lastEntrySize -= r.encodedSize()
		r.Tasks = r.taskCount() + 1
		b.commit.lastEntrySize += r.encodedSize()
		return
	}
	b.commit.lastEntrySize += s.asRun().encodedSize()
	last.runs = append(last.runs, s.asRun())
}

func (b *entryBuilder) addMachine(r machineRecord) {
	last := &b.commit.entries[len(b.commit.entries)-1]
	last.machines = append(last.machines, r)
	b.commit.lastEntrySize += r.encodedSize()
}

// addNewMachines records machines rented and adopted. Adoptions and rentals exclude
// each other: an adoption changes a key that rentals guard, and guards that no
// other partition's log went on unseen, which would change its oldest slot or
// begin a new one.
func (b *entryBuilder) addNewMachines() {
	log, p := b.log, b.partition
	adopts := false
	for _, n := range p.machineBatches {
		n.records = slices.DeleteFunc(n.records, func(r machineRecord) bool { return log.cluster.machines[r.Name] != nil })
		if n.adopt && !adopts {
			if len(b.commit.request.Compares)+3*len(log.cluster.partitions) > b.maxCompares || b.maxEntries <= len(b.commit.entries) {
				continue
			}
			adopts = true
			b.maxEntries--
			b.commit.request.Writes = append(b.commit.request.Writes, api.Write{Put: adoptionKey, Value: mustMarshal(struct{}{})})
			for _, o := range log.cluster.partitions {
				if o == p {
					continue
				}
				b.compare(slotKey(o.index, len(o.log)), 0)
				if len(o.log) > 0 {
					b.compare(slotKey(o.index, o.log[0].slot), o.log[0].version)
				}
			}
		}
		size := 0
		for i := range n.records {
			n.records[i].Epoch = log.cluster.tombstones[n.records[i].Name].epoch + 1
			size += n.records[i].encodedSize()
		}
		if !b.reserveSpace(size) {
			break
		}
		if len(b.commit.machineBatches) == 0 {
			b.compare(adoptionKey, log.cluster.adoptionVersion)
		}
		for _, r := range n.records {
			b.addMachine(r)
		}
		b.commit.machineBatches = append(b.commit.machineBatches, n)
	}
}

// addRecordChanges records what is to become of machines.
func (b *entryBuilder) addRecordChanges() {
	left := b.partition.recordChanges[:0]
	for _, m := range b.partition.recordChanges {
		if m.pendingChange != noRecordChange && b.log.cluster.machines[m.name] == m && m.record.Partition == b.partition.index {
			left = append(left, m)
		}
	}
	clear(b.partition.recordChanges[len(left):])
	b.partition.recordChanges = left
	for _, m := range left {
		r := m.record
		switch m.pendingChange {
		case condemnRecord:
			r.Condemned = true
		case dropRecord:
			r = machineRecord{Name: r.Name, Partition: r.Partition, Deleted: true, Epoch: r.Epoch + 1}
		case raiseToken:
			r.MinToken = 0
		case transferRecord:
			r.Partition, r.MinToken = m.transferTo, 0
			r.Epoch++
		}
		if !b.reserveSpace(r.encodedSize()) {
			return
		}
		b.addMachine(r)
		b.commit.recordChanges = append(b.commit.recordChanges, recordChange{machine: m, kind: m.pendingChange})
	}
}

// addTaskChanges logs what changed of tasks. A start guards its job's key: it and a
// cancellation cannot both win.
func (b *entryBuilder) addTaskChanges(ids []string) {
	for _, id := range ids {
		j := b.log.cluster.jobs[id]
		if j == nil || j.changedTasks == 0 || slices.Contains(b.commit.terminalJobs, j) {
			continue
		}
		guarded := false
		for _, k := range j.chunkIndexes() {
			for i := range j.chunks[k] {
				t := &j.chunks[k][i]
				if !t.changed {
					continue
				}
				if t.state == taskPlaced && !guarded {
					if len(b.commit.request.Compares) >= b.maxCompares {
						continue
					}
					guarded = true
					b.compare(jobKey+id, j.version)
				}
				s := taskChange{job: j, index: k*chunkSize + i, generation: t.generation, record: t.taskRecord, sequence: 0}
				if !b.reserveSpace(b.sizeOf(s)) {
					return
				}
				b.included[t] = true
				b.addTask(s)
			}
		}
	}
}
