package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// taskLifecycle is what becomes of tasks: which may start, which must stop, and what
// follows from their ends and failures.
type taskLifecycle struct {
	*environment
	cluster    *clusterState
	storeLease *storeLease
	trigger    *cycleTrigger
}

func newTaskLifecycle(env *environment, cluster *clusterState, lease *storeLease, trigger *cycleTrigger) *taskLifecycle {
	return &taskLifecycle{environment: env, cluster: cluster, storeLease: lease, trigger: trigger}
}

// gangCommitted tells whether a gang is placed whole and committed so.
func (l *taskLifecycle) gangCommitted(j *job) bool {
	if j.placedTasks+j.doneTasks != j.spec.Tasks {
		return false
	}
	return j.changedTasks == 0
}

// isReassembling tells whether a gang that lost tasks has not begun to run: those
// that wait keep their places, and replacements with the same attempt complete
// it.
func (j *job) isReassembling() bool {
	if j.spec.Kind != api.Gang || j.doneTasks > 0 || j.placedTasks == 0 || j.cancelled || j.attemptSpoiled {
		return false
	}
	for _, ch := range j.chunks {
		for i := range ch {
			t := &ch[i]
			if t.state == taskPlaced && (!t.observed || t.stopRequestedAt > 0 || t.reportedState != api.TaskFetching && t.reportedState != api.TaskWaiting) {
				return false
			}
		}
	}
	return true
}

// isBroken tells whether a gang lost a task while it ran: the rest must go
// before it starts again.
func (j *job) isBroken() bool {
	return j.spec.Kind == api.Gang && !j.startUncommitted && !j.isReassembling() && j.doneTasks == 0 && j.placedTasks > 0 && j.placedTasks < j.spec.Tasks
}

// mustNotRun tells whether nothing of a job may run any more: it is cancelled, or
// another controller says that it told its user so.
func (j *job) mustNotRun() bool { return j.cancelled || j.cancelledElsewhere }

func (l *taskLifecycle) mustStop(j *job, t *task) bool {
	return j.mustNotRun() || t.stopRequestedAt > 0 || j.isBroken()
}

// graceFor is how long a task that must stop may save. What a cancelled or
// broken job saved is of no use.
func (l *taskLifecycle) graceFor(j *job, t *task) float64 {
	if j.mustNotRun() || j.isBroken() || l.now > t.stopRequestedAt+micros.FromSeconds(t.graceS+10) {
		return 0
	}
	return t.graceS
}

// taskExited takes in how a task ended.
func (l *taskLifecycle) taskExited(j *job, n int, t *task, m *machine, tr api.TaskStatus) {
	attempt := t.attempt
	if tr.ExitReason == api.JobDone && !j.cancelled {
		m.cacheImage(j.spec.Image, j.spec.ImageGB)
		l.taskSucceeded(j, m)
		l.cluster.changeTask(j, n, taskRecord{state: taskDone, attempt: attempt, machine: ""})
		l.trigger.requestPlanWithin(0)
		return
	}
	l.cluster.changeTask(j, n, taskRecord{state: taskPending, attempt: attempt, machine: ""})
	t = j.task(n)
	// Its worker still holds this attempt, so it must not be used again.
	j.attemptSpoiled = j.placedTasks > 0
	switch tr.ExitReason {
	case api.ExitFailed:
		l.taskFailed(j, m, tr.Task)
	case api.ExitNoRoom, api.ExitBusy, api.ExitNoSuch:
		t.notBefore = l.now + 3*micros.Second
		l.logInfo("start refused", "task", tr.Task, "machine", m.name, "why", tr.ExitReason)
	}
	l.trigger.requestPlanWithin(0)
}

// taskGone takes in that a task is proven to be on its machine no more.
func (l *taskLifecycle) taskGone(j *job, n int, why string) {
	t := j.task(n)
	l.logDebug("task gone", "job", j.id, "task", n, "machine", t.machine, "why", why)
	l.cluster.changeTask(j, n, taskRecord{state: taskPending, attempt: t.attempt, machine: ""})
	l.trigger.requestPlanWithin(0)
}

// requestTaskStop tells a task to save, if it can, and stop.
func (l *taskLifecycle) requestTaskStop(j *job, t *task, why string) {
	if t.stopRequestedAt > 0 {
		return
	}
	t.stopRequestedAt = l.now
	if j.spec.CheckpointIntervalS > 0 {
		t.graceS = j.spec.CheckpointSaveS + 1
	}
	l.logInfo("task told to stop", "job", j.id, "machine", t.machine, "why", why)
	if j.spec.Kind == api.Gang {
		// An orderly stop reaches all of a gang at once.
		for _, n := range j.chunkIndexes() {
			for i := range j.chunks[n] {
				o := &j.chunks[n][i]
				if o.state == taskPlaced {
					o.stopRequestedAt, o.graceS = l.now, t.graceS
					if om := l.cluster.machines[o.machine]; om != nil {
						om.nextCommandAt = min(om.nextCommandAt, l.now)
					}
				}
			}
		}
	}
	if m := l.cluster.machines[t.machine]; m != nil {
		m.nextCommandAt = min(m.nextCommandAt, l.now)
	}
}

// mayStartOn tells whether a job's committed tasks here may be started.
func (l *taskLifecycle) mayStartOn(m *machine, j *job) bool {
	return l.storeLease.mayStartTasks() && m.tokenConfirmed && !m.record.Condemned && m.interruptionAt == 0 && (j.spec.Kind != api.Gang || l.gangCommitted(j))
}

// releaseTasksWithoutMachine takes tasks off machines that have no record: a record goes only
// once all on the machine is proven gone.
func (l *taskLifecycle) releaseTasksWithoutMachine() {
	for _, id := range slices.Sorted(maps.Keys(l.cluster.jobs)) {
		j := l.cluster.jobs[id]
		if !l.cluster.partitions[j.partition].Leads() || j.placedTasks == 0 {
			continue
		}
		for _, k := range j.chunkIndexes() {
			for i := range j.chunks[k] {
				if t := &j.chunks[k][i]; t.state == taskPlaced && l.cluster.machines[t.machine] == nil {
					l.taskGone(j, k*chunkSize+i, "its machine's record is gone")
				}
			}
		}
	}
}

// releaseTasks takes in that all on a machine is gone.
func (l *taskLifecycle) releaseTasks(m *machine, why string) {
	for _, id := range m.taskIDsCopy() {
		if j := l.cluster.jobs[id.job]; j != nil && l.cluster.partitions[j.partition].Leads() {
			l.taskGone(j, id.index, why)
		}
	}
}
