package cluster

import (
	"slices"

	"spurmoor/internal/records"

	"spurmoor/internal/api"
)

// entryBuilder fills the log entries of a flush.
type entryBuilder struct {
	log         *PartitionLog
	partition   *Partition
	commit      *LogCommit
	compare     func(key string, ver uint64)
	maxCompares int
	entryLimit  int // bytes of an entry
	maxEntries  int // entries
	newSlots    int // new ones taken
	growLog     bool
	included    map[*Task]bool
}

// openEntry begins an entry: in the oldest one's slot, with the rows and runs that
// only that still holds written anew in it first; or in a new slot, while the
// log is short or so full that what is written anew leaves little room. Where
// the oldest holds more than an entry may have now, for it was written when more
// was admitted, or its runs were broken up, part of that goes into a new slot:
// some flushes later the rest fits, and the log never stands still.
func (b *entryBuilder) openEntry() bool {
	k := len(b.commit.Entries)
	if k >= b.maxEntries {
		return false
	}
	e := LogEntry{Sequence: 1}
	if n := len(b.partition.Log); n > 0 {
		e.Sequence = b.partition.Log[n-1].Sequence + 1 + uint64(k)
	}
	reused := k - b.newSlots
	b.commit.lastEntrySize = 0
	var rows []records.MachineRecord
	var tasks []taskChange
	fresh := b.growLog || len(b.partition.Log)-reused < minLogSlots
	if !fresh {
		old := b.partition.Log[reused]
		size := 0
		if rows, tasks, size = b.carriedOver(old); size > b.entryLimit {
			fresh, b.growLog = true, true
		} else {
			e.Slot = old.Slot
			b.growLog = size > b.entryLimit/carriedOverShare
		}
	}
	if fresh {
		e.Slot = len(b.partition.Log) + b.newSlots
		b.newSlots++
	}
	b.commit.Entries = append(b.commit.Entries, e)
	if k == 0 {
		for _, o := range b.partition.Log {
			if o.Slot == e.Slot {
				b.commit.PreviousSlotVersion = o.Version
			}
		}
		b.compare(records.SlotKey(b.partition.Index, e.Slot), b.commit.PreviousSlotVersion)
	}
	for _, r := range rows {
		if b.commit.lastEntrySize+r.EncodedSize() > b.entryLimit {
			return true
		}
		b.addMachine(r)
	}
	for _, s := range tasks {
		if b.commit.lastEntrySize+b.sizeOf(s) > b.entryLimit {
			return true
		}
		b.included[s.job.EnsureTask(s.index)] = true
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
func (b *entryBuilder) carriedOver(old LogEntry) ([]records.MachineRecord, []taskChange, int) {
	rows, size := b.carriedOverMachines(old)
	var tasks []taskChange
	last := records.TaskRun{}
	for _, r := range old.Runs {
		j := b.log.cluster.Jobs[r.Job]
		if j == nil || j.Terminal || slices.Contains(b.commit.TerminalJobs, j) {
			continue
		}
		for n := r.First; n < r.First+r.TaskCount() && n < j.Spec.Tasks; n++ {
			t := j.EnsureTask(n)
			if t.LogSequence != old.Sequence || b.included[t] {
				continue
			}
			gen := t.generation
			if t.changed {
				gen-- // what it became since is still to be committed
			}
			s := taskChange{job: j, index: n, generation: gen, record: t.Committed, sequence: 0}
			tasks = append(tasks, s)
			if s.extends(last) {
				size -= last.EncodedSize()
				last.Tasks = last.TaskCount() + 1
			} else {
				last = s.asRun()
			}
			size += last.EncodedSize()
		}
	}
	return rows, tasks, size
}

// carriedOverMachines is which machines' records an entry alone still holds, and their size.
func (b *entryBuilder) carriedOverMachines(old LogEntry) ([]records.MachineRecord, int) {
	var rows []records.MachineRecord
	size := 0
	for _, r := range old.Machines {
		here := RecordOrigin{Epoch: r.Epoch, Partition: b.partition.Index, Sequence: old.Sequence}
		if m := b.log.cluster.Machines[r.Name]; m != nil && m.Origin == here {
			r = m.Record
		} else if t, ok := b.log.cluster.tombstones[r.Name]; !ok || t != here || b.log.cluster.logReferences[r.Name] <= 1 {
			continue
		}
		size += r.EncodedSize()
		rows = append(rows, r)
	}
	return rows, size
}

// asRun gives a task as a run of one.
func (s taskChange) asRun() records.TaskRun {
	return records.TaskRun{Job: s.job.ID, First: s.index, State: s.record.State, Attempt: s.record.Attempt, Machine: s.record.Machine}
}

// extends tells whether a task makes a run one longer.
func (s taskChange) extends(r records.TaskRun) bool {
	return r.Job == s.job.ID && r.First+r.TaskCount() == s.index && (TaskRecord{State: r.State, Attempt: r.Attempt, Machine: r.Machine}) == s.record
}

// sizeOf is how many bytes a task takes at the most.
func (b *entryBuilder) sizeOf(s taskChange) int { return s.asRun().EncodedSize() }

// addTask logs a task in the last entry, joined to the run before if it is like it.
func (b *entryBuilder) addTask(s taskChange) {
	last := &b.commit.Entries[len(b.commit.Entries)-1]
	s.sequence = last.Sequence
	b.commit.tasks = append(b.commit.tasks, s)
	if k := len(last.Runs) - 1; k >= 0 && s.extends(last.Runs[k]) {
		r := &last.Runs[k]
		b.commit.lastEntrySize -= r.EncodedSize()
		r.Tasks = r.TaskCount() + 1
		b.commit.lastEntrySize += r.EncodedSize()
		return
	}
	b.commit.lastEntrySize += s.asRun().EncodedSize()
	last.Runs = append(last.Runs, s.asRun())
}

func (b *entryBuilder) addMachine(r records.MachineRecord) {
	last := &b.commit.Entries[len(b.commit.Entries)-1]
	last.Machines = append(last.Machines, r)
	b.commit.lastEntrySize += r.EncodedSize()
}

// addNewMachines records machines rented and adopted. Adoptions and rentals exclude
// each other: an adoption changes a key that rentals guard, and guards that no
// other partition's log went on unseen, which would change its oldest slot or
// begin a new one.
func (b *entryBuilder) addNewMachines() {
	log, p := b.log, b.partition
	adopts := false
	for _, n := range p.MachineBatches {
		n.Records = slices.DeleteFunc(n.Records, func(r records.MachineRecord) bool { return log.cluster.Machines[r.Name] != nil })
		if n.Adopt && !adopts {
			if len(b.commit.Request.Compares)+3*len(log.cluster.Partitions) > b.maxCompares || b.maxEntries <= len(b.commit.Entries) {
				continue
			}
			adopts = true
			b.maxEntries--
			b.commit.Request.Writes = append(b.commit.Request.Writes, api.Write{Put: records.AdoptionKey, Value: records.MustMarshal(struct{}{})})
			for _, o := range log.cluster.Partitions {
				if o == p {
					continue
				}
				b.compare(records.SlotKey(o.Index, len(o.Log)), 0)
				if len(o.Log) > 0 {
					b.compare(records.SlotKey(o.Index, o.Log[0].Slot), o.Log[0].Version)
				}
			}
		}
		size := 0
		for i := range n.Records {
			n.Records[i].Epoch = log.cluster.tombstones[n.Records[i].Name].Epoch + 1
			size += n.Records[i].EncodedSize()
		}
		if !b.reserveSpace(size) {
			break
		}
		if len(b.commit.machineBatches) == 0 {
			b.compare(records.AdoptionKey, log.cluster.adoptionVersion)
		}
		for _, r := range n.Records {
			b.addMachine(r)
		}
		b.commit.machineBatches = append(b.commit.machineBatches, n)
	}
}

// addRecordChanges records what is to become of machines.
func (b *entryBuilder) addRecordChanges() {
	left := b.partition.RecordChanges[:0]
	for _, m := range b.partition.RecordChanges {
		if m.PendingChange != NoRecordChange && b.log.cluster.Machines[m.Name] == m && m.Record.Partition == b.partition.Index {
			left = append(left, m)
		}
	}
	clear(b.partition.RecordChanges[len(left):])
	b.partition.RecordChanges = left
	for _, m := range left {
		r := m.Record
		switch m.PendingChange {
		case condemnRecord:
			r.Condemned = true
		case DropRecord:
			r = records.MachineRecord{Name: r.Name, Partition: r.Partition, Deleted: true, Epoch: r.Epoch + 1}
		case RaiseToken:
			r.MinToken = 0
		case transferRecord:
			r.Partition, r.MinToken = m.transferTo, 0
			r.Epoch++
		}
		if !b.reserveSpace(r.EncodedSize()) {
			return
		}
		b.addMachine(r)
		b.commit.recordChanges = append(b.commit.recordChanges, recordChange{machine: m, kind: m.PendingChange})
	}
}

// addTaskChanges logs what changed of tasks. A start guards its job's key: it and a
// cancellation cannot both win.
func (b *entryBuilder) addTaskChanges(ids []string) {
	for _, id := range ids {
		j := b.log.cluster.Jobs[id]
		if j == nil || j.ChangedTasks == 0 || slices.Contains(b.commit.TerminalJobs, j) {
			continue
		}
		guarded := false
		for _, k := range j.ChunkIndexes() {
			for i := range j.Chunks[k] {
				t := &j.Chunks[k][i]
				if !t.changed {
					continue
				}
				if t.State == TaskPlaced && !guarded {
					if len(b.commit.Request.Compares) >= b.maxCompares {
						continue
					}
					guarded = true
					b.compare(records.JobKey+id, j.Version)
				}
				s := taskChange{job: j, index: k*ChunkSize + i, generation: t.generation, record: t.TaskRecord, sequence: 0}
				if !b.reserveSpace(b.sizeOf(s)) {
					return
				}
				b.included[t] = true
				b.addTask(s)
			}
		}
	}
}
