package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/scheduler"
)

// UrgencyIndex holds the urgency of each unfinished job, including what the job inherits
// from the jobs that depend on it.
type UrgencyIndex struct {
	*coordination.Environment
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph

	byJob map[string]urgency
}

// NewUrgencyIndex returns an empty urgency index.
func NewUrgencyIndex(
	env *coordination.Environment,
	catalog *provisioning.MachineCatalog,
	state *cluster.State,
	dependencies *cluster.DependencyGraph,
) *UrgencyIndex {
	return &UrgencyIndex{Environment: env, catalog: catalog, cluster: state, dependencies: dependencies}
}

// urgency is the tier and the deadline that a job is ranked by: the highest tier and the
// earliest deadline of the job itself and the jobs that depend on it.
type urgency struct {
	tier     int
	deadline scheduler.Deadline
}

// computeUrgencies recomputes the urgency of every job in the replica.
func (u *UrgencyIndex) computeUrgencies() {
	u.byJob = map[string]urgency{}
	slowestFetchSPerGB := u.catalog.SlowestFetchSecondsPerGB()
	for _, job := range u.cluster.Jobs {
		u.urgencyOf(job, slowestFetchSPerGB)
	}
}

// urgencyOf returns the urgency of a job, which it computes at the first call in a cycle.
// slowestFetchSPerGB is the longest time that fetching a gigabyte may take, in seconds.
func (u *UrgencyIndex) urgencyOf(job *cluster.Job, slowestFetchSPerGB float64) urgency {
	if known, ok := u.byJob[job.ID]; ok {
		return known
	}
	result := ownUrgency(job)
	if dependency := u.dependencies.ByJob[job.ID]; dependency != nil {
		for _, dependent := range dependency.Dependents {
			downstream := dependent.Job
			if downstream.Cancelled || downstream.Terminal {
				continue // its urgency no longer counts
			}
			inherited := u.urgencyOf(downstream, slowestFetchSPerGB)
			inherited.deadline.DownstreamS += downstream.Spec.EstimateS + downstream.Spec.ImageGB*slowestFetchSPerGB
			result = result.merge(inherited)
		}
	}
	u.byJob[job.ID] = result
	return result
}

// ownUrgency returns the urgency of a job without what it inherits.
func ownUrgency(job *cluster.Job) urgency {
	own := urgency{tier: job.Spec.Priority.Tier()}
	if job.Spec.DeadlineS > 0 {
		own.deadline = scheduler.Deadline{
			SubmittedAt: job.AcceptedAt,
			WithinS:     job.Spec.DeadlineS,
			Class:       job.Spec.Class,
		}
	}
	return own
}

// merge returns the higher tier and the earlier deadline of two urgencies. A deadline
// whose WithinS is 0 stands for none.
func (u urgency) merge(other urgency) urgency {
	result := urgency{tier: max(u.tier, other.tier), deadline: u.deadline}
	if other.deadline.WithinS == 0 {
		return result
	}
	if u.deadline.WithinS == 0 || other.deadline.LatestEnd() < u.deadline.LatestEnd() {
		result.deadline = other.deadline
	}
	return result
}

// effectiveTier returns the tier that a job is treated as having: its own, or a higher
// one that it inherits.
func (u *UrgencyIndex) effectiveTier(job *cluster.Job) int {
	if known, ok := u.byJob[job.ID]; ok {
		return known.tier
	}
	return job.Spec.Priority.Tier()
}
