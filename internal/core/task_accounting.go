package core

import "slices"

// markChanged has a job looked at for what is to be committed.
func (c *clusterState) markChanged(j *job) {
	if p := c.partitions[j.partition]; p.Leads() && c.jobs[j.id] == j && !j.terminal {
		p.changedJobs[j.id] = true
	}
}

// changeTask changes a task, to be committed.
func (c *clusterState) changeTask(j *job, n int, s taskRecord) {
	t := j.ensureTask(n)
	if m := c.machines[t.machine]; m != nil && m.name != s.machine {
		m.departedJobs[j.id] = true
	}
	c.setTask(j, n, s)
	t.generation++
	if !t.changed {
		t.changed = true
		j.changedTasks++
	}
	c.markChanged(j)
}

// revertUncommitted throws away what is not committed of a job.
func (c *clusterState) revertUncommitted(j *job) {
	j.startUncommitted = false
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if t := &j.chunks[k][i]; t.changed {
				c.setTask(j, k*chunkSize+i, t.committed)
			}
		}
	}
}

// setTask changes a task and every count that depends on it.
func (c *clusterState) setTask(j *job, n int, s taskRecord) {
	t := j.ensureTask(n)
	if t.changed {
		t.changed = false
		j.changedTasks--
	}
	c.countTask(j, n, t, -1)
	*t = task{taskRecord: s, committed: t.committed, generation: t.generation, loggedIn: t.loggedIn, placedAt: c.now, notBefore: t.notBefore}
	c.countTask(j, n, t, 1)
	if j.placedTasks == 0 {
		j.attemptSpoiled = false
	}
}

func (c *clusterState) countTask(j *job, n int, t *task, by int) {
	switch t.state {
	case taskDone:
		j.doneTasks += by
	case taskPlaced:
		j.placedTasks += by
		if u := c.teamUsage[j.spec.Team]; u != nil {
			*u = u.Add(j.request, int64(by))
		}
		if m := c.machines[t.machine]; m != nil {
			c.countOnMachine(j, n, m, by)
		}
	}
}

func (c *clusterState) countOnMachine(j *job, n int, m *machine, by int) {
	m.allocated = m.allocated.Add(j.request, int64(by))
	j.tasksPerZone[m.record.Zone] += by
	id := taskID{job: j.id, index: n}
	at, found := slices.BinarySearchFunc(m.taskIDs, id, taskID.compare)
	switch {
	case by > 0 && !found:
		m.taskIDs = slices.Insert(m.taskIDs, at, id)
	case by < 0 && found:
		m.taskIDs = slices.Delete(m.taskIDs, at, at+1)
		if len(m.taskIDs) == 0 {
			m.idleSince = c.now
		}
	}
}

// countTasksOn counts the tasks of a job on a machine whose record came later
// than theirs.
func (c *clusterState) countTasksOn(j *job, m *machine) {
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if t := &j.chunks[k][i]; t.state == taskPlaced && t.machine == m.name {
				c.countOnMachine(j, k*chunkSize+i, m, 1)
			}
		}
	}
}

// requestJobStop has a job's machines told at once that it must not run any more.
func (c *clusterState) requestJobStop(j *job) {
	if j.stopRequiredSince == 0 {
		j.stopRequiredSince = c.cache.currentAsOf
	}
	if j.placedTasks == 0 || !c.partitions[j.partition].Leads() {
		return
	}
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if m := c.machines[j.chunks[k][i].machine]; m != nil {
				m.nextCommandAt = min(m.nextCommandAt, c.now)
			}
		}
	}
}
