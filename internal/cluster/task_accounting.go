package cluster

import "slices"

// MarkChanged has a job looked at for what is to be committed.
func (c *State) MarkChanged(j *Job) {
	if p := c.Partitions[j.Partition]; p.Leads() && c.Jobs[j.ID] == j && !j.Terminal {
		p.ChangedJobs[j.ID] = true
	}
}

// ChangeTask changes a task, to be committed.
func (c *State) ChangeTask(j *Job, n int, s TaskRecord) {
	t := j.EnsureTask(n)
	if m := c.Machines[t.Machine]; m != nil && m.Name != s.Machine {
		m.DepartedJobs[j.ID] = true
	}
	c.SetTask(j, n, s)
	t.generation++
	if !t.changed {
		t.changed = true
		j.ChangedTasks++
	}
	c.MarkChanged(j)
}

// RevertUncommitted throws away what is not committed of a job.
func (c *State) RevertUncommitted(j *Job) {
	j.StartUncommitted = false
	for _, k := range j.ChunkIndexes() {
		for i := range j.Chunks[k] {
			if t := &j.Chunks[k][i]; t.changed {
				c.SetTask(j, k*ChunkSize+i, t.Committed)
			}
		}
	}
}

// SetTask changes a task and every count that depends on it.
func (c *State) SetTask(j *Job, n int, s TaskRecord) {
	t := j.EnsureTask(n)
	if t.changed {
		t.changed = false
		j.ChangedTasks--
	}
	c.countTask(j, n, t, -1)
	*t = Task{TaskRecord: s, Committed: t.Committed, generation: t.generation, LogSequence: t.LogSequence, PlacedAt: c.Now, notBefore: t.notBefore}
	c.countTask(j, n, t, 1)
	if j.PlacedTasks == 0 {
		j.attemptSpoiled = false
	}
}

func (c *State) countTask(j *Job, n int, t *Task, by int) {
	switch t.State {
	case TaskDone:
		j.DoneTasks += by
	case TaskPlaced:
		j.PlacedTasks += by
		if u := c.TeamUsage[j.Spec.Team]; u != nil {
			*u = u.Add(j.Request, int64(by))
		}
		if m := c.Machines[t.Machine]; m != nil {
			c.countOnMachine(j, n, m, by)
		}
	}
}

func (c *State) countOnMachine(j *Job, n int, m *Machine, by int) {
	m.Allocated = m.Allocated.Add(j.Request, int64(by))
	j.TasksPerZone[m.Record.Zone] += by
	id := TaskID{Job: j.ID, Index: n}
	at, found := slices.BinarySearchFunc(m.TaskIDs, id, TaskID.compare)
	switch {
	case by > 0 && !found:
		m.TaskIDs = slices.Insert(m.TaskIDs, at, id)
	case by < 0 && found:
		m.TaskIDs = slices.Delete(m.TaskIDs, at, at+1)
		if len(m.TaskIDs) == 0 {
			m.IdleSince = c.Now
		}
	}
}

// countTasksOn counts the tasks of a job on a machine whose record came later
// than theirs.
func (c *State) countTasksOn(j *Job, m *Machine) {
	for _, k := range j.ChunkIndexes() {
		for i := range j.Chunks[k] {
			if t := &j.Chunks[k][i]; t.State == TaskPlaced && t.Machine == m.Name {
				c.countOnMachine(j, k*ChunkSize+i, m, 1)
			}
		}
	}
}

// RequestJobStop has a job's machines told at once that it must not run any more.
func (c *State) RequestJobStop(j *Job) {
	if j.StopRequiredSince == 0 {
		j.StopRequiredSince = c.cache.CurrentAsOf
	}
	if j.PlacedTasks == 0 || !c.Partitions[j.Partition].Leads() {
		return
	}
	for _, k := range j.ChunkIndexes() {
		for i := range j.Chunks[k] {
			if m := c.Machines[j.Chunks[k][i].Machine]; m != nil {
				m.NextCommandAt = min(m.NextCommandAt, c.Now)
			}
		}
	}
}
