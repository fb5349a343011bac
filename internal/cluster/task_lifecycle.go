package cluster

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// graceOverrunS is how many seconds longer than its grace a task may take to save its
	// checkpoint before it is stopped without.
	graceOverrunS = 10
	// refusedStartDelay is how long a task that a worker refused to start waits before it
	// may be placed again.
	refusedStartDelay = 3 * micros.Second
)

// TaskLifecycle is what becomes of tasks: which may start, which must stop, and what
// follows from their ends and failures.
type TaskLifecycle struct {
	*coordination.Environment
	cluster    *State
	storeLease *coordination.StoreLease
	trigger    *CycleTrigger
}

// NewTaskLifecycle returns a task lifecycle.
func NewTaskLifecycle(
	env *coordination.Environment, cluster *State, lease *coordination.StoreLease, trigger *CycleTrigger,
) *TaskLifecycle {
	return &TaskLifecycle{Environment: env, cluster: cluster, storeLease: lease, trigger: trigger}
}

// MustStop reports whether a task must not go on running.
func (l *TaskLifecycle) MustStop(job *Job, task *Task) bool {
	return job.MustNotRun() || task.StopRequestedAt > 0 || job.isBroken()
}

// GraceFor returns how many seconds a task that must stop may take to save a checkpoint.
// That of a cancelled job or a broken gang is of no use.
func (l *TaskLifecycle) GraceFor(job *Job, task *Task) float64 {
	if job.MustNotRun() || job.isBroken() {
		return 0
	}
	if l.Now > task.StopRequestedAt+micros.FromSeconds(task.GraceS+graceOverrunS) {
		return 0
	}
	return task.GraceS
}

// MayStartOn reports whether a job's committed tasks on a machine may be started.
func (l *TaskLifecycle) MayStartOn(machine *Machine, job *Job) bool {
	if !l.storeLease.MayStartTasks() || !machine.TokenConfirmed {
		return false
	}
	if machine.Record.Condemned || machine.InterruptionAt != 0 {
		return false
	}
	return job.Spec.Kind != api.Gang || job.isPlacedWhole()
}

// TaskExited applies a worker's report of how a task ended.
func (l *TaskLifecycle) TaskExited(job *Job, index int, task *Task, machine *Machine, report api.TaskStatus) {
	attempt := task.Attempt
	if report.ExitReason == api.ExitDone && !job.Cancelled {
		machine.CacheImage(job.Spec.Image, job.Spec.ImageGB)
		l.TaskSucceeded(job, machine)
		l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskDone, Attempt: attempt, Machine: ""})
		l.trigger.RequestCycleWithin(0)
		return
	}
	l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskPending, Attempt: attempt, Machine: ""})
	// Its worker still holds this attempt, so it must not be used again.
	job.attemptSpoiled = job.PlacedTasks > 0
	switch report.ExitReason {
	case api.ExitFailed:
		l.TaskFailed(job, machine, report.Task)
	case api.ExitNoRoom, api.ExitBusy, api.ExitNoSuch:
		job.Task(index).notBefore = l.Now + refusedStartDelay
		l.LogInfo(
			"task start refused", logkey.Task, report.Task, logkey.Machine, machine.Name,
			logkey.Reason, report.ExitReason,
		)
	default:
		// It was stopped, or its gang did not stay whole: nothing speaks against its job or
		// its machine.
	}
	l.trigger.RequestCycleWithin(0)
}

// TaskGone records that a task is proven to be on its machine no more.
func (l *TaskLifecycle) TaskGone(job *Job, index int, reason string) {
	task := job.Task(index)
	l.LogDebug(
		"task gone", logkey.Job, job.ID, logkey.Task, index, logkey.Machine, task.Machine, logkey.Reason, reason,
	)
	l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskPending, Attempt: task.Attempt, Machine: ""})
	l.trigger.RequestCycleWithin(0)
}

// RequestTaskStop has a task save a checkpoint, if it can, and stop. It has no effect on
// one that is stopping already.
func (l *TaskLifecycle) RequestTaskStop(job *Job, task *Task, reason string) {
	if task.StopRequestedAt > 0 {
		return
	}
	task.StopRequestedAt = l.Now
	if job.Spec.CheckpointIntervalS > 0 {
		task.GraceS = job.Spec.CheckpointSaveS + 1
	}
	l.LogInfo(
		"task stop requested", logkey.Job, job.ID, logkey.Machine, task.Machine, logkey.Reason, reason,
	)
	if job.Spec.Kind == api.Gang {
		l.requestGangStop(job, task.GraceS)
	}
	l.cluster.requestCommand(task.Machine)
}

// requestGangStop has all placed tasks of a gang stop together: an orderly stop reaches all
// of them at once.
func (l *TaskLifecycle) requestGangStop(job *Job, graceS float64) {
	for _, task := range job.knownTasks() {
		if task.State == records.TaskPlaced {
			task.StopRequestedAt, task.GraceS = l.Now, graceS
			l.cluster.requestCommand(task.Machine)
		}
	}
}

// ReleaseTasksWithoutMachine takes tasks off machines that have no record: a record is
// deleted only once all on the machine is proven gone.
func (l *TaskLifecycle) ReleaseTasksWithoutMachine() {
	for _, id := range slices.Sorted(maps.Keys(l.cluster.Jobs)) {
		job := l.cluster.Jobs[id]
		if !l.cluster.Partitions[job.Partition].Leads() || job.PlacedTasks == 0 {
			continue
		}
		for index, task := range job.knownTasks() {
			if task.State == records.TaskPlaced && l.cluster.Machines[task.Machine] == nil {
				l.TaskGone(job, index, "its machine's record is gone")
			}
		}
	}
}

// ReleaseTasks records that all tasks on a machine are gone.
func (l *TaskLifecycle) ReleaseTasks(machine *Machine, reason string) {
	for _, id := range machine.TaskIDsCopy() {
		job := l.cluster.Jobs[id.Job]
		if job != nil && l.cluster.Partitions[job.Partition].Leads() {
			l.TaskGone(job, id.Index, reason)
		}
	}
}
