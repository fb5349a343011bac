package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// Job is an unfinished job.
type Job struct {
	// The submission and its record in the store. Written by core when it applies the record.
	ID         string
	Spec       api.Job
	Request    scheduler.Resources // resources of one task
	AcceptedAt micros.Micros
	Version    api.Revision // of its key in the store
	Partition  int

	// Cancellation. Cancelled is written when the record is applied and by the dependency
	// graph, CancelledElsewhere by core, StopRequiredSince by State.
	Cancelled bool // by its user, or because a job that it depends on was cancelled
	// CancelledElsewhere reports whether another controller has told the user that the job is
	// cancelled, while the store does not show that yet.
	CancelledElsewhere bool
	// StopRequiredSince is the earliest time from which the job's tasks must not run; 0 means
	// that they may run.
	StopRequiredSince micros.Micros

	// Tasks and their counts. Written by State, UncommittedTasks also by the partition log.
	chunks           []*taskChunk // nil until one is allocated
	PlacedTasks      int
	DoneTasks        int
	UncommittedTasks int                   // tasks with uncommitted changes
	TasksPerZone     map[string]int        // placed tasks by zone
	delayedTasks     map[int]micros.Micros // by index: pending tasks that are not placed before a time; nil: none

	// The end of the job. Written by the partition log.
	endedAt  micros.Micros // when its terminal state was first due; 0: not due
	Terminal bool          // its terminal state is committed, but the replica still has its key

	// Dependencies. The list is written when the record is applied, the rest by the
	// dependency graph.
	Dependencies             []string         // ids of jobs that must be done first
	links                    []dependencyLink // parallel to Dependencies
	PendingDependencies      int              // dependencies that are not known to be done
	undeterminedDependencies int              // pending dependencies that may be cancelled, for all that is known
	DependencyCancelled      bool
	dependenciesDoneAt       micros.Micros // when the last of them was done

	// Failures of its tasks. Written by the task lifecycle.
	FailedMachines map[string]bool // names of the machines that its tasks failed on
	FailureCount   int             // failures seen by this controller
	Suspect        bool            // fails on every machine, probably because of a mistake in it
	lastFailureAt  micros.Micros
	backoff        micros.Micros // last wait between two attempts while suspect
	NotBefore      micros.Micros // its tasks are not placed before this time

	// Start of a gang. StartUncommitted is written by planning, the partition log and State,
	// needsNewAttempt by the task lifecycle and State.
	StartUncommitted bool // its start is not committed yet
	needsNewAttempt  bool // a task of this attempt has exited: the number must not be used again
	awaitingTasks    int  // placed tasks that await the rest of the gang, see Task.awaitsGang

	// Reservations. Written by planning.
	ReservedSince       micros.Micros // since when machines are reserved for it; 0: none are
	NoReservationBefore micros.Micros // set after a reservation in which it did not start in time
}

// IsTaskCommitted reports whether a task has no uncommitted change.
func (j *Job) IsTaskCommitted(index int) bool {
	task := j.Task(index)
	return task == nil || !task.uncommitted
}

// delayTask keeps a pending task from being placed before a time.
func (j *Job) delayTask(index int, until micros.Micros) {
	if j.delayedTasks == nil {
		j.delayedTasks = map[int]micros.Micros{}
	}
	j.delayedTasks[index] = until
}

// countDelayed returns the number of pending tasks that may not be placed yet.
func (j *Job) countDelayed(now micros.Micros) int {
	count := 0
	for index, until := range j.delayedTasks {
		if now >= until {
			delete(j.delayedTasks, index)
			continue
		}
		if task := j.Task(index); task == nil || task.State == records.TaskPending {
			count++
		}
	}
	return count
}

// PlaceableTaskCount returns the number of tasks that PlaceableTasks returns.
func (j *Job) PlaceableTaskCount(now micros.Micros, limit int) int {
	count := j.Spec.Tasks - j.PlacedTasks - j.DoneTasks - j.countDelayed(now)
	if j.Spec.Kind != api.KindGang {
		return min(count, limit)
	}
	if !j.mayPlaceGangTasks(count) {
		return 0
	}
	return count
}

// mayPlaceGangTasks reports whether that many pending tasks of a gang may be placed. All tasks of
// a gang are placed together, with two exceptions. A gang that is reassembling gets only its
// missing tasks. If one task of a gang is done, all of them are done, and a pending one is run
// again only because its machine was lost before it could report that.
func (j *Job) mayPlaceGangTasks(pending int) bool {
	return pending+j.DoneTasks == j.Spec.Tasks || j.IsReassembling()
}

// PlaceableTasks returns the indexes of the tasks that may be placed now. It returns at most
// limit of them, or all of a gang.
func (j *Job) PlaceableTasks(now micros.Micros, limit int) []int {
	list := make([]int, 0, j.PlaceableTaskCount(now, limit))
	for number := range j.chunkCount() {
		chunk := j.chunkAt(number)
		if chunk != nil && !chunk.hasPending() {
			continue
		}
		end := min(j.Spec.Tasks, (number+1)*tasksPerChunk)
		for index := number * tasksPerChunk; index < end; index++ {
			if len(list) == cap(list) {
				return list
			}
			isPending := chunk == nil || chunk.tasks[index%tasksPerChunk].State == records.TaskPending
			if isPending && now >= j.delayedTasks[index] {
				list = append(list, index)
			}
		}
	}
	return list
}

// LastAttempt returns the highest attempt number of any task, 0 if none was ever placed.
func (j *Job) LastAttempt() api.Attempt {
	var last api.Attempt
	for _, task := range j.allocatedTasks() {
		last = max(last, task.Attempt)
	}
	return last
}

// HasStarted reports whether a task is placed or done, which implies that all dependencies
// are done.
func (j *Job) HasStarted() bool { return j.PlacedTasks+j.DoneTasks > 0 }

// EligibleAt returns the time from which the job could have started. Its waiting time counts
// from then on.
func (j *Job) EligibleAt() micros.Micros { return max(j.AcceptedAt, j.dependenciesDoneAt) }

// MustNotRun reports whether no task of the job may run any more: the job is cancelled, or
// another controller has told its user so.
func (j *Job) MustNotRun() bool { return j.Cancelled || j.CancelledElsewhere }

// isFinished reports whether the job is done, or is cancelled and has no placed tasks.
func (j *Job) isFinished() bool {
	if j.Cancelled {
		return j.PlacedTasks == 0
	}
	return j.Spec.Kind != api.KindService && j.DoneTasks == j.Spec.Tasks
}

// Status returns the status of an unfinished job as users see it.
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
