package cluster

import (
	"cmp"
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// TaskRecord is what the log keeps of a task.
type TaskRecord struct {
	State   records.TaskState
	Attempt api.Attempt
	// Machine is the name of the machine that the task is placed on, else empty.
	Machine string
}

// Task is one task of a job: what is decided and committed of it, and what was observed
// since this controller leads its partition.
type Task struct {
	// As decided. Written by SetTask alone.
	TaskRecord

	// What the log holds. Written with the commit of an entry, or as another
	// controller's entry is applied.
	Committed TaskRecord
	// LogSequence is the sequence of the log entry that last held the task; 0: none.
	LogSequence uint64

	// What is still to be committed. Written by State as the task changes.
	changed    bool   // differs from what is committed, or is being committed
	generation uint32 // counts changes, so that a commit can tell a later one

	// What its machine's worker showed of it since this controller leads the partition.
	// Written by reconciliation in core, and reset by State after a failover.
	Observed      bool          // the worker has reported it
	ReportedState api.TaskState // as last reported
	RunningSince  micros.Micros

	// How it is to start and stop. PlacedAt is written by SetTask, DirectStartToken by
	// planning and reconciliation in core, the rest by the task lifecycle.
	PlacedAt        micros.Micros
	StopRequestedAt micros.Micros // 0: it may go on
	// GraceS is how many seconds the task has to save a checkpoint once it must stop.
	GraceS    float64
	notBefore micros.Micros // not to be placed before
	// DirectStartToken is the fencing token of a direct start that may still be on its
	// way; 0: there is none.
	DirectStartToken api.FencingToken
}

// mayBePlaced reports whether a task waits to be placed and need not wait longer.
func (t *Task) mayBePlaced(now micros.Micros) bool {
	return t.State == records.TaskPending && now >= t.notBefore
}

// TaskID names a task by its job and its index in it.
type TaskID struct {
	Job   string
	Index int
}

// String returns the name that the protocol gives a task.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

func (t TaskID) compare(other TaskID) int {
	return cmp.Or(strings.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}

// ParseTaskID reads a name that TaskID.String returns; false: it is not of that form.
func ParseTaskID(name string) (TaskID, bool) {
	job, number, ok := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	return TaskID{Job: job, Index: index}, ok && err == nil && index >= 0
}
