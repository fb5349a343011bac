package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// IsReassembling reports whether a gang that lost tasks has not begun to run: those of
// its tasks that wait keep their machines, and replacements with the same attempt
// complete it.
func (j *Job) IsReassembling() bool {
	if j.Spec.Kind != api.Gang || j.DoneTasks > 0 || j.PlacedTasks == 0 || j.Cancelled || j.attemptSpoiled {
		return false
	}
	for _, task := range j.knownTasks() {
		if task.State == records.TaskPlaced && !task.awaitsGang() {
			return false
		}
	}
	return true
}

// awaitsGang reports whether a placed task of a gang is known to wait for the rest of it.
func (t *Task) awaitsGang() bool {
	if !t.Observed || t.StopRequestedAt > 0 {
		return false
	}
	return t.ReportedState == api.TaskFetching || t.ReportedState == api.TaskWaiting
}

// isBroken reports whether a gang lost a task while it ran: the rest must be gone before
// it starts again.
func (j *Job) isBroken() bool {
	if j.Spec.Kind != api.Gang || j.StartUncommitted || j.IsReassembling() {
		return false
	}
	return j.DoneTasks == 0 && j.PlacedTasks > 0 && j.PlacedTasks < j.Spec.Tasks
}

// isPlacedWhole reports whether all of a gang is placed and that is committed.
func (j *Job) isPlacedWhole() bool {
	return j.PlacedTasks+j.DoneTasks == j.Spec.Tasks && j.ChangedTasks == 0
}
