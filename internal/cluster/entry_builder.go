package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// adoptionComparesPerPartition bounds the compares that an adoption of orphaned instances
// adds for each partition, with some left for what else the commit has to compare.
const adoptionComparesPerPartition = 3

// entryBuilder fills the log entries of a commit.
type entryBuilder struct {
	log         *PartitionLog
	partition   *Partition
	commit      *LogCommit
	maxCompares int // of the transaction
	maxEntries  int
	entryLimit  int            // bytes of an entry
	newSlots    int            // how many entries go to new slots
	growLog     bool           // the next entry goes to a new slot
	included    map[*Task]bool // logged by this commit
}

// openEntry begins an entry, with what its slot alone still held, and compares the version
// of the slot if it is the first. It returns false if there may be no further entry.
func (b *entryBuilder) openEntry() bool {
	opened := len(b.commit.Entries)
	if opened >= b.maxEntries {
		return false
	}
	slot, carried := b.chooseSlot(opened - b.newSlots)
	entry := LogEntry{Sequence: 1, Slot: slot}
	if length := len(b.partition.Log); length > 0 {
		entry.Sequence = b.partition.Log[length-1].Sequence + 1 + uint64(opened)
	}
	b.commit.Entries = append(b.commit.Entries, entry)
	b.commit.lastEntrySize = 0
	if opened == 0 {
		b.compareFirstSlot(slot)
	}
	b.addCarriedOver(carried)
	return true
}

// chooseSlot returns the slot of the next entry, and what is to be logged anew in that
// entry first. reused is how many slots this commit writes again already.
//
// The slot is that of the oldest entry; or a new one, while the log is short or so full
// that what is logged anew leaves little space. Where the oldest entry holds more than an
// entry may have now, for it was written when more was admitted or its runs were broken
// up, part of that goes to a new slot: some commits later the rest fits, and the log never
// comes to a halt.
func (b *entryBuilder) chooseSlot(reused int) (int, carryover) {
	if b.growLog || len(b.partition.Log)-reused < minLogSlots {
		return b.newSlot(), carryover{}
	}
	oldest := b.partition.Log[reused]
	carried := b.carryoverOf(oldest)
	if carried.size > b.entryLimit {
		b.growLog = true
		return b.newSlot(), carried
	}
	b.growLog = carried.size > b.entryLimit/carriedOverShare
	return oldest.Slot, carried
}

func (b *entryBuilder) newSlot() int {
	slot := len(b.partition.Log) + b.newSlots
	b.newSlots++
	return slot
}

// compareFirstSlot has the transaction compare the version of the slot that its first entry
// goes to: of several copies of the transaction at most one is ever carried out.
func (b *entryBuilder) compareFirstSlot(slot int) {
	for _, entry := range b.partition.Log {
		if entry.Slot == slot {
			b.commit.PreviousSlotVersion = entry.Version
		}
	}
	b.commit.compare(records.SlotKey(b.partition.Index, slot), b.commit.PreviousSlotVersion)
}

// addCarriedOver logs anew what an older entry alone held, as far as it fits.
func (b *entryBuilder) addCarriedOver(carried carryover) {
	for _, record := range carried.machines {
		if b.commit.lastEntrySize+record.EncodedSize() > b.entryLimit {
			return
		}
		b.addMachine(record)
	}
	for _, change := range carried.tasks {
		if b.commit.lastEntrySize+change.encodedSize() > b.entryLimit {
			return
		}
		b.addTask(change)
	}
}

// reserveSpace makes sure that the last entry has space for so many bytes, in a new entry
// if need be. It returns false if there is none.
func (b *entryBuilder) reserveSpace(size int) bool {
	for b.commit.lastEntrySize+size > b.entryLimit {
		if b.commit.lastEntrySize == 0 || !b.openEntry() {
			return false
		}
	}
	return true
}

func (b *entryBuilder) lastEntry() *LogEntry { return &b.commit.Entries[len(b.commit.Entries)-1] }

// addTask logs a task in the last entry, joined to the run before if it is like it.
func (b *entryBuilder) addTask(change taskChange) {
	entry := b.lastEntry()
	change.sequence = entry.Sequence
	b.included[change.job.EnsureTask(change.index)] = true
	b.commit.tasks = append(b.commit.tasks, change)
	if last := len(entry.Runs) - 1; last >= 0 && change.extends(entry.Runs[last]) {
		b.commit.lastEntrySize += extendRun(&entry.Runs[last])
		return
	}
	entry.Runs = append(entry.Runs, change.run())
	b.commit.lastEntrySize += change.encodedSize()
}

// addMachine logs a machine's record in the last entry.
func (b *entryBuilder) addMachine(record records.MachineRecord) {
	entry := b.lastEntry()
	entry.Machines = append(entry.Machines, record)
	b.commit.lastEntrySize += record.EncodedSize()
}

