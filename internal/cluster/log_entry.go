package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// Sizes in a partition's log.
const (
	// MaxTransactionBytes bounds the total size of the log entries in one transaction.
	MaxTransactionBytes = 40 << 10
	// minEntriesPerTransaction is how many entries of the maximum size fit into one transaction.
	minEntriesPerTransaction = 2
	// maxEntryOverheadBytes is the maximum size of an entry without its runs and machines.
	maxEntryOverheadBytes = 60
	// MaxMachineRecordBytes is the maximum size of a machine's record without its names.
	MaxMachineRecordBytes = 160
	// minLogSlots is how many slots a log must have before the first one is overwritten.
	minLogSlots = 64
	// carryoverDivisor is the reciprocal of the share of an entry that the carryover of its slot
	// may fill. If the carryover fills more, the log gets another slot.
	carryoverDivisor = 4
)

// LogEntry is an entry of a partition's log, with the slot that holds it. Its stored form is
// records.LogEntry.
type LogEntry struct {
	Sequence uint64
	Slot     int
	Version  api.Revision // of the slot's key
	Runs     []records.TaskRun
	Machines []records.Machine
}

// encode returns the value of the slot's key in the store.
func (e LogEntry) encode() []byte {
	return records.MustMarshal(records.LogEntry{Sequence: e.Sequence, Runs: e.Runs, Machines: e.Machines})
}

// taskChange is a task's state as a commit logs it.
type taskChange struct {
	job        *Job
	index      int
	generation uint32 // of the task with that state
	record     TaskRecord
	sequence   uint64 // of the entry that holds it
}

// run returns a run that consists of the task alone.
func (c taskChange) run() records.TaskRun {
	return records.TaskRun{
		Job: c.job.ID, First: c.index, State: c.record.State, Attempt: c.record.Attempt, Machine: c.record.Machine,
	}
}

// encodedSize returns how many bytes the task takes in an entry at most, as a run of its own.
func (c taskChange) encodedSize() int { return c.run().EncodedSize() }

// extends reports whether the task can be appended to a run: it is the job's next task and has
// the same state, attempt and machine.
func (c taskChange) extends(run records.TaskRun) bool {
	if run.Job != c.job.ID || run.First+run.TaskCount() != c.index {
		return false
	}
	return c.record == TaskRecord{State: run.State, Attempt: run.Attempt, Machine: run.Machine}
}

// extendRun adds one task to a run and returns by how many bytes the encoded run grows.
func extendRun(run *records.TaskRun) int {
	size := run.EncodedSize()
	run.Tasks = run.TaskCount() + 1
	return run.EncodedSize() - size
}
