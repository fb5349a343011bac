package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// IsReassembling reports whether a gang has placed tasks that all still wait for the rest of
// it. If it lost tasks, the waiting ones keep their machines and replacements with the same
// attempt number complete the gang.
func (j *Job) IsReassembling() bool {
	if j.Spec.Kind != api.KindGang || j.DoneTasks > 0 || j.PlacedTasks == 0 || j.Cancelled || j.needsNewAttempt {
		return false
	}
	for _, task := range j.allocatedTasks() {
		if task.State == records.TaskPlaced && !task.awaitsGang() {
			return false
		}
	}
	return true
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
