package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// Sizes of what is written to a partition's log.
const (
	// MaxTransactionBytes bounds the log entries of one transaction.
	MaxTransactionBytes = 40 << 10
	// minEntriesPerTransaction is how many entries of the greatest size fit into one
	// transaction.
	minEntriesPerTransaction = 2
	// entryOverheadBytes is the most that an entry takes without its runs and machines.
	entryOverheadBytes = 60
	// MachineRecordBytes is the most that a machine's record takes without its names.
	MachineRecordBytes = 160
	// minLogSlots is how many slots a log has at least before one is written again.
	minLogSlots = 64
	// carriedOverShare is one over the share of an entry that what its slot held before may
	// fill. Where it fills more, the log gets another slot.
	carriedOverShare = 4
)

// LogEntry is an entry of a partition's log, as records.LogRecord holds it, and where.
type LogEntry struct {
	Sequence uint64
	Slot     int
	Version  api.Revision // of the slot's key
	Runs     []records.TaskRun
	Machines []records.MachineRecord
}

// value returns what the slot of an entry holds.
func (e LogEntry) value() []byte {
	return records.MustMarshal(records.LogRecord{Sequence: e.Sequence, Runs: e.Runs, Machines: e.Machines})
}

// taskChange is what a commit logs of a task.
type taskChange struct {
	job        *Job
	index      int
	generation uint32 // of the task, when it became so
	record     TaskRecord
	sequence   uint64 // of the entry that it is logged in
}

// run returns the task as a run of one.
func (c taskChange) run() records.TaskRun {
	return records.TaskRun{
		Job: c.job.ID, First: c.index, State: c.record.State, Attempt: c.record.Attempt, Machine: c.record.Machine,
	}
}

// encodedSize returns how many bytes the task takes in an entry at the most.
func (c taskChange) encodedSize() int { return c.run().EncodedSize() }

// extends reports whether the task makes a run one longer.
func (c taskChange) extends(run records.TaskRun) bool {
	if run.Job != c.job.ID || run.First+run.TaskCount() != c.index {
		return false
	}
	return c.record == TaskRecord{State: run.State, Attempt: run.Attempt, Machine: run.Machine}
}

// extendRun makes a run one task longer, and returns by how many bytes it grows.
func extendRun(run *records.TaskRun) int {
	size := run.EncodedSize()
	run.Tasks = run.TaskCount() + 1
	return run.EncodedSize() - size
}
