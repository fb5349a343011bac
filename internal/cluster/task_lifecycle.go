package cluster

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/coordination"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// TaskLifecycle is what becomes of tasks: which may start, which must stop, and what
// follows from their ends and failures.
type TaskLifecycle struct {
	*coordination.Environment
	cluster    *State
	storeLease *coordination.StoreLease
	trigger    *CycleTrigger
}

// NewTaskLifecycle makes a task lifecycle.
func NewTaskLifecycle(env *coordination.Environment, cluster *State, lease *coordination.StoreLease, trigger *CycleTrigger) *TaskLifecycle {
	return &TaskLifecycle{Environment: env, cluster: cluster, storeLease: lease, trigger: trigger}
}

// gangCommitted tells whether a gang is placed whole and committed so.
func (l *TaskLifecycle) gangCommitted(j *Job) bool {
	if j.PlacedTasks+j.DoneTasks != j.Spec.Tasks {
		return false
	}
	return j.ChangedTasks == 0
}

// IsReassembling tells whether a gang that lost tasks has not begun to run: those
// that wait keep their places, and replacements with the same attempt complete
// it.
func (j *Job) IsReassembling() bool {
	if j.Spec.Kind != api.Gang || j.DoneTasks > 0 || j.PlacedTasks == 0 || j.Cancelled || j.attemptSpoiled {
		return false
	}
	for _, ch := range j.Chunks {
		for i := range ch {
			t := &ch[i]
			if t.State == TaskPlaced && (!t.Observed || t.StopRequestedAt > 0 || t.ReportedState != api.TaskFetching && t.ReportedState != api.TaskWaiting) {
				return false
			}
		}
	}
	return true
}

// isBroken tells whether a gang lost a task while it ran: the rest must go
// before it starts again.
func (j *Job) isBroken() bool {
	return j.Spec.Kind == api.Gang && !j.StartUncommitted && !j.IsReassembling() && j.DoneTasks == 0 && j.PlacedTasks > 0 && j.PlacedTasks < j.Spec.Tasks
}

// MustNotRun tells whether nothing of a job may run any more: it is cancelled, or
// another controller says that it told its user so.
func (j *Job) MustNotRun() bool { return j.Cancelled || j.CancelledElsewhere }

// MustStop tells whether a task must not go on running.
func (l *TaskLifecycle) MustStop(j *Job, t *Task) bool {
	return j.MustNotRun() || t.StopRequestedAt > 0 || j.isBroken()
}

// GraceFor is how long a task that must stop may save. What a cancelled or
// broken job saved is of no use.
func (l *TaskLifecycle) GraceFor(j *Job, t *Task) float64 {
	if j.MustNotRun() || j.isBroken() || l.Now > t.StopRequestedAt+micros.FromSeconds(t.GraceS+10) {
		return 0
	}
	return t.GraceS
}

// TaskExited takes in how a task ended.
func (l *TaskLifecycle) TaskExited(j *Job, n int, t *Task, m *Machine, tr api.TaskStatus) {
	attempt := t.Attempt
	if tr.ExitReason == api.ExitDone && !j.Cancelled {
		m.CacheImage(j.Spec.Image, j.Spec.ImageGB)
		l.TaskSucceeded(j, m)
		l.cluster.ChangeTask(j, n, TaskRecord{State: TaskDone, Attempt: attempt, Machine: ""})
		l.trigger.RequestCycleWithin(0)
		return
	}
	l.cluster.ChangeTask(j, n, TaskRecord{State: taskPending, Attempt: attempt, Machine: ""})
	t = j.Task(n)
	// Its worker still holds this attempt, so it must not be used again.
	j.attemptSpoiled = j.PlacedTasks > 0
	switch tr.ExitReason {
	case api.ExitFailed:
		l.TaskFailed(j, m, tr.Task)
	case api.ExitNoRoom, api.ExitBusy, api.ExitNoSuch:
		t.notBefore = l.Now + 3*micros.Second
		l.LogInfo("task start refused", logkey.Task, tr.Task, logkey.Machine, m.Name, logkey.Reason, tr.ExitReason)
	}
	l.trigger.RequestCycleWithin(0)
}

// TaskGone takes in that a task is proven to be on its machine no more.
func (l *TaskLifecycle) TaskGone(j *Job, n int, why string) {
	t := j.Task(n)
	l.LogDebug("task gone", logkey.Job, j.ID, logkey.Task, n, logkey.Machine, t.Machine, logkey.Reason, why)
	l.cluster.ChangeTask(j, n, TaskRecord{State: taskPending, Attempt: t.Attempt, Machine: ""})
	l.trigger.RequestCycleWithin(0)
}

// RequestTaskStop tells a task to save, if it can, and stop.
func (l *TaskLifecycle) RequestTaskStop(j *Job, t *Task, why string) {
	if t.StopRequestedAt > 0 {
		return
	}
	t.StopRequestedAt = l.Now
	if j.Spec.CheckpointIntervalS > 0 {
		t.GraceS = j.Spec.CheckpointSaveS + 1
	}
	l.LogInfo("task stop requested", logkey.Job, j.ID, logkey.Machine, t.Machine, logkey.Reason, why)
	if j.Spec.Kind == api.Gang {
		// An orderly stop reaches all of a gang at once.
		for _, n := range j.ChunkIndexes() {
			for i := range j.Chunks[n] {
				o := &j.Chunks[n][i]
				if o.State == TaskPlaced {
					o.StopRequestedAt, o.GraceS = l.Now, t.GraceS
					if om := l.cluster.Machines[o.Machine]; om != nil {
						om.NextCommandAt = min(om.NextCommandAt, l.Now)
					}
				}
			}
		}
	}
	if m := l.cluster.Machines[t.Machine]; m != nil {
		m.NextCommandAt = min(m.NextCommandAt, l.Now)
	}
}

// MayStartOn tells whether a job's committed tasks here may be started.
func (l *TaskLifecycle) MayStartOn(m *Machine, j *Job) bool {
	return l.storeLease.MayStartTasks() && m.TokenConfirmed && !m.Record.Condemned && m.InterruptionAt == 0 && (j.Spec.Kind != api.Gang || l.gangCommitted(j))
}

// ReleaseTasksWithoutMachine takes tasks off machines that have no record: a record goes only
// once all on the machine is proven gone.
func (l *TaskLifecycle) ReleaseTasksWithoutMachine() {
	for _, id := range slices.Sorted(maps.Keys(l.cluster.Jobs)) {
		j := l.cluster.Jobs[id]
		if !l.cluster.Partitions[j.Partition].Leads() || j.PlacedTasks == 0 {
			continue
		}
		for _, k := range j.ChunkIndexes() {
			for i := range j.Chunks[k] {
				if t := &j.Chunks[k][i]; t.State == TaskPlaced && l.cluster.Machines[t.Machine] == nil {
					l.TaskGone(j, k*ChunkSize+i, "its machine's record is gone")
				}
			}
		}
	}
}

// ReleaseTasks takes in that all on a machine is gone.
func (l *TaskLifecycle) ReleaseTasks(m *Machine, why string) {
	for _, id := range m.TaskIDsCopy() {
		if j := l.cluster.Jobs[id.Job]; j != nil && l.cluster.Partitions[j.Partition].Leads() {
			l.TaskGone(j, id.Index, why)
		}
	}
}
