package core

import (
	"fmt"
	"math"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// jobExplainer says why jobs wait and when they should be done.
type jobExplainer struct {
	*environment
	catalog      *machineCatalog
	cluster      *clusterState
	dependencies *dependencyGraph
	requests     *requestHandler
	scheduling   *schedulingCycle
}

func newJobExplainer(env *environment, catalog *machineCatalog, cluster *clusterState, dependencies *dependencyGraph,
	requests *requestHandler, scheduling *schedulingCycle) *jobExplainer {
	return &jobExplainer{environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies, requests: requests, scheduling: scheduling}
}

// handleExplain says why a job waits and when it should be done. Estimates are often
// wrong by half, so that much is said to either side.
func (x *jobExplainer) handleExplain(v Explain) {
	x.requests.lookUpJob(v.ID, func(f lookupResult, s api.JobStatus) {
		j := x.cluster.jobs[v.ID]
		switch {
		case f == jobNeverAccepted:
			x.refuse(v.RequestID, 404, "no such job", 0)
		case f == lookupUnknown:
			x.refuse(v.RequestID, 503, "the state service did not answer", 1)
		case j == nil || j.terminal || j.cancelled:
			x.answer(v.RequestID, 200, api.Explanation{ID: v.ID, State: s.State})
		default:
			x.answer(v.RequestID, 200, x.explainUnfinished(j, s.State))
		}
	})
}

// explainUnfinished tells what is known of an unfinished job.
func (x *jobExplainer) explainUnfinished(j *job, state string) api.Explanation {
	e := api.Explanation{ID: j.id, State: state, Leader: x.cluster.partitions[j.partition].Claim.Node, Reason: x.scheduling.blockedReasons[j.id],
		WaitedS: (x.now - j.acceptedAt).Seconds()}
	switch {
	case j.pendingDependencies > 0:
		e.Reason = "waits for other jobs to be done"
		for _, id := range j.dependencies {
			if x.dependencies.byJob[id].outcome != outcomeDone && len(e.WaitsFor) < maxNamedDependencies {
				e.WaitsFor = append(e.WaitsFor, id)
			}
		}
	case e.Leader == "":
		e.Reason = "no controller holds its team's partition at the moment"
	case !x.cluster.partitions[j.partition].Leads():
		e.Reason = "ask " + e.Leader + ", which plans it"
	case j.suspect:
		e.Reason = fmt.Sprintf("it fails on every machine that it is tried on: %d failures so far", j.failureCount)
		if x.now < j.notBefore {
			e.Reason += fmt.Sprintf(", tried again in %.0f s", math.Ceil((j.notBefore - x.now).Seconds()))
		}
	}
	x.explainExpectedEnd(&e, j)
	return e
}

// explainExpectedEnd tells when a job should be done, and whether that is in time.
func (x *jobExplainer) explainExpectedEnd(e *api.Explanation, j *job) {
	end := x.expectedJobEnd(j, map[string]micros.Micros{})
	if end > x.now && j.spec.Kind != api.Service {
		e.ExpectedInS = (end - x.now).Seconds()
		e.EarliestS, e.LatestS = e.ExpectedInS/2, e.ExpectedInS*3/2
	}
	if j.spec.DeadlineS <= 0 {
		return
	}
	e.DeadlineInS = j.spec.DeadlineS - e.WaitedS
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
func (x *jobExplainer) expectedJobEnd(j *job, memo map[string]micros.Micros) micros.Micros {
	if end, ok := memo[j.id]; ok {
		return end
	}
	var from micros.Micros
	for _, id := range j.dependencies {
		if o := x.cluster.jobs[id]; o != nil && !o.terminal {
			at := x.expectedJobEnd(o, memo)
			if at == 0 {
				memo[j.id] = 0
				return 0
			}
			from = max(from, at)
		}
	}
	end := x.scheduling.expectedEnds[j.id]
	switch {
	case j.spec.Kind == api.Service:
		end = 0
	case end > x.now:
	case j.pendingDependencies == 0 && x.cluster.partitions[j.partition].Leads():
		end = 0 // ours, and the planner has not said yet
	default:
		end = max(from, x.now) + micros.FromSeconds(j.spec.EstimateS+j.spec.ImageGB*x.catalog.slowestFetchSPerGB())
	}
	memo[j.id] = end
	return end
}
