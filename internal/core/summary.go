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

// summaryInterval is the interval between summaries in the log.
const summaryInterval = 30 * micros.Second

// maxBlockedJobsLoggedPerTeam bounds the blocked jobs of each team that a summary logs.
const maxBlockedJobsLoggedPerTeam = 2

// summaryLogger periodically logs a summary of the cluster and the jobs that are blocked.
type summaryLogger struct {
	*coordination.Environment
	cache           *coordination.WatchCache
	cluster         *cluster.State
	schedulingCycle *planning.SchedulingCycle

	nextSummaryAt micros.Micros
}

func newSummaryLogger(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	schedulingCycle *planning.SchedulingCycle,
) *summaryLogger {
	return &summaryLogger{Environment: env, cache: cache, cluster: cluster, schedulingCycle: schedulingCycle}
}

// logSummary logs a summary, if one is due, and why the first blocked jobs of each team wait.
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

// logBlockedJobs logs why the first blocked jobs of each team, in order of their IDs, wait.
func (s *summaryLogger) logBlockedJobs() {
	loggedByTeam := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(s.schedulingCycle.BlockedReasons)) {
		job := s.cluster.Jobs[id]
		if job == nil || loggedByTeam[job.Spec.Team] >= maxBlockedJobsLoggedPerTeam {
			continue
		}
		loggedByTeam[job.Spec.Team]++
		s.LogInfo("job waits",
			logkey.Job, id,
			logkey.Team, job.Spec.Team,
			logkey.ForS, (s.Now - job.EligibleAt()).WholeSeconds(),
			logkey.Reason, s.schedulingCycle.BlockedReasons[id])
	}
}

// ledPartitions returns the indexes of the partitions that this controller leads.
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
	up    int // machines that have sent a heartbeat
	idle  int // machines that are up and have no tasks
	tasks int // tasks placed on any machine, up or not
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

// waitingJobCounts counts the waiting jobs of the partitions that this controller leads.
type waitingJobCounts struct {
	forMachines     int // jobs with unplaced tasks
	forDependencies int // jobs with pending dependencies
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
