package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// ChunkSize is how many tasks of a job are kept together in memory. A chunk is made when
// something is first known of one of its tasks: most arrays wait for long.
const ChunkSize = 128

// Job is an unfinished job.
type Job struct {
	// What was submitted, and its record in the store. Written as the record is applied,
	// by core.
	ID         string
	Spec       api.Job
	Request    scheduler.Resources // of one task
	AcceptedAt micros.Micros
	Version    api.Revision // of its key in the store
	Partition  int

	// Cancellation. Cancelled is written as the record is applied and by the dependency
	// graph, CancelledElsewhere by core, StopRequiredSince by State.
	Cancelled bool // by its user, or with a job that it depends on
	// CancelledElsewhere says that another controller notified its user that the job is
	// cancelled, which the store does not show yet.
	CancelledElsewhere bool
	// StopRequiredSince is since when, at the earliest, its tasks must not run; 0: they
	// may.
	StopRequiredSince micros.Micros

	// Tasks and the counts of them. Written by State.
	Chunks       map[int][]Task // by index / ChunkSize
	PlacedTasks  int
	DoneTasks    int
	ChangedTasks int            // to be committed
	TasksPerZone map[string]int // of those placed

	// Its end. Written by the partition log.
	endedAt  micros.Micros // when its terminal state was first due; 0: it is not
	Terminal bool          // its terminal state is committed, its key still in the replica

	// Dependencies. The list is written as the record is applied, the rest by the
	// dependency graph.
	Dependencies        []string // jobs that must be done first
	PendingDependencies int      // of those not done, or not known to be
	UnknownDependencies int      // of those that have ended, it is not known how
	DependencyCancelled bool
	dependenciesDoneAt  micros.Micros // when the last of them was done

	// Failures of its tasks. Written by the task lifecycle.
	FailedMachines map[string]bool // names of machines that it failed on
	FailureCount   int             // seen by this controller
	Suspect        bool            // fails wherever it runs: submitted with a mistake
	lastFailureAt  micros.Micros
	backoff        micros.Micros // the last wait between two tries while suspect
	NotBefore      micros.Micros // not to be placed before

	// The start of a gang. StartUncommitted is written by planning, the partition log and
	// State, attemptSpoiled by the task lifecycle and State.
	StartUncommitted bool // its start is being committed
	attemptSpoiled   bool // a task of this attempt has exited: it must not be used again

	// Reservations. Written by planning.
	ReservedSince       micros.Micros // since when machines are reserved for it; 0: none are
	NoReservationBefore micros.Micros // it had a reservation and did not start in time
}

// ChunkIndexes lists the chunks of tasks that were made, in order.
func (j *Job) ChunkIndexes() []int {
	var list []int
	for chunk := 0; chunk*ChunkSize < j.Spec.Tasks; chunk++ {
		if j.Chunks[chunk] != nil {
			list = append(list, chunk)
		}
	}
	return list
}

// knownTasks yields the tasks of the chunks that were made, in order, with their indexes.
// It is an iter.Seq2, spelt out since the state machine's imports are kept few.
func (j *Job) knownTasks() func(yield func(int, *Task) bool) {
	return func(yield func(int, *Task) bool) {
		for _, chunk := range j.ChunkIndexes() {
			tasks := j.Chunks[chunk]
			for i := range tasks {
				if !yield(chunk*ChunkSize+i, &tasks[i]) {
					return
				}
			}
		}
	}
}

// EnsureTask returns a task, made if nothing about it was known.
func (j *Job) EnsureTask(index int) *Task {
	chunk := index / ChunkSize
	if j.Chunks[chunk] == nil {
		j.Chunks[chunk] = make([]Task, min(ChunkSize, j.Spec.Tasks-chunk*ChunkSize))
	}
	return &j.Chunks[chunk][index%ChunkSize]
}

// Task returns a task, or nil where nothing about it was ever decided.
func (j *Job) Task(index int) *Task {
	if index >= j.Spec.Tasks {
		return nil
	}
	if tasks := j.Chunks[index/ChunkSize]; tasks != nil {
		return &tasks[index%ChunkSize]
	}
	return nil
}

// IsCommitted reports whether all that is decided of a task is committed.
func (j *Job) IsCommitted(index int) bool {
	task := j.Task(index)
	return task == nil || !task.changed
}

// Placeable lists the indexes of tasks that may be placed now, at most limit of them; of
// a gang all.
func (j *Job) Placeable(now micros.Micros, limit int) []int {
	var list []int
	for chunk := 0; chunk*ChunkSize < j.Spec.Tasks; chunk++ {
		tasks := j.Chunks[chunk]
		end := min(j.Spec.Tasks, (chunk+1)*ChunkSize)
		for index := chunk * ChunkSize; index < end; index++ {
			if len(list) >= limit && j.Spec.Kind != api.Gang {
				return list
			}
			if tasks == nil || tasks[index%ChunkSize].mayBePlaced(now) {
				list = append(list, index)
			}
		}
	}
	// A gang starts whole. But once one of its tasks is done all are, and what a lost
	// machine could not report any more only has to be asked for again.
	if j.Spec.Kind == api.Gang && len(list)+j.DoneTasks < j.Spec.Tasks && !j.IsReassembling() {
		return nil
	}
	return list
}

// LastAttempt returns the highest attempt of any task.
func (j *Job) LastAttempt() api.Attempt {
	var last api.Attempt
	for _, task := range j.knownTasks() {
		last = max(last, task.Attempt)
	}
	return last
}

// HasStarted reports whether some task was placed, so that all dependencies are done.
func (j *Job) HasStarted() bool { return j.PlacedTasks+j.DoneTasks > 0 }

// EligibleAt is when the job could have started: its waiting time counts from there.
func (j *Job) EligibleAt() micros.Micros { return max(j.AcceptedAt, j.dependenciesDoneAt) }

// MustNotRun reports whether nothing of the job may run any more: it is cancelled, or
// another controller says that it notified its user so.
func (j *Job) MustNotRun() bool { return j.Cancelled || j.CancelledElsewhere }

// isFinished reports whether the job is done, or cancelled and without tasks on machines.
func (j *Job) isFinished() bool {
	if j.Cancelled {
		return j.PlacedTasks == 0
	}
	return j.Spec.Kind != api.Service && j.DoneTasks == j.Spec.Tasks
}

// Status returns what users are shown of an unfinished job.
func (j *Job) Status() api.JobStatus {
	state := api.JobPending
	switch {
	case j.Cancelled:
		state = api.JobCancelled
	case j.PlacedTasks > 0:
		state = api.JobRunning
	}
	done, running := j.DoneTasks, j.PlacedTasks
	return api.JobStatus{ID: j.ID, State: state, Done: &done, Running: &running}
}