// addNewMachines logs machines launched and adopted.
func (b *entryBuilder) addNewMachines() {
	adopts := false
	for _, batch := range b.partition.MachineBatches {
		batch.Records = slices.DeleteFunc(batch.Records, func(record records.MachineRecord) bool {
			return b.log.cluster.Machines[record.Name] != nil
		})
		if batch.Adopt && !adopts {
			if !b.mayAdopt() {
				continue
			}
			adopts = true
			b.beginAdoption()
		}
		if !b.addMachineBatch(batch) {
			return
		}
	}
}

// mayAdopt reports whether the transaction has room for the writes and compares of an
// adoption.
func (b *entryBuilder) mayAdopt() bool {
	compares := len(b.commit.Request.Compares) + adoptionComparesPerPartition*len(b.log.cluster.Partitions)
	return compares <= b.maxCompares && len(b.commit.Entries) < b.maxEntries
}

// beginAdoption has adoptions and the launch of machines exclude each other: an adoption
// changes a key that all who record machines compare, and compares that no other
// partition's log went on unseen, which would change its oldest slot or begin a new one.
func (b *entryBuilder) beginAdoption() {
	b.maxEntries--
	b.commit.Request.Writes = append(b.commit.Request.Writes, api.Write{
		Put: records.AdoptionKey, Value: records.MustMarshal(struct{}{}),
	})
	for _, other := range b.log.cluster.Partitions {
		if other == b.partition {
			continue
		}
		b.commit.compare(records.SlotKey(other.Index, len(other.Log)), 0)
		if len(other.Log) > 0 {
			oldest := other.Log[0]
			b.commit.compare(records.SlotKey(other.Index, oldest.Slot), oldest.Version)
		}
	}
}

// addMachineBatch logs all machines of a batch, or returns false if there is no space.
func (b *entryBuilder) addMachineBatch(batch *MachineBatch) bool {
	state := b.log.cluster
	size := 0
	for i := range batch.Records {
		record := &batch.Records[i]
		record.Epoch = state.tombstones[record.Name].Epoch + 1
		size += record.EncodedSize()
	}
	if !b.reserveSpace(size) {
		return false
	}
	if len(b.commit.machineBatches) == 0 {
		b.commit.compare(records.AdoptionKey, state.adoptionVersion)
	}
	for _, record := range batch.Records {
		b.addMachine(record)
	}
	b.commit.machineBatches = append(b.commit.machineBatches, batch)
	return true
}

// addRecordChanges logs the changes of machines' records that were requested.
func (b *entryBuilder) addRecordChanges() {
	b.dropStaleRecordChanges()
	for _, machine := range b.partition.RecordChanges {
		record := changedRecord(machine)
		if !b.reserveSpace(record.EncodedSize()) {
			return
		}
		b.addMachine(record)
		b.commit.recordChanges = append(b.commit.recordChanges, recordChange{machine: machine, kind: machine.PendingChange})
	}
}

// dropStaleRecordChanges drops the requests that are carried out, and those of machines
// that are gone or in another partition now.
func (b *entryBuilder) dropStaleRecordChanges() {
	b.partition.RecordChanges = slices.DeleteFunc(b.partition.RecordChanges, func(machine *Machine) bool {
		return machine.PendingChange == NoRecordChange ||
			b.log.cluster.Machines[machine.Name] != machine ||
			machine.Record.Partition != b.partition.Index
	})
}

// changedRecord returns a machine's record with the change that was requested.
func changedRecord(machine *Machine) records.MachineRecord {
	record := machine.Record
	switch machine.PendingChange {
	case condemnRecord:
		record.Condemned = true
	case DropRecord:
		return records.MachineRecord{
			Name: record.Name, Partition: record.Partition, Deleted: true, Epoch: record.Epoch + 1,
		}
	case RaiseToken:
		record.MinToken = 0
	case transferRecord:
		record.Partition, record.MinToken = machine.transferTo, 0
		record.Epoch++
	case NoRecordChange, CopyRecord:
	}
	return record
}

// addTaskChanges logs what the tasks of changed jobs became.
func (b *entryBuilder) addTaskChanges(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.log.cluster.Jobs[id]
		if job == nil || job.ChangedTasks == 0 || slices.Contains(b.commit.TerminalJobs, job) {
			continue
		}
		if !b.addChangesOf(job) {
			return
		}
	}
}

// addChangesOf logs what the tasks of a job became; false: there was no space for all. A
// start compares the job's key, so that it and a cancellation cannot both win.
func (b *entryBuilder) addChangesOf(job *Job) bool {
	compared := false
	for index, task := range job.knownTasks() {
		if !task.changed {
			continue
		}
		if task.State == records.TaskPlaced && !compared {
			if len(b.commit.Request.Compares) >= b.maxCompares {
				continue
			}
			compared = true
			b.commit.compare(records.JobPrefix+job.ID, job.Version)
		}
		change := taskChange{job: job, index: index, generation: task.generation, record: task.TaskRecord, sequence: 0}
		if !b.reserveSpace(change.encodedSize()) {
			return false
		}
		b.addTask(change)
	}
	return true
}
