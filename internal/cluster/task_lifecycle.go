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
	// graceOverrunS is how many seconds longer than its grace period a task may take to save
	// its checkpoint. After that it is stopped without one.
	graceOverrunS = 10
	// refusedStartDelay is how long a task waits to be placed again after a worker refused to
	// start it.
	refusedStartDelay = 3 * micros.Second
)

// TaskLifecycle decides which tasks may start and which must stop, and handles the ends and
// failures of tasks.
type TaskLifecycle struct {
	*coordination.Environment
	cluster    *State
	storeLease *coordination.StoreLease
	trigger    *CycleTrigger
}

// NewTaskLifecycle returns a task lifecycle for the tasks in cluster. It requests scheduling
// cycles from trigger.
func NewTaskLifecycle(
	env *coordination.Environment, cluster *State, lease *coordination.StoreLease, trigger *CycleTrigger,
) *TaskLifecycle {
	return &TaskLifecycle{Environment: env, cluster: cluster, storeLease: lease, trigger: trigger}
}

// MustStop reports whether a task must not continue to run.
func (l *TaskLifecycle) MustStop(job *Job, task *Task) bool {
	return job.MustNotRun() || task.StopRequestedAt > 0 || job.isBroken()
}

// GraceSeconds returns how many seconds a task that must stop has to save a checkpoint. It is
// 0 for cancelled jobs and broken gangs, whose checkpoints would be useless.
func (l *TaskLifecycle) GraceSeconds(job *Job, task *Task) float64 {
	if job.MustNotRun() || job.isBroken() {
		return 0
	}
	if l.Now > task.StopRequestedAt+micros.FromSeconds(task.GraceS+graceOverrunS) {
		return 0
	}
	return task.GraceS
}

// MayStartOn reports whether a job's committed tasks may be started on a machine.
func (l *TaskLifecycle) MayStartOn(machine *Machine, job *Job) bool {
	if !l.storeLease.MayStartTasks() || !machine.TokenConfirmed {
		return false
	}
	if machine.Record.MarkedForDeletion || machine.InterruptionAt != 0 {
		return false
	}
	return job.Spec.Kind != api.KindGang || job.isFullyPlaced()
}

// HandleExit handles a worker's report that a task has exited.
func (l *TaskLifecycle) HandleExit(job *Job, index int, task *Task, machine *Machine, report api.TaskStatus) {
	attempt := task.Attempt
	if report.ExitReason == api.ExitDone && !job.Cancelled {
		machine.CacheImage(job.Spec.Image, job.Spec.ImageGB)
		l.RecordSuccess(job, machine)
		l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskDone, Attempt: attempt, Machine: ""})
		l.trigger.RequestWithin(0)
		return
	}
	l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskPending, Attempt: attempt, Machine: ""})
	// The worker still holds this attempt, so its number must not be used again.
	job.needsNewAttempt = job.PlacedTasks > 0
	switch report.ExitReason {
	case api.ExitFailed:
		l.RecordFailure(job, machine, report.Task)
	case api.ExitNoRoom, api.ExitBusy, api.ExitUnknownTask:
		job.delayTask(index, l.Now+refusedStartDelay)
		l.LogInfo(
			"task start refused", logkey.Task, report.Task, logkey.Machine, machine.Name,
			logkey.Reason, report.ExitReason,
		)
	default:
		// The task was stopped, or its gang lost a task. That is no evidence against its job
		// or its machine.
	}
	l.trigger.RequestWithin(0)
}

// Release makes a task pending again after it is proven that it is no longer on its machine.
func (l *TaskLifecycle) Release(job *Job, index int, reason string) {
	task := job.Task(index)
	l.LogDebug(
		"task gone", logkey.Job, job.ID, logkey.Task, index, logkey.Machine, task.Machine, logkey.Reason, reason,
	)
	l.cluster.ChangeTask(job, index, TaskRecord{State: records.TaskPending, Attempt: task.Attempt, Machine: ""})
	l.trigger.RequestWithin(0)
}

// RequestStop requests that a task saves a checkpoint, if its job can, and stops. It has no
// effect on a task that is already stopping.
func (l *TaskLifecycle) RequestStop(job *Job, task *Task, reason string) {
	if task.StopRequestedAt > 0 {
		return
	}
	graceS := 0.0
	if job.Spec.CheckpointIntervalS > 0 {
		graceS = job.Spec.CheckpointSaveS + 1
	}
	job.requestStop(task, l.Now, graceS)
	l.LogInfo(
		"task stop requested", logkey.Job, job.ID, logkey.Machine, task.Machine, logkey.Reason, reason,
	)
	if job.Spec.Kind == api.KindGang {
		l.requestGangStop(job, graceS)
	}
	l.cluster.requestCommand(task.Machine)
}

// requestGangStop requests that all placed tasks of a gang stop together, with the same grace
// period.
func (l *TaskLifecycle) requestGangStop(job *Job, graceS float64) {
	for _, task := range job.placedTasks() {
		job.requestStop(task, l.Now, graceS)
		l.cluster.requestCommand(task.Machine)
	}
}

// reasonRecordGone is the reason why tasks are released whose machine has no record. A record is
// deleted only after all tasks on the machine are proven gone.
const reasonRecordGone = "its machine's record is gone"

// ReleaseWithoutMachine releases all tasks of a partition whose machine has no record.
func (l *TaskLifecycle) ReleaseWithoutMachine(partition *Partition) {
	for _, id := range slices.Sorted(maps.Keys(l.cluster.Jobs)) {
		job := l.cluster.Jobs[id]
		if job.Partition != partition.Index || job.PlacedTasks == 0 {
			continue
		}
		for index, task := range job.placedTasks() {
			if l.cluster.Machines[task.Machine] == nil {
				l.Release(job, index, reasonRecordGone)
			}
		}
	}
}

// ReleaseAll releases all tasks on a machine that are in partitions which this controller
// leads.
func (l *TaskLifecycle) ReleaseAll(machine *Machine, reason string) {
	l.releaseTasks(machine.TaskIDsCopy(), reason)
}

// releaseTasks releases those of the given tasks that are in partitions which this controller
// leads.
func (l *TaskLifecycle) releaseTasks(ids []TaskID, reason string) {
	for _, id := range ids {
		job := l.cluster.Jobs[id.Job]
		if job != nil && l.cluster.Partitions[job.Partition].Leads() {
			l.Release(job, id.Index, reason)
		}
	}
}
