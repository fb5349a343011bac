package core

import "spurmoor/internal/micros"

// summaryInterval is how often the log says how things stand.
const summaryInterval = 30 * micros.Second

// maxNamedBlockedJobs is of how many blocked jobs of a team the summary says why they wait.
const maxNamedBlockedJobs = 2

// logSummary says now and then how things stand and why the first blocked jobs
// of each team wait.
func (c *Controller) logSummary() {
	if c.now < c.nextSummaryAt {
		return
	}
	c.nextSummaryAt = c.now + summaryInterval
	if !c.synced {
		return
	}
	var parts []int
	for _, p := range c.partitions {
		if p.Leads() {
			parts = append(parts, p.index)
		}
	}
	up, idle, on := c.countMachines()
	waiting, held := c.countWaiting()
	c.logInfo("summary", "partitions", parts, "machines_up", up, "machines_idle", idle, "tasks_on", on, "jobs", len(c.jobs), "jobs_waiting", waiting, "jobs_waiting_for_jobs", held, "revision", c.revision)
	named := map[string]int{}
	for _, id := range sortedKeys(c.blockedReasons) {
		j := c.jobs[id]
		if j == nil || named[j.spec.Team] >= maxNamedBlockedJobs {
			continue
		}
		named[j.spec.Team]++
		c.logInfo("job waits", "job", id, "team", j.spec.Team, "for_s", (c.now - j.eligibleAt()).WholeSeconds(), "why", c.blockedReasons[id])
	}
}

// countMachines counts our machines that are up, those of them without tasks, and
// the tasks on all of ours.
func (c *Controller) countMachines() (up, idle, tasks int) {
	for _, m := range c.machines {
		if c.ledPartition(m) == nil {
			continue
		}
		if m.firstHeartbeatAt > 0 {
			up++
			if len(m.taskIDs) == 0 {
				idle++
			}
		}
		tasks += len(m.taskIDs)
	}
	return up, idle, tasks
}

// countWaiting counts our jobs with tasks to place, and those that wait for others.
func (c *Controller) countWaiting() (forRoom, forJobs int) {
	for _, j := range c.jobs {
		switch {
		case !c.partitions[j.partition].Leads():
		case j.pendingDependencies > 0:
			forJobs++
		case j.placedTasks+j.doneTasks < j.spec.Tasks:
			forRoom++
		}
	}
	return forRoom, forJobs
}
