package core

import (
	"fmt"
	"math"

	"spurmoor/internal/provisioning"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// jobExplainer answers why jobs wait and when they are expected to be done.
type jobExplainer struct {
	*coordination.Environment
	catalog         *provisioning.MachineCatalog
	cluster         *cluster.State
	dependencies    *cluster.DependencyGraph
	jobs            *jobLookup
	schedulingCycle *planning.SchedulingCycle
}

func newJobExplainer(
	env *coordination.Environment,
	catalog *provisioning.MachineCatalog,
	cluster *cluster.State,
	dependencies *cluster.DependencyGraph,
	jobs *jobLookup,
	schedulingCycle *planning.SchedulingCycle,
) *jobExplainer {
	return &jobExplainer{
		Environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies, jobs: jobs, schedulingCycle: schedulingCycle,
	}
}

// Reasons why a job waits, for jobs without a reason from the scheduler.
const (
	reasonDependencies = "waits for other jobs to be done"
	reasonNoLeader     = "no controller holds its team's partition at the moment"
)

// maxListedDependencies bounds the unfinished dependencies listed in an explanation.
const maxListedDependencies = 100

// Estimated durations of tasks are often wrong by half. An explanation therefore gives a
// range around the expected end: the expected duration multiplied by these factors.
const (
	earliestEndFactor = 0.5
	latestEndFactor   = 1.5
)

// handleExplain answers GET /why/{id}: why a job waits and when it is expected to be done.
func (x *jobExplainer) handleExplain(request message.Explain) {
	x.jobs.lookUpOrRefuse(request.RequestID, request.ID, refusalNoSuchJob, func(status api.JobStatus) {
		job := x.cluster.Jobs[request.ID]
		if job == nil || job.Terminal || job.Cancelled {
			x.Answer(request.RequestID, message.StatusOK, api.Explanation{ID: request.ID, State: status.State})
			return
		}
		x.Answer(request.RequestID, message.StatusOK, x.explainUnfinished(job, status.State))
	})
}

// explainUnfinished returns the explanation for an unfinished job.
func (x *jobExplainer) explainUnfinished(job *cluster.Job, state api.JobState) api.Explanation {
	partition := x.cluster.Partitions[job.Partition]
	explanation := api.Explanation{
		ID:      job.ID,
		State:   state,
		Leader:  partition.Claim.Node,
		Reason:  x.schedulingCycle.BlockedReasons[job.ID],
		WaitedS: (x.Now - job.AcceptedAt).Seconds(),
	}
	switch {
	case job.PendingDependencies > 0:
		explanation.Reason = reasonDependencies
		explanation.WaitsFor = x.unfinishedDependencies(job)
	case explanation.Leader == "":
		explanation.Reason = reasonNoLeader
	case !partition.Leads():
		explanation.Reason = "ask " + explanation.Leader + ", which plans it"
	case job.Suspect:
		explanation.Reason = x.explainSuspect(job)
	}
	x.setExpectedEnd(&explanation, job)
	return explanation
}

// unfinishedDependencies returns the IDs of the unfinished jobs that a job depends on, at
// most maxListedDependencies of them.
func (x *jobExplainer) unfinishedDependencies(job *cluster.Job) []string {
	var unfinished []string
	for _, id := range job.Dependencies {
		if len(unfinished) == maxListedDependencies {
			break
		}
		if x.dependencies.ByJob[id].Outcome != cluster.OutcomeDone {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// explainSuspect returns the reason for a job that fails on every machine, most likely
// because of a fault in the job itself. It tells the owner the number of failures and when
// the job is retried.
func (x *jobExplainer) explainSuspect(job *cluster.Job) string {
	reason := fmt.Sprintf("it fails on every machine that it is tried on: %d failures so far", job.FailureCount)
	if x.Now < job.NotBefore {
		reason += fmt.Sprintf(", tried again in %.0f s", math.Ceil((job.NotBefore - x.Now).Seconds()))
	}
	return reason
}

// setExpectedEnd sets when a job is expected to be done and whether it meets its deadline.
func (x *jobExplainer) setExpectedEnd(explanation *api.Explanation, job *cluster.Job) {
	end := x.expectedJobEnd(job, map[string]micros.Micros{})
	if end > x.Now && job.Spec.Kind != api.KindService {
		explanation.ExpectedInS = (end - x.Now).Seconds()
		explanation.EarliestS = explanation.ExpectedInS * earliestEndFactor
		explanation.LatestS = explanation.ExpectedInS * latestEndFactor
	}
	if job.Spec.DeadlineS <= 0 {
		return
	}
	explanation.DeadlineInS = job.Spec.DeadlineS - explanation.WaitedS
	switch {
	case end == 0: // unknown
	case explanation.LatestS <= explanation.DeadlineInS:
		explanation.InTime = api.InTimeYes
	case explanation.EarliestS > explanation.DeadlineInS:
		explanation.InTime = api.InTimeNo
	default:
		explanation.InTime = api.InTimePerhaps
	}
}

// expectedJobEnd estimates when a job will be done; 0 means unknown. If this controller's
// scheduler has planned the job, the plan's end is used. If another controller plans it or
// it has pending dependencies, the estimate is the end of its last dependency plus the
// duration of one task. endByJob caches the estimates of one request, so that a job with
// many dependents is estimated once.
func (x *jobExplainer) expectedJobEnd(job *cluster.Job, endByJob map[string]micros.Micros) micros.Micros {
	if end, ok := endByJob[job.ID]; ok {
		return end
	}
	endByJob[job.ID] = x.estimateJobEnd(job, endByJob)
	return endByJob[job.ID]
}

// estimateJobEnd computes the estimate for expectedJobEnd.
func (x *jobExplainer) estimateJobEnd(job *cluster.Job, endByJob map[string]micros.Micros) micros.Micros {
	dependenciesEnd, ok := x.expectedDependenciesEnd(job, endByJob)
	if !ok {
		return 0
	}
	planned := x.schedulingCycle.ExpectedEnds[job.ID]
	switch {
	case job.Spec.Kind == api.KindService:
		return 0 // a service runs until it is cancelled
	case planned > x.Now:
		return planned
	case job.PendingDependencies == 0 && x.cluster.Partitions[job.Partition].Leads():
		return 0 // this controller's scheduler has not planned it yet
	}
	taskS := job.Spec.EstimateS + job.Spec.ImageGB*x.catalog.SlowestFetchSecondsPerGB()
	return max(dependenciesEnd, x.Now) + micros.FromSeconds(taskS)
}

// expectedDependenciesEnd estimates when the last unfinished dependency of a job will be
// done. It returns 0 if there is none, and false if the end of one of them is unknown.
func (x *jobExplainer) expectedDependenciesEnd(job *cluster.Job, endByJob map[string]micros.Micros) (micros.Micros, bool) {
	var last micros.Micros
	for _, id := range job.Dependencies {
		dependency := x.cluster.Jobs[id]
		if dependency == nil || dependency.Terminal {
			continue
		}
		end := x.expectedJobEnd(dependency, endByJob)
		if end == 0 {
			return 0, false
		}
		last = max(last, end)
	}
	return last, true
}
