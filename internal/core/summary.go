package core

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/planning"

	"spurmoor/internal/micros"
)

// summaryLogger says now and then in the log how things stand.
type summaryLogger struct {
	*coordination.Environment
	cache      *coordination.WatchCache
	cluster    *cluster.State
	scheduling *planning.SchedulingCycle

	nextSummaryAt micros.Micros
}

func newSummaryLogger(env *coordination.Environment, cache *coordination.WatchCache, cluster *cluster.State, scheduling *planning.SchedulingCycle) *summaryLogger {
	return &summaryLogger{Environment: env, cache: cache, cluster: cluster, scheduling: scheduling}
}

// summaryInterval is how often the log says how things stand.
const summaryInterval = 30 * micros.Second

// maxNamedBlockedJobs is of how many blocked jobs of a team the summary says why they wait.
const maxNamedBlockedJobs = 2

// logSummary says now and then how things stand and why the first blocked jobs
// of each team wait.
func (s *summaryLogger) logSummary() {
	if s.Now < s.nextSummaryAt {
		return
	}
	s.nextSummaryAt = s.Now + summaryInterval
	if !s.cache.Synced {
		return
	}
	var parts []int
	for _, p := range s.cluster.Partitions {
		if p.Leads() {
			parts = append(parts, p.Index)
		}
	}
	up, idle, on := s.countMachines()
	waiting, held := s.countWaiting()
	s.LogInfo("summary", logkey.Partitions, parts, logkey.MachinesUp, up, logkey.MachinesIdle, idle, logkey.Tasks, on, logkey.Jobs, len(s.cluster.Jobs), logkey.JobsWaiting, waiting, logkey.JobsWaitingForDependencies, held, logkey.Revision, s.cache.Revision)
	named := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.scheduling.BlockedReasons)) {
		j := s.cluster.Jobs[id]
		if j == nil || named[j.Spec.Team] >= maxNamedBlockedJobs {
			continue
		}
		named[j.Spec.Team]++
		s.LogInfo("job waits", logkey.Job, id, logkey.Team, j.Spec.Team, logkey.ForS, (s.Now - j.EligibleAt()).WholeSeconds(), logkey.Reason, s.scheduling.BlockedReasons[id])
	}
}

// countMachines counts our machines that are up, those of them without tasks, and
// the tasks on all of ours.
func (s *summaryLogger) countMachines() (up, idle, tasks int) {
	for _, m := range s.cluster.Machines {
		if s.cluster.LedPartition(m) == nil {
			continue
		}
		if m.FirstHeartbeatAt > 0 {
			up++
			if len(m.TaskIDs) == 0 {
				idle++
			}
		}
		tasks += len(m.TaskIDs)
	}
	return up, idle, tasks
}

// countWaiting counts our jobs with tasks to place, and those that wait for others.
func (s *summaryLogger) countWaiting() (forRoom, forJobs int) {
	for _, j := range s.cluster.Jobs {
		switch {
		case !s.cluster.Partitions[j.Partition].Leads():
		case j.PendingDependencies > 0:
			forJobs++
		case j.PlacedTasks+j.DoneTasks < j.Spec.Tasks:
			forRoom++
		}
	}
	return forRoom, forJobs
}
