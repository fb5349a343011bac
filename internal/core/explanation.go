package core

import (
	"fmt"
	"math"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/planning"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// jobExplainer says why jobs wait and when they should be done.
type jobExplainer struct {
	*coordination.Environment
	catalog      *cluster.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
	requests     *requestHandler
	scheduling   *planning.SchedulingCycle
}

func newJobExplainer(env *coordination.Environment, catalog *cluster.MachineCatalog, cluster *cluster.State, dependencies *cluster.DependencyGraph,
	requests *requestHandler, scheduling *planning.SchedulingCycle) *jobExplainer {
	return &jobExplainer{Environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies, requests: requests, scheduling: scheduling}
}

// handleExplain says why a job waits and when it should be done. Estimates are often
// wrong by half, so that much is said to either side.
func (x *jobExplainer) handleExplain(v message.Explain) {
	x.requests.lookUpJob(v.ID, func(f cluster.LookupResult, s api.JobStatus) {
		j := x.cluster.Jobs[v.ID]
		switch {
		case f == cluster.JobNeverAccepted:
			x.Refuse(v.RequestID, 404, "no such job", 0)
		case f == cluster.LookupFailed:
			x.Refuse(v.RequestID, 503, "the state service did not answer", 1)
		case j == nil || j.Terminal || j.Cancelled:
			x.Answer(v.RequestID, 200, api.Explanation{ID: v.ID, State: s.State})
		default:
			x.Answer(v.RequestID, 200, x.explainUnfinished(j, s.State))
		}
	})
}

// explainUnfinished tells what is known of an unfinished job.
func (x *jobExplainer) explainUnfinished(j *cluster.Job, state api.JobState) api.Explanation {
	e := api.Explanation{ID: j.ID, State: state, Leader: x.cluster.Partitions[j.Partition].Claim.Node, Reason: x.scheduling.BlockedReasons[j.ID],
		WaitedS: (x.Now - j.AcceptedAt).Seconds()}
	switch {
	case j.PendingDependencies > 0:
		e.Reason = "waits for other jobs to be done"
		for _, id := range j.Dependencies {
			if x.dependencies.ByJob[id].Outcome != cluster.OutcomeDone && len(e.WaitsFor) < maxNamedDependencies {
				e.WaitsFor = append(e.WaitsFor, id)
			}
		}
	case e.Leader == "":
		e.Reason = "no controller holds its team's partition at the moment"
	case !x.cluster.Partitions[j.Partition].Leads():
		e.Reason = "ask " + e.Leader + ", which plans it"
	case j.Suspect:
		e.Reason = fmt.Sprintf("it fails on every machine that it is tried on: %d failures so far", j.FailureCount)
		if x.Now < j.NotBefore {
			e.Reason += fmt.Sprintf(", tried again in %.0f s", math.Ceil((j.NotBefore - x.Now).Seconds()))
		}
	}
	x.explainExpectedEnd(&e, j)
	return e
}

// explainExpectedEnd tells when a job should be done, and whether that is in time.
func (x *jobExplainer) explainExpectedEnd(e *api.Explanation, j *cluster.Job) {
	end := x.expectedJobEnd(j, map[string]micros.Micros{})
	if end > x.Now && j.Spec.Kind != api.Service {
		e.ExpectedInS = (end - x.Now).Seconds()
		e.EarliestS, e.LatestS = e.ExpectedInS/2, e.ExpectedInS*3/2
	}
	if j.Spec.DeadlineS <= 0 {
		return
	}
	e.DeadlineInS = j.Spec.DeadlineS - e.WaitedS
	switch {
	case end == 0:
	case e.LatestS <= e.DeadlineInS:
		e.InTime = api.InTimeYes
	case e.EarliestS > e.DeadlineInS:
		e.InTime = api.InTimeNo
	default:
		e.InTime = api.InTimePerhaps
	}
}

// maxNamedDependencies bounds the jobs named in an explanation.
const maxNamedDependencies = 100

// expectedJobEnd is when a job should be done, by the estimates: as its planner said,
// or, where that is another controller or all that it needs is not done, as long
// after that as a task takes. 0: it cannot be said.
func (x *jobExplainer) expectedJobEnd(j *cluster.Job, memo map[string]micros.Micros) micros.Micros {
	if end, ok := memo[j.ID]; ok {
		return end
	}
	var from micros.Micros
	for _, id := range j.Dependencies {
		if o := x.cluster.Jobs[id]; o != nil && !o.Terminal {
			at := x.expectedJobEnd(o, memo)
			if at == 0 {
				memo[j.ID] = 0
				return 0
			}
			from = max(from, at)
		}
	}
	end := x.scheduling.ExpectedEnds[j.ID]
	switch {
	case j.Spec.Kind == api.Service:
		end = 0
	case end > x.Now:
	case j.PendingDependencies == 0 && x.cluster.Partitions[j.Partition].Leads():
		end = 0 // ours, and the planner has not said yet
	default:
		end = max(from, x.Now) + micros.FromSeconds(j.Spec.EstimateS+j.Spec.ImageGB*x.catalog.SlowestFetchSecondsPerGB())
	}
	memo[j.ID] = end
	return end
}
