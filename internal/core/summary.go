package core

import (
	"maps"
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// summaryInterval is how often the log says how things stand.
const summaryInterval = 30 * micros.Second

// maxNamedBlockedJobs is of how many blocked jobs of a team the summary says why they wait.
const maxNamedBlockedJobs = 2

// summaryLogger logs at intervals how things stand.
type summaryLogger struct {
	*coordination.Environment
	cache      *coordination.WatchCache
	cluster    *cluster.State
	scheduling *planning.SchedulingCycle

	nextSummaryAt micros.Micros
}

func newSummaryLogger(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	scheduling *planning.SchedulingCycle,
) *summaryLogger {
	return &summaryLogger{Environment: env, cache: cache, cluster: cluster, scheduling: scheduling}
}

// logSummary logs, when it is due, how things stand and why the first blocked jobs of each
// team wait.
func (s *summaryLogger) logSummary() {
	if s.Now < s.nextSummaryAt {
		return
	}
	s.nextSummaryAt = s.Now + summaryInterval
	if !s.cache.Synced {
		return
	}
	machines := s.countMachines()
	waiting := s.countWaitingJobs()
	s.LogInfo("summary",
		logkey.Partitions, s.ledPartitions(),
		logkey.MachinesUp, machines.up,
		logkey.MachinesIdle, machines.idle,
		logkey.Tasks, machines.tasks,
		logkey.Jobs, len(s.cluster.Jobs),
		logkey.JobsWaiting, waiting.forMachines,
		logkey.JobsWaitingForDependencies, waiting.forDependencies,
		logkey.Revision, s.cache.Revision)
	s.logBlockedJobs()
}

// logBlockedJobs logs why the first blocked jobs of each team, in the order of their IDs, wait.
func (s *summaryLogger) logBlockedJobs() {
	named := map[string]int{} // by team
	for _, id := range slices.Sorted(maps.Keys(s.scheduling.BlockedReasons)) {
		job := s.cluster.Jobs[id]
		if job == nil || named[job.Spec.Team] >= maxNamedBlockedJobs {
			continue
		}
		named[job.Spec.Team]++
		s.LogInfo("job waits",
			logkey.Job, id,
			logkey.Team, job.Spec.Team,
			logkey.ForS, (s.Now - job.EligibleAt()).WholeSeconds(),
			logkey.Reason, s.scheduling.BlockedReasons[id])
	}
}

// ledPartitions lists the partitions that this controller leads.
func (s *summaryLogger) ledPartitions() []int {
	var led []int
	for _, partition := range s.cluster.Partitions {
		if partition.Leads() {
			led = append(led, partition.Index)
		}
	}
	return led
}

// machineCounts counts the machines of the partitions that this controller leads.
type machineCounts struct {
	up    int // that have sent a heartbeat
	idle  int // of those, without tasks
	tasks int // placed on any, up or not
}

func (s *summaryLogger) countMachines() machineCounts {
	var counts machineCounts
	for _, machine := range s.cluster.Machines {
		if s.cluster.LedPartition(machine) == nil {
			continue
		}
		counts.tasks += len(machine.TaskIDs)
		if machine.FirstHeartbeatAt == 0 {
			continue
		}
		counts.up++
		if len(machine.TaskIDs) == 0 {
			counts.idle++
		}
	}
	return counts
}

// waitingJobCounts counts the jobs of the partitions that this controller leads that wait.
type waitingJobCounts struct {
	forMachines     int // jobs with tasks to place
	forDependencies int // jobs that may not start yet
}

func (s *summaryLogger) countWaitingJobs() waitingJobCounts {
	var counts waitingJobCounts
	for _, job := range s.cluster.Jobs {
		switch {
		case !s.cluster.Partitions[job.Partition].Leads():
		case job.PendingDependencies > 0:
			counts.forDependencies++
		case job.PlacedTasks+job.DoneTasks < job.Spec.Tasks:
			counts.forMachines++
		}
	}
	return counts
}
