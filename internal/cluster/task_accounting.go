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
	job.setUncommitted(index, true)
	s.MarkChanged(job)
}

// RevertUncommitted resets all tasks of a job to their committed state.
func (s *State) RevertUncommitted(job *Job) {
	job.StartUncommitted = false
	for index, task := range job.uncommittedTasks() {
		s.SetTask(job, index, task.Committed)
	}
}

// SetTask sets the state of a task and updates every count that depends on it. It discards
// the observations of the task and its uncommitted change.
func (s *State) SetTask(job *Job, index int, record TaskRecord) {
	task := job.EnsureTask(index)
	job.setUncommitted(index, false)
	s.updateCounts(job, index, task, -1)
	job.forgetObservation(task)
	*task = Task{
		TaskRecord:  record,
		Committed:   task.Committed,
		LogSequence: task.LogSequence,
		generation:  task.generation,
		PlacedAt:    s.Now,
	}
	s.updateCounts(job, index, task, 1)
	if job.PlacedTasks == 0 {
		job.needsNewAttempt = false
	}
}

// updateCounts adds a task in its current state to all counts (delta 1) or removes it from
// them (delta -1).
func (s *State) updateCounts(job *Job, index int, task *Task, delta int) {
	job.ensureChunk(index).count(task.State, delta)
	switch task.State {
	case records.TaskPending:
	case records.TaskDone:
		job.DoneTasks += delta
	case records.TaskPlaced:
		job.PlacedTasks += delta
		if usage := s.TeamUsage[job.Spec.Team]; usage != nil {
			*usage = usage.AddScaled(job.Request, int64(delta))
		}
		machine := s.Machines[task.Machine]
		switch {
		case machine != nil:
			s.updateMachineCounts(job, index, machine, delta)
		case delta > 0 && !s.cache.Synced:
			s.tasksOfUnread[task.Machine] = append(s.tasksOfUnread[task.Machine], TaskID{Job: job.ID, Index: index})
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

// addTasksReadBefore adds the tasks to a machine that were read before its record was.
func (s *State) addTasksReadBefore(machine *Machine) {
	for _, id := range s.tasksOfUnread[machine.Name] {
		job := s.Jobs[id.Job]
		if job == nil || machine.hasTask(id) {
			continue // it has ended, or is in the list twice
		}
		if task := job.Task(id.Index); task.State == records.TaskPlaced && task.Machine == machine.Name {
			s.updateMachineCounts(job, id.Index, machine, 1)
		}
	}
	delete(s.tasksOfUnread, machine.Name)
}

// ClearTasks makes all tasks of a job that has ended pending, which removes them from their
// machines and from all counts.
func (s *State) ClearTasks(job *Job) {
	for index := range job.allocatedTasks() {
		s.SetTask(job, index, TaskRecord{})
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
	for _, task := range job.placedTasks() {
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
