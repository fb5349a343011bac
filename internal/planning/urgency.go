package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/scheduler"
)

// UrgencyIndex is how urgent each unfinished job is, with what others that depend on it
// lend to it.
type UrgencyIndex struct {
	*coordination.Environment
	catalog      *cluster.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph

	byJob map[string]urgency
}

// NewUrgencyIndex makes an urgency index.
func NewUrgencyIndex(env *coordination.Environment, catalog *cluster.MachineCatalog, cluster *cluster.State, dependencies *cluster.DependencyGraph) *UrgencyIndex {
	return &UrgencyIndex{Environment: env, catalog: catalog, cluster: cluster, dependencies: dependencies}
}

// urgency is what a job is ranked by: its own priority and deadline, or those of
// the most urgent job that needs it.
type urgency struct {
	tier     int
	deadline scheduler.Deadline
}

// computeUrgencies works out every job's, by the replica.
func (x *UrgencyIndex) computeUrgencies() {
	x.byJob = map[string]urgency{}
	slowest := x.catalog.SlowestFetchSecondsPerGB()
	var of func(j *cluster.Job) urgency
	of = func(j *cluster.Job) urgency {
		if u, ok := x.byJob[j.ID]; ok {
			return u
		}
		u := urgency{tier: j.Spec.Priority.Tier()}
		if j.Spec.DeadlineS > 0 {
			u.deadline = scheduler.Deadline{SubmittedAt: j.AcceptedAt, WithinS: j.Spec.DeadlineS, Class: j.Spec.Class}
		}
		if n := x.dependencies.ByJob[j.ID]; n != nil {
			for _, d := range n.Dependents {
				if d.Cancelled || d.Terminal {
					continue // what it lent goes with it
				}
				lent := of(d)
				u.tier = max(u.tier, lent.tier)
				lent.deadline.DownstreamS += d.Spec.EstimateS + d.Spec.ImageGB*slowest
				if lent.deadline.WithinS > 0 && (u.deadline.WithinS == 0 || lent.deadline.Latest() < u.deadline.Latest()) {
					u.deadline = lent.deadline
				}
			}
		}
		x.byJob[j.ID] = u
		return u
	}
	for _, j := range x.cluster.Jobs {
		of(j)
	}
}

// effectiveTier is the tier that a job is treated as having.
func (x *UrgencyIndex) effectiveTier(j *cluster.Job) int {
	if u, ok := x.byJob[j.ID]; ok {
		return u.tier
	}
	return j.Spec.Priority.Tier()
}
