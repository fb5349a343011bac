package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/scheduler"
)

// urgencyIndex is how urgent each unfinished job is, with what others that depend on it
// lend to it.
type urgencyIndex struct {
	*environment
	catalog      *machineCatalog
	cluster      *clusterState
	dependencies *dependencyGraph

	byJob map[string]urgency
}

func newUrgencyIndex(env *environment, catalog *machineCatalog, cluster *clusterState, dependencies *dependencyGraph) *urgencyIndex {
	return &urgencyIndex{environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies}
}

// urgency is what a job is ranked by: its own priority and deadline, or those of
// the most urgent job that needs it.
type urgency struct {
	tier     int
	deadline scheduler.Deadline
}

// computeUrgencies works out every job's, by the replica.
func (x *urgencyIndex) computeUrgencies() {
	x.byJob = map[string]urgency{}
	slowest := x.catalog.slowestFetchSPerGB()
	var of func(j *job) urgency
	of = func(j *job) urgency {
		if u, ok := x.byJob[j.id]; ok {
			return u
		}
		u := urgency{tier: api.Tier(j.spec.Priority)}
		if j.spec.DeadlineS > 0 {
			u.deadline = scheduler.Deadline{SubmittedAt: j.acceptedAt, WithinS: j.spec.DeadlineS, Class: j.spec.Class}
		}
		if n := x.dependencies.byJob[j.id]; n != nil {
			for _, d := range n.dependents {
				if d.cancelled || d.terminal {
					continue // what it lent goes with it
				}
				lent := of(d)
				u.tier = max(u.tier, lent.tier)
				lent.deadline.DownstreamS += d.spec.EstimateS + d.spec.ImageGB*slowest
				if lent.deadline.WithinS > 0 && (u.deadline.WithinS == 0 || lent.deadline.Latest() < u.deadline.Latest()) {
					u.deadline = lent.deadline
				}
			}
		}
		x.byJob[j.id] = u
		return u
	}
	for _, j := range x.cluster.jobs {
		of(j)
	}
}

// effectiveTier is the tier that a job is treated as having.
func (x *urgencyIndex) effectiveTier(j *job) int {
	if u, ok := x.byJob[j.id]; ok {
		return u.tier
	}
	return api.Tier(j.spec.Priority)
}
