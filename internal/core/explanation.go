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

// jobExplainer says why jobs wait and when they should be done.
type jobExplainer struct {
	*coordination.Environment
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
	jobs         *jobLookup
	scheduling   *planning.SchedulingCycle
}

func newJobExplainer(
	env *coordination.Environment,
	catalog *provisioning.MachineCatalog,
	cluster *cluster.State,
	dependencies *cluster.DependencyGraph,
	jobs *jobLookup,
	scheduling *planning.SchedulingCycle,
) *jobExplainer {
	return &jobExplainer{
		Environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies, jobs: jobs, scheduling: scheduling,
	}
}

// Reasons why a job waits, where the scheduler does not give one.
const (
	reasonDependencies = "waits for other jobs to be done"
	reasonNoLeader     = "no controller holds its team's partition at the moment"
)

// maxNamedDependencies bounds the jobs named in an explanation.
const maxNamedDependencies = 100

// Estimates of how long tasks run are often wrong by half, so an expected end is given
// with a range that is this much shorter and longer.
const (
	earliestShare = 0.5
	latestShare   = 1.5
)

// handleExplain answers GET /why/{id}: why a job waits and when it should be done.
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

// explainUnfinished tells what is known of an unfinished job.
func (x *jobExplainer) explainUnfinished(job *cluster.Job, state api.JobState) api.Explanation {
	partition := x.cluster.Partitions[job.Partition]
	explanation := api.Explanation{
		ID:      job.ID,
		State:   state,
		Leader:  partition.Claim.Node,
		Reason:  x.scheduling.BlockedReasons[job.ID],
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
	x.explainExpectedEnd(&explanation, job)
	return explanation
}

// unfinishedDependencies names the jobs that a job still depends on, up to maxNamedDependencies.
func (x *jobExplainer) unfinishedDependencies(job *cluster.Job) []string {
	var unfinished []string
	for _, id := range job.Dependencies {
		if len(unfinished) == maxNamedDependencies {
			break
		}
		if x.dependencies.ByJob[id].Outcome != cluster.OutcomeDone {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// explainSuspect tells the owner of a job that fails wherever it runs, so most likely by a
// mistake of its own, how often it failed and when it is tried again.
func (x *jobExplainer) explainSuspect(job *cluster.Job) string {
	reason := fmt.Sprintf("it fails on every machine that it is tried on: %d failures so far", job.FailureCount)
	if x.Now < job.NotBefore {
		reason += fmt.Sprintf(", tried again in %.0f s", math.Ceil((job.NotBefore - x.Now).Seconds()))
	}
	return reason
}

// explainExpectedEnd tells when a job should be done, and whether that is in time.
func (x *jobExplainer) explainExpectedEnd(explanation *api.Explanation, job *cluster.Job) {
	end := x.expectedJobEnd(job, map[string]micros.Micros{})
	if end > x.Now && job.Spec.Kind != api.Service {
		explanation.ExpectedInS = (end - x.Now).Seconds()
		explanation.EarliestS = explanation.ExpectedInS * earliestShare
		explanation.LatestS = explanation.ExpectedInS * latestShare
	}
	if job.Spec.DeadlineS <= 0 {
		return
	}
	explanation.DeadlineInS = job.Spec.DeadlineS - explanation.WaitedS
	switch {
	case end == 0: // it cannot be said
	case explanation.LatestS <= explanation.DeadlineInS:
		explanation.InTime = api.InTimeYes
	case explanation.EarliestS > explanation.DeadlineInS:
		explanation.InTime = api.InTimeNo
	default:
		explanation.InTime = api.InTimePerhaps
	}
}

// expectedJobEnd estimates when a job should be done: as the scheduler planned it here,
// or, where another controller plans it or dependencies are pending, as long after the
// last of those as one task takes. 0: it cannot be said. known holds what was worked out
// for other jobs of the same question, so that a job that many depend on counts once.
func (x *jobExplainer) expectedJobEnd(job *cluster.Job, known map[string]micros.Micros) micros.Micros {
	if end, ok := known[job.ID]; ok {
		return end
	}
	known[job.ID] = x.estimateJobEnd(job, known)
	return known[job.ID]
}

// estimateJobEnd works out what expectedJobEnd gives.
func (x *jobExplainer) estimateJobEnd(job *cluster.Job, known map[string]micros.Micros) micros.Micros {
	dependenciesEnd, ok := x.expectedDependenciesEnd(job, known)
	if !ok {
		return 0
	}
	planned := x.scheduling.ExpectedEnds[job.ID]
	switch {
	case job.Spec.Kind == api.Service:
		return 0 // it has no end
	case planned > x.Now:
		return planned
	case job.PendingDependencies == 0 && x.cluster.Partitions[job.Partition].Leads():
		return 0 // the scheduler of this controller has not planned it yet
	}
	taskS := job.Spec.EstimateS + job.Spec.ImageGB*x.catalog.SlowestFetchSecondsPerGB()
	return max(dependenciesEnd, x.Now) + micros.FromSeconds(taskS)
}

// expectedDependenciesEnd estimates when the last unfinished dependency of a job is done;
// 0: there is none. False: it cannot be said of one of them.
func (x *jobExplainer) expectedDependenciesEnd(job *cluster.Job, known map[string]micros.Micros) (micros.Micros, bool) {
	var last micros.Micros
	for _, id := range job.Dependencies {
		dependency := x.cluster.Jobs[id]
		if dependency == nil || dependency.Terminal {
			continue
		}
		end := x.expectedJobEnd(dependency, known)
		if end == 0 {
			return 0, false
		}
		last = max(last, end)
	}
	return last, true
}
