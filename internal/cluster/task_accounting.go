package cluster

import (
	"slices"

	"spurmoor/internal/records"
)

// MarkChanged has a job examined for what is to be committed of it.
func (s *State) MarkChanged(job *Job) {
	partition := s.Partitions[job.Partition]
	if partition.Leads() && s.Jobs[job.ID] == job && !job.Terminal {
		partition.ChangedJobs[job.ID] = true
	}
}

// ChangeTask decides what a task becomes, to be committed. Which states may follow on
// which, records.TaskState.CanBecome says.
func (s *State) ChangeTask(job *Job, index int, record TaskRecord) {
	task := job.EnsureTask(index)
	if machine := s.Machines[task.Machine]; machine != nil && machine.Name != record.Machine {
		machine.DepartedJobs[job.ID] = true
	}
	s.SetTask(job, index, record)
	task.generation++
	if !task.changed {
		task.changed = true
		job.ChangedTasks++
	}
	s.MarkChanged(job)
}

// RevertUncommitted discards what was decided of a job's tasks but is not committed.
func (s *State) RevertUncommitted(job *Job) {
	job.StartUncommitted = false
	for index, task := range job.knownTasks() {
		if task.changed {
			s.SetTask(job, index, task.Committed)
		}
	}
}

// SetTask sets what a task is, and every count that depends on it. What was observed of it
// and what was to be committed is forgotten.
func (s *State) SetTask(job *Job, index int, record TaskRecord) {
	task := job.EnsureTask(index)
	if task.changed {
		task.changed = false
		job.ChangedTasks--
	}
	s.countTask(job, index, task, -1)
	*task = Task{
		TaskRecord:  record,
		Committed:   task.Committed,
		LogSequence: task.LogSequence,
		generation:  task.generation,
		PlacedAt:    s.Now,
		notBefore:   task.notBefore,
	}
	s.countTask(job, index, task, 1)
	if job.PlacedTasks == 0 {
		job.attemptSpoiled = false
	}
}

// countTask adds a task, as it is, to all counts (delta 1) or takes it out of them (-1).
func (s *State) countTask(job *Job, index int, task *Task, delta int) {
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
			s.countOnMachine(job, index, machine, delta)
		}
	}
}

// countOnMachine adds a task to what is on a machine (delta 1) or takes it off (-1).
func (s *State) countOnMachine(job *Job, index int, machine *Machine, delta int) {
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

// countTasksOn counts the tasks of a job on a machine whose record was read after theirs.
func (s *State) countTasksOn(job *Job, machine *Machine) {
	for index, task := range job.knownTasks() {
		if task.State == records.TaskPlaced && task.Machine == machine.Name {
			s.countOnMachine(job, index, machine, 1)
		}
	}
}

// RequestJobStop has a job's machines notified at once that it must not run any more.
func (s *State) RequestJobStop(job *Job) {
	if job.StopRequiredSince == 0 {
		job.StopRequiredSince = s.cache.CurrentAsOf
	}
	if job.PlacedTasks == 0 || !s.Partitions[job.Partition].Leads() {
		return
	}
	for _, task := range job.knownTasks() {
		s.requestCommand(task.Machine)
	}
}

// requestCommand has a machine, if it is known, sent direct commands as soon as possible.
func (s *State) requestCommand(name string) {
	if machine := s.Machines[name]; machine != nil {
		machine.NextCommandAt = min(machine.NextCommandAt, s.Now)
	}
}
