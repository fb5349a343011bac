package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// IsReassembling reports whether a gang has placed tasks that all still wait for the rest of
// it. If it lost tasks, the waiting ones keep their machines and replacements with the same
// attempt number complete the gang.
func (j *Job) IsReassembling() bool {
	if j.Spec.Kind != api.KindGang || j.DoneTasks > 0 || j.PlacedTasks == 0 || j.Cancelled || j.needsNewAttempt {
		return false
	}
	return j.awaitingTasks == j.PlacedTasks
}

// ObserveTask records the state in which its worker reported a placed task.
func (j *Job) ObserveTask(task *Task, state api.TaskState) {
	j.countAwaiting(task, -1)
	task.Observed, task.ReportedState = true, state
	j.countAwaiting(task, 1)
}

// forgetObservation discards what was reported of a task.
func (j *Job) forgetObservation(task *Task) {
	j.countAwaiting(task, -1)
	task.Observed, task.ReportedState = false, ""
}

// requestStop records that a placed task must stop from now on, with graceS seconds to save a
// checkpoint.
func (j *Job) requestStop(task *Task, now micros.Micros, graceS float64) {
	j.countAwaiting(task, -1)
	task.StopRequestedAt, task.GraceS = now, graceS
	j.countAwaiting(task, 1)
}

// countAwaiting adds delta to the number of tasks that await the rest of the gang if the task
// does.
func (j *Job) countAwaiting(task *Task, delta int) {
	if task.awaitsGang() {
		j.awaitingTasks += delta
	}
}

// awaitsGang reports whether a placed task of a gang has reported that it waits for the rest
// of the gang or still fetches its image.
func (t *Task) awaitsGang() bool {
	if !t.Observed || t.StopRequestedAt > 0 {
		return false
	}
	return t.ReportedState == api.TaskFetching || t.ReportedState == api.TaskWaiting
}

// isBroken reports whether a gang lost a task while it ran. The remaining tasks must stop
// before the gang starts again.
func (j *Job) isBroken() bool {
	if j.Spec.Kind != api.KindGang || j.StartUncommitted || j.IsReassembling() {
		return false
	}
	return j.DoneTasks == 0 && j.PlacedTasks > 0 && j.PlacedTasks < j.Spec.Tasks
}

// isFullyPlaced reports whether every task of a gang is placed or done and none has an
// uncommitted change.
func (j *Job) isFullyPlaced() bool {
	return j.PlacedTasks+j.DoneTasks == j.Spec.Tasks && j.UncommittedTasks == 0
}
