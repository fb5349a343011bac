package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/scheduler"
)

// UrgencyIndex is how urgent each unfinished job is, with what it inherits from the jobs
// that depend on it.
type UrgencyIndex struct {
	*coordination.Environment
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph

	byJob map[string]urgency
}

// NewUrgencyIndex makes an empty urgency index.
func NewUrgencyIndex(
	env *coordination.Environment,
	catalog *provisioning.MachineCatalog,
	state *cluster.State,
	dependencies *cluster.DependencyGraph,
) *UrgencyIndex {
	return &UrgencyIndex{Environment: env, catalog: catalog, cluster: state, dependencies: dependencies}
}

// urgency is what a job is ranked by: its own priority and deadline, or those of the most
// urgent job that depends on it.
type urgency struct {
	tier     int
	deadline scheduler.Deadline
}

// computeUrgencies works out the urgency of every job in the replica.
func (u *UrgencyIndex) computeUrgencies() {
	u.byJob = map[string]urgency{}
	slowestFetch := u.catalog.SlowestFetchSecondsPerGB()
	for _, job := range u.cluster.Jobs {
		u.urgencyOf(job, slowestFetch)
	}
}

// urgencyOf gives a job's urgency, worked out if it was not yet. slowestFetch is how many
// seconds fetching a gigabyte takes at most.
func (u *UrgencyIndex) urgencyOf(job *cluster.Job, slowestFetch float64) urgency {
	if known, ok := u.byJob[job.ID]; ok {
		return known
	}
	result := ownUrgency(job)
	if dependency := u.dependencies.ByJob[job.ID]; dependency != nil {
		for _, dependent := range dependency.Dependents {
			if dependent.Cancelled || dependent.Terminal {
				continue // what was inherited from it goes with it
			}
			inherited := u.urgencyOf(dependent, slowestFetch)
			inherited.deadline.DownstreamS += dependent.Spec.EstimateS + dependent.Spec.ImageGB*slowestFetch
			result = result.mostUrgent(inherited)
		}
	}
	u.byJob[job.ID] = result
	return result
}

// ownUrgency is a job's urgency without what it inherits.
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

// mostUrgent gives the higher tier and the earlier deadline of two urgencies; WithinS is 0
// where there is no deadline.
func (u urgency) mostUrgent(other urgency) urgency {
	result := urgency{tier: max(u.tier, other.tier), deadline: u.deadline}
	if other.deadline.WithinS == 0 {
		return result
	}
	if u.deadline.WithinS == 0 || other.deadline.Latest() < u.deadline.Latest() {
		result.deadline = other.deadline
	}
	return result
}

// effectiveTier is the tier that a job is treated as having: its own, or a higher one that
// it inherits.
func (u *UrgencyIndex) effectiveTier(job *cluster.Job) int {
	if known, ok := u.byJob[job.ID]; ok {
		return known.tier
	}
	return job.Spec.Priority.Tier()
}
