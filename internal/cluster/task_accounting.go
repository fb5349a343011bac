package cluster

import (
	"slices"

	"spurmoor/internal/records"
)

// MarkChanged adds a job to the changed jobs of its partition, so that the next commit
// examines it. It has no effect if this controller does not lead the partition.
func (s *State) MarkChanged(job *Job) {
	partition := s.Partitions[job.Partition]
	if partition.Leads() && s.Jobs[job.ID] == job && !job.Terminal {
		partition.ChangedJobs[job.ID] = true
	}
}

// ChangeTask sets the state of a task and marks the change as uncommitted. The caller ensures
// that records.TaskState.CanBecome permits the transition.
func (s *State) ChangeTask(job *Job, index int, record TaskRecord) {
	task := job.EnsureTask(index)
	if machine := s.Machines[task.Machine]; machine != nil && machine.Name != record.Machine {
		machine.UncommittedRemovals[job.ID] = true
	}
	s.SetTask(job, index, record)
	task.generation++
	if !task.uncommitted {
		task.uncommitted = true
		job.UncommittedTasks++
	}
	s.MarkChanged(job)
}

// RevertUncommitted resets all tasks of a job to their committed state.
func (s *State) RevertUncommitted(job *Job) {
	job.StartUncommitted = false
	for index, task := range job.allocatedTasks() {
		if task.uncommitted {
			s.SetTask(job, index, task.Committed)
		}
	}
}

// SetTask sets the state of a task and updates every count that depends on it. It discards
// the observations of the task and its uncommitted change.
func (s *State) SetTask(job *Job, index int, record TaskRecord) {
	task := job.EnsureTask(index)
	if task.uncommitted {
		task.uncommitted = false
		job.UncommittedTasks--
	}
	s.updateCounts(job, index, task, -1)
	*task = Task{
		TaskRecord:  record,
		Committed:   task.Committed,
		LogSequence: task.LogSequence,
		generation:  task.generation,
		PlacedAt:    s.Now,
		notBefore:   task.notBefore,
	}
	s.updateCounts(job, index, task, 1)
	if job.PlacedTasks == 0 {
		job.needsNewAttempt = false
	}
}

// updateCounts adds a task in its current state to all counts (delta 1) or removes it from
// them (delta -1).
func (s *State) updateCounts(job *Job, index int, task *Task, delta int) {
	switch task.State {
	case records.TaskPending:
	case records.TaskDone:
		job.DoneTasks += delta
	case records.TaskPlaced:
		job.PlacedTasks += delta
		if usage := s.TeamUsage[job.Spec.Team]; usage != nil {
			*usage = usage.AddScaled(job.Request, int64(delta))
		}
		if machine := s.Machines[task.Machine]; machine != nil {
			s.updateMachineCounts(job, index, machine, delta)
		}
	}
}

// updateMachineCounts adds a task to a machine's tasks and allocated resources (delta 1) or
// removes it from them (delta -1).
func (s *State) updateMachineCounts(job *Job, index int, machine *Machine, delta int) {
	machine.Allocated = machine.Allocated.AddScaled(job.Request, int64(delta))
	job.TasksPerZone[machine.Record.Zone] += delta
	id := TaskID{Job: job.ID, Index: index}
	at, found := slices.BinarySearchFunc(machine.TaskIDs, id, TaskID.compare)
	switch {
	case delta > 0 && !found:
		machine.TaskIDs = slices.Insert(machine.TaskIDs, at, id)
	case delta < 0 && found:
		machine.TaskIDs = slices.Delete(machine.TaskIDs, at, at+1)
		if len(machine.TaskIDs) == 0 {
			machine.IdleSince = s.Now
		}
	}
}

// addPlacedTasks adds the placed tasks of a job to a machine whose record was read after the
// tasks were.
func (s *State) addPlacedTasks(job *Job, machine *Machine) {
	for index, task := range job.allocatedTasks() {
		if task.State == records.TaskPlaced && task.Machine == machine.Name {
			s.updateMachineCounts(job, index, machine, 1)
		}
	}
}

// RequestJobStop handles that a job's tasks must not run any more. It sets StopRequiredSince, if
// that is not set yet, and requests that commands are sent to the job's machines at once.
func (s *State) RequestJobStop(job *Job) {
	if job.StopRequiredSince == 0 {
		job.StopRequiredSince = s.cache.CurrentAsOf
	}
	if job.PlacedTasks == 0 || !s.Partitions[job.Partition].Leads() {
		return
	}
	for _, task := range job.allocatedTasks() {
		s.requestCommand(task.Machine)
	}
}

// requestCommand requests that direct commands are sent to a machine as soon as possible. It
// has no effect if the replica does not have the machine.
func (s *State) requestCommand(name string) {
	if machine := s.Machines[name]; machine != nil {
		machine.NextCommandAt = min(machine.NextCommandAt, s.Now)
	}
}
