package cluster

import (
	"cmp"
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// TaskRecord holds the fields of a task that the log records.
type TaskRecord struct {
	State   records.TaskState
	Attempt api.Attempt
	// Machine is the name of the machine that the task is placed on, empty if it is not placed.
	Machine string
}

// Task is one task of a job: its decided and its committed state, and the observations of it
// since this controller began to lead the partition. The zero Task is pending.
type Task struct {
	// The decided state, committed or not. Written only by SetTask.
	TaskRecord

	// The committed state. Written when an entry is committed, or when an entry of another
	// controller is applied.
	Committed TaskRecord
	// LogSequence is the sequence number of the latest log entry that holds the task; 0 means
	// none.
	LogSequence uint64

	// Changes to commit. Written by State when the task changes, and by the partition log after
	// a commit.
	uncommitted bool   // a change is not committed yet, or its commit is in flight
	generation  uint32 // counts changes, so that a commit can detect a later change

	// Reports of its machine's worker since this controller began to lead the partition.
	// Written by reconciliation in core, and reset by State after a failover.
	Observed      bool          // the worker has reported it
	ReportedState api.TaskState // last reported state
	RunningSince  micros.Micros

	// Starting and stopping. PlacedAt is written by SetTask, DirectStartToken by planning and
	// core, the rest by the task lifecycle.
	PlacedAt        micros.Micros
	StopRequestedAt micros.Micros // 0: no stop is requested
	// GraceS is how many seconds the task has to save a checkpoint after a requested stop.
	GraceS float64
	// DirectStartToken is the fencing token of a direct start that may still be in flight; 0
	// means none.
	DirectStartToken api.FencingToken
}

// TaskID identifies a task by its job's id and its index in the job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the task's name in the worker protocol, such as wk-000001/0.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

func (t TaskID) compare(other TaskID) int {
	return cmp.Or(strings.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}

// ParseTaskID parses a name as returned by TaskID.String. It returns false if the name does
// not have that form.
func ParseTaskID(name string) (TaskID, bool) {
	job, number, ok := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	return TaskID{Job: job, Index: index}, ok && err == nil && index >= 0
}
