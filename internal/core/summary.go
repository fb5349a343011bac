package core

import (
	"maps"
	"slices"

	"spurmoor/internal/micros"
)

// summaryLogger says now and then in the log how things stand.
type summaryLogger struct {
	*environment
	cache      *watchCache
	cluster    *clusterState
	scheduling *schedulingCycle

	nextSummaryAt micros.Micros
}

func newSummaryLogger(env *environment, cache *watchCache, cluster *clusterState, scheduling *schedulingCycle) *summaryLogger {
	return &summaryLogger{environment: env, cache: cache, cluster: cluster, scheduling: scheduling}
}

// summaryInterval is how often the log says how things stand.
const summaryInterval = 30 * micros.Second

// maxNamedBlockedJobs is of how many blocked jobs of a team the summary says why they wait.
const maxNamedBlockedJobs = 2

// logSummary says now and then how things stand and why the first blocked jobs
// of each team wait.
func (s *summaryLogger) logSummary() {
	if s.now < s.nextSummaryAt {
		return
	}
	s.nextSummaryAt = s.now + summaryInterval
	if !s.cache.synced {
		return
	}
	var parts []int
	for _, p := range s.cluster.partitions {
		if p.Leads() {
			parts = append(parts, p.index)
		}
	}
	up, idle, on := s.countMachines()
	waiting, held := s.countWaiting()
	s.logInfo("summary", "partitions", parts, "machines_up", up, "machines_idle", idle, "tasks_on", on, "jobs", len(s.cluster.jobs), "jobs_waiting", waiting, "jobs_waiting_for_jobs", held, "revision", s.cache.revision)
	named := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.scheduling.blockedReasons)) {
		j := s.cluster.jobs[id]
		if j == nil || named[j.spec.Team] >= maxNamedBlockedJobs {
			continue
		}
		named[j.spec.Team]++
		s.logInfo("job waits", "job", id, "team", j.spec.Team, "for_s", (s.now - j.eligibleAt()).WholeSeconds(), "why", s.scheduling.blockedReasons[id])
	}
}

// countMachines counts our machines that are up, those of them without tasks, and
// the tasks on all of ours.
func (s *summaryLogger) countMachines() (up, idle, tasks int) {
	for _, m := range s.cluster.machines {
		if s.cluster.ledPartition(m) == nil {
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
func (s *summaryLogger) countWaiting() (forRoom, forJobs int) {
	for _, j := range s.cluster.jobs {
		switch {
		case !s.cluster.partitions[j.partition].Leads():
		case j.pendingDependencies > 0:
			forJobs++
		case j.placedTasks+j.doneTasks < j.spec.Tasks:
			forRoom++
		}
	}
	return forRoom, forJobs
}
