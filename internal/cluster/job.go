package cluster

import (
	"cmp"
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// ChunkSize tasks are kept together in memory, made when first needed.
const ChunkSize = 128

// States of tasks.
const (
	taskPending uint8 = iota
	TaskPlaced        // on its machine until proven gone
	TaskDone
)

// TaskRecord is what the log keeps of a task.
type TaskRecord struct {
	State   uint8
	Attempt uint64
	Machine string
}

// Task is one task of a job: what is recorded of it, and what was observed since this
// controller leads its partition.
type Task struct {
	TaskRecord
	Committed  TaskRecord // as committed
	changed    bool       // differs from what was committed, or is being committed
	generation uint32     // counts changes
	LogSequence   uint64     // the log entry that last held it; 0: none

	// what is known since take-over only
	Observed         bool          // its machine has reported it
	ReportedState    api.TaskState // state last reported
	RunningSince     micros.Micros // running since
	PlacedAt         micros.Micros
	StopRequestedAt  micros.Micros // told to stop since
	GraceS           float64
	notBefore        micros.Micros // not to be placed before
	DirectStartToken uint64        // token of a direct start that may still be on its way
}

// Job is an unfinished job.
type Job struct {
	ID                 string
	Spec               api.Job
	Request            scheduler.Resources
	AcceptedAt         micros.Micros
	Cancelled          bool          // its user or, doomed, that of a job that it needs did
	CancelledElsewhere bool          // another controller says that it told its user so
	StopRequiredSince  micros.Micros // since when, at the earliest, as far as we know
	Version            uint64
	Partition          int
	Chunks             map[int][]Task
	PlacedTasks        int
	DoneTasks          int
	ChangedTasks       int  // tasks to commit
	Terminal           bool // its final state is committed, the replica not there yet

	Dependencies        []string      // jobs that must be done first
	PendingDependencies int           // of those not done, or not known to be
	UnknownDependencies int           // of those over, it is not known how
	dependenciesDoneAt  micros.Micros // when the last of them was done
	DependencyCancelled bool          // one of them is withdrawn

	endedAt micros.Micros // when its final state was first due

	StartUncommitted bool            // a gang whose start is being committed
	FailedMachines   map[string]bool // machines that it failed on
	Suspect          bool            // fails wherever it runs: submitted with a mistake
	lastFailureAt    micros.Micros
	FailureCount     int  // since this controller plans it
	attemptSpoiled   bool // a task of this attempt of the gang has exited
	NotBefore        micros.Micros
	backoff          micros.Micros
	// ReservedSince is since when machines are promised to it; unpromised, until
	// when none are any more, for it did not begin.
	ReservedSince, NoReservationBefore micros.Micros
	TasksPerZone                       map[string]int
}

// TaskID names a task by its job and its place in it.
type TaskID struct {
	Job   string
	Index int
}

func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

func (t TaskID) compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Index, o.Index))
}

// ParseTaskID reads the name that TaskID.String gives; false: it is not of that form.
func ParseTaskID(s string) (TaskID, bool) {
	id, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return TaskID{Job: id, Index: n}, ok && err == nil && n >= 0
}

// ChunkIndexes lists the chunks of tasks that were made, in order.
func (j *Job) ChunkIndexes() []int {
	var list []int
	for n := 0; n*ChunkSize < j.Spec.Tasks; n++ {
		if j.Chunks[n] != nil {
			list = append(list, n)
		}
	}
	return list
}

// EnsureTask gives a task, made if nothing about it was known.
func (j *Job) EnsureTask(n int) *Task {
	ch := j.Chunks[n/ChunkSize]
	if ch == nil {
		ch = make([]Task, min(ChunkSize, j.Spec.Tasks-n/ChunkSize*ChunkSize))
		j.Chunks[n/ChunkSize] = ch
	}
	return &ch[n%ChunkSize]
}

// Task gives a task, or nil where nothing about it was ever decided.
func (j *Job) Task(n int) *Task {
	if n >= j.Spec.Tasks {
		return nil
	}
	if ch := j.Chunks[n/ChunkSize]; ch != nil {
		return &ch[n%ChunkSize]
	}
	return nil
}

// IsCommitted tells whether what is known of a task is committed.
func (j *Job) IsCommitted(n int) bool {
	t := j.Task(n)
	return t == nil || !t.changed
}

// Placeable lists tasks that may be placed now.
func (j *Job) Placeable(now micros.Micros, most int) []int {
	var list []int
	for k := 0; k*ChunkSize < j.Spec.Tasks; k++ {
		ch := j.Chunks[k]
		for n := k * ChunkSize; n < min(j.Spec.Tasks, (k+1)*ChunkSize); n++ {
			if len(list) >= most && j.Spec.Kind != api.Gang {
				return list
			}
			if ch == nil {
				list = append(list, n)
			} else if t := &ch[n%ChunkSize]; t.State == taskPending && now >= t.notBefore {
				list = append(list, n)
			}
		}
	}
	// A gang starts whole; but once one of its tasks is done all are, and what
	// a lost machine could not report any more is only asked for again.
	if j.Spec.Kind == api.Gang && len(list)+j.DoneTasks < j.Spec.Tasks && !j.IsReassembling() {
		return nil
	}
	return list
}

// LastAttempt gives the highest attempt of any task.
func (j *Job) LastAttempt() uint64 {
	var last uint64
	for _, ch := range j.Chunks {
		for i := range ch {
			last = max(last, ch[i].Attempt)
		}
	}
	return last
}

// Status gives what users are told of an unfinished job.
func (j *Job) Status() api.JobStatus {
	state := api.JobPending
	switch {
	case j.Cancelled:
		state = api.JobCancelled
	case j.PlacedTasks > 0:
		state = api.JobRunning
	}
	d, r := j.DoneTasks, j.PlacedTasks
	return api.JobStatus{ID: j.ID, State: state, Done: &d, Running: &r}
}
