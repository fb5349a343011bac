package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// adoptionComparesPerPartition bounds the compares that an adoption of orphaned instances adds
// for each partition. It includes a reserve for the other compares of the commit.
const adoptionComparesPerPartition = 3

// entryBuilder builds the log entries of a commit.
type entryBuilder struct {
	log           *PartitionLog
	partition     *Partition
	commit        *LogCommit
	maxCompares   int // of the transaction
	maxEntries    int
	maxEntryBytes int            // size limit of an entry
	newSlots      int            // number of entries in new slots
	useNewSlot    bool           // the next entry goes to a new slot
	included      map[*Task]bool // tasks logged by this commit
}

// openEntry adds an entry, which begins with the carryover of its slot. For the first entry it
// also adds the compare of the slot's version. It returns false if the commit may have no
// further entry.
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
	b.commit.lastEntryBytes = 0
	if opened == 0 {
		b.compareFirstSlot(slot)
	}
	b.addCarriedOver(carried)
	return true
}

// chooseSlot returns the slot of the next entry and the carryover that the entry must begin
// with. reused is how many slots this commit already overwrites.
//
// The slot is that of the oldest entry. A new slot is used while the log is short, or if the
// last carryover left little space in its entry. The carryover of the oldest entry may exceed
// the size limit of an entry, because the limit was higher when the entry was written or
// because its runs have split. Part of it then goes to a new slot. After some such commits the
// rest fits into an entry, and the slot is overwritten. Otherwise the log would come to a halt
// at such an entry.
func (b *entryBuilder) chooseSlot(reused int) (int, carryover) {
	if b.useNewSlot || len(b.partition.Log)-reused < minLogSlots {
		return b.newSlot(), carryover{}
	}
	oldest := b.partition.Log[reused]
	carried := b.carryoverOf(oldest)
	if carried.sizeBytes > b.maxEntryBytes {
		b.useNewSlot = true
		return b.newSlot(), carried
	}
	b.useNewSlot = carried.sizeBytes > b.maxEntryBytes/carryoverDivisor
	return oldest.Slot, carried
}

func (b *entryBuilder) newSlot() int {
	slot := len(b.partition.Log) + b.newSlots
	b.newSlots++
	return slot
}

// compareFirstSlot adds a compare of the version of the first entry's slot, so that of several
// copies of the transaction at most one is carried out.
func (b *entryBuilder) compareFirstSlot(slot int) {
	for _, entry := range b.partition.Log {
		if entry.Slot == slot {
			b.commit.PreviousSlotVersion = entry.Version
		}
	}
	b.commit.compare(records.SlotKey(b.partition.Index, slot), b.commit.PreviousSlotVersion)
}

// addCarriedOver logs the carryover of an older entry again, as far as it fits.
func (b *entryBuilder) addCarriedOver(carried carryover) {
	for _, record := range carried.machines {
		if b.commit.lastEntryBytes+record.EncodedSize() > b.maxEntryBytes {
			return
		}
		b.addMachine(record)
	}
	for _, change := range carried.tasks {
		if b.commit.lastEntryBytes+change.encodedSize() > b.maxEntryBytes {
			return
		}
		b.addTask(change)
	}
}

// reserveSpace ensures that the last entry has space for size bytes, and opens a new entry if
// necessary. It returns false if there is no space.
func (b *entryBuilder) reserveSpace(size int) bool {
	for b.commit.lastEntryBytes+size > b.maxEntryBytes {
		if b.commit.lastEntryBytes == 0 || !b.openEntry() {
			return false
		}
	}
	return true
}

func (b *entryBuilder) lastEntry() *LogEntry { return &b.commit.Entries[len(b.commit.Entries)-1] }

// addTask logs a task in the last entry. The task joins the entry's last run if it extends it.
func (b *entryBuilder) addTask(change taskChange) {
	entry := b.lastEntry()
	change.sequence = entry.Sequence
	b.included[change.job.EnsureTask(change.index)] = true
	b.commit.tasks = append(b.commit.tasks, change)
	if last := len(entry.Runs) - 1; last >= 0 && change.extends(entry.Runs[last]) {
		b.commit.lastEntryBytes += extendRun(&entry.Runs[last])
		return
	}
	entry.Runs = append(entry.Runs, change.run())
	b.commit.lastEntryBytes += change.encodedSize()
}

// addMachine logs a machine's record in the last entry.
func (b *entryBuilder) addMachine(record records.Machine) {
	entry := b.lastEntry()
	entry.Machines = append(entry.Machines, record)
	b.commit.lastEntryBytes += record.EncodedSize()
}

// addNewMachines logs the batches of launched and adopted machines.
func (b *entryBuilder) addNewMachines() {
	adopts := false
	for _, batch := range b.partition.MachineBatches {
		batch.Records = slices.DeleteFunc(batch.Records, func(record records.Machine) bool {
			return b.log.cluster.Machines[record.Name] != nil
		})
		if batch.IsAdoption && !adopts {
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

// mayAdopt reports whether the transaction has space for the write and the compares of an
// adoption.
func (b *entryBuilder) mayAdopt() bool {
	compares := len(b.commit.Request.Compares) + adoptionComparesPerPartition*len(b.log.cluster.Partitions)
	return compares <= b.maxCompares && len(b.commit.Entries) < b.maxEntries
}

// beginAdoption makes adoptions and launches of the same machine exclude each other. An
// adoption changes the adoption key, which every commit that records machines compares. It
// also compares that no other partition's log has an entry that this replica does not show:
// such an entry would have changed the log's oldest slot or added a new one.
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

// addMachineBatch logs all machines of a batch. It logs none and returns false if there is no
// space for all.
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

// addRecordChanges logs the requested changes of machine records.
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

// dropStaleRecordChanges drops requests that are already committed, and requests for machines
// that no longer exist or are in another partition now.
func (b *entryBuilder) dropStaleRecordChanges() {
	b.partition.RecordChanges = slices.DeleteFunc(b.partition.RecordChanges, func(machine *Machine) bool {
		return machine.PendingChange == NoRecordChange ||
			b.log.cluster.Machines[machine.Name] != machine ||
			machine.Record.Partition != b.partition.Index
	})
}

// changedRecord returns a machine's record with the requested change.
func changedRecord(machine *Machine) records.Machine {
	record := machine.Record
	switch machine.PendingChange {
	case markRecordForDeletion:
		record.MarkedForDeletion = true
	case DeleteRecord:
		return records.Machine{
			Name: record.Name, Partition: record.Partition, Deleted: true, Epoch: record.Epoch + 1,
		}
	case RaiseToken:
		record.MinToken = 0
	case transferRecord:
		record.Partition, record.MinToken = machine.pendingPartition, 0
		record.Epoch++
	case NoRecordChange, CopyRecord:
	}
	return record
}

// addTaskChanges logs the uncommitted task changes of jobs.
func (b *entryBuilder) addTaskChanges(jobIDs []string) {
	for _, id := range jobIDs {
		job := b.log.cluster.Jobs[id]
		if job == nil || job.UncommittedTasks == 0 || slices.Contains(b.commit.TerminalJobs, job) {
			continue
		}
		if !b.addChangesOf(job) {
			return
		}
	}
}

// addChangesOf logs the uncommitted task changes of a job. It returns false if there was no
// space for all of them. If a task starts, the version of the job's key is compared, so that
// of the start and a concurrent cancellation only one succeeds.
func (b *entryBuilder) addChangesOf(job *Job) bool {
	compared := false
	for index, task := range job.uncommittedTasks() {
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
