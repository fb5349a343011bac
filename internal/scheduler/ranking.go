package scheduler

import (
	"cmp"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// overdueBonus ranks an overdue gang or service before jobs of a higher tier. With the
	// default weight, the tiers of two jobs make a difference of at most 1.8 (0.20 × 9). The
	// other terms can still rank the job lower, and so can a larger weight of the priority.
	overdueBonus = 2
	// deprioritizedPenalty ranks a job after all others. It exceeds what the other terms add
	// up to with any permitted settings.
	deprioritizedPenalty = 100
)

// Factors of the penalty for large arrays.
const (
	// fullPenaltyMultiple is the drain time, in multiples of the average of the waiting arrays,
	// from which an array gets the full penalty.
	fullPenaltyMultiple = 2.5
	// penaltyFadeMultiple is the wait, in multiples of BeginWithinS, after which an array has no
	// penalty any more. Without it, large arrays are postponed forever.
	penaltyFadeMultiple = 4
)

// zoneFitUnknown is the zone term in a partition without machines. It is neither the best
// nor the worst value.
const zoneFitUnknown = 0.5

// ranker scores the jobs of a plan. Its fields are shared by all scores.
type ranker struct {
	*planState
	totalResources  Resources // of all machines in the snapshot
	zones           int
	backlog         float64                         // ratio of waiting to running work, at most 1
	averageDrainS   float64                         // drain time of the average waiting array
	machinesByKind  map[InstanceKind]int            // schedulable machines, or only those with room if there are any
	machinesByImage map[string]map[InstanceKind]int // of these, the machines that have an image
}

func newRanker(state *planState) *ranker {
	jobRanker := &ranker{
		planState:       state,
		machinesByKind:  map[InstanceKind]int{},
		machinesByImage: map[string]map[InstanceKind]int{},
	}
	jobRanker.countMachines()
	jobRanker.backlog = jobRanker.measureBacklog()
	jobRanker.averageDrainS = jobRanker.measureAverageDrainS()
	return jobRanker
}

// rankJobs sorts the jobs by score, best first. Of equal scores, the job that was eligible
// first comes first.
func (r *ranker) rankJobs() {
	for _, job := range r.Jobs {
		job.score = r.score(job)
	}
	slices.SortStableFunc(r.Jobs, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.EligibleAt, b.EligibleAt),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// countMachines adds up the resources and zones of the machines and counts where images are
// cached.
func (r *ranker) countMachines() {
	// Readiness is the share of machines with the image among those that have room now, or
	// among all schedulable machines if none has room.
	anyRoom := slices.ContainsFunc(r.Machines, hasRoom)
	zones := map[string]bool{}
	for _, machine := range r.Machines {
		if machine.Schedulable && !anyRoom || hasRoom(machine) {
			r.countSchedulable(machine)
		}
		zones[machine.Zone] = true
		r.totalResources = r.totalResources.AddScaled(machine.Total, 1)
	}
	r.zones = len(zones)
}

// hasRoom reports whether the machine accepts tasks now and has free GPUs and cores.
func hasRoom(machine *Machine) bool {
	return machine.Schedulable && machine.Free.MilliGPU > 0 && machine.Free.MilliCPU > 0
}

// countSchedulable counts a schedulable machine and its images.
func (r *ranker) countSchedulable(machine *Machine) {
	kind := machine.kind()
	r.machinesByKind[kind]++
	for _, image := range machine.CachedImages {
		if r.machinesByImage[image] == nil {
			r.machinesByImage[image] = map[InstanceKind]int{}
		}
		r.machinesByImage[image][kind]++
	}
}

// measureBacklog returns the ratio of the waiting work to the remaining work of running
// tasks. It is at most 1, and 1 if nothing runs.
func (r *ranker) measureBacklog() float64 {
	running, waiting := 0.0, 0.0
	for _, machine := range r.Machines {
		for _, allocation := range machine.Allocations {
			running += float64(max(0, allocation.ExpectedEnd-r.Now))
		}
	}
	for _, job := range r.Jobs {
		waiting += float64(job.PendingTasks) * job.Spec.EstimateS * float64(micros.Second)
	}
	if running > 0 {
		return math.Min(1, waiting/running)
	}
	return 1
}

// measureAverageDrainS returns the average drain time of the waiting arrays, in seconds.
func (r *ranker) measureAverageDrainS() float64 {
	sumS, arrays := 0.0, 0.0
	for _, job := range r.Jobs {
		if job.Spec.Kind == api.KindArray && job.PendingTasks > 0 {
			sumS += r.drainTimeS(job)
			arrays++
		}
	}
	return sumS / math.Max(1, arrays)
}

// drainTimeS returns how many seconds the pending tasks of the job would occupy the whole
// partition.
func (r *ranker) drainTimeS(job *Job) float64 {
	return job.Request.dominantShare(job.PendingTasks, r.totalResources) * job.Spec.EstimateS
}

// score returns the weighted sum of the job's terms minus its penalties.
func (r *ranker) score(job *Job) float64 {
	weights := r.Operators.Weights
	score := weights.Priority*float64(job.Tier) + weights.Wait*r.waitTerm(job) + weights.Deficit*r.deficit(job) +
		weights.ZoneFit*r.zoneFit(job) + weights.Readiness*r.readiness(job) + weights.Backlog*r.backlog
	score -= r.Operators.LatePenalty * r.missedObjectiveShare(job)
	score -= r.Operators.LargePenalty * r.backlog * r.largePenaltyFactor(job)
	if job.Spec.Kind != api.KindArray && r.isOverdue(job) {
		score += overdueBonus
	}
	if job.Deprioritized {
		// Without the penalty, a high-tier job that fails on every machine is first in
		// each cycle and gets room before all others.
		score -= deprioritizedPenalty
	}
	return score
}

// waitTerm returns the logarithm of one plus the job's wait in units of ReferenceWaitS.
func (r *ranker) waitTerm(job *Job) float64 {
	return math.Log(1 + max(0, r.Now-job.EligibleAt).Seconds()/r.Operators.ReferenceWaitS)
}

// deficit returns the fraction of its target that the job's team does not use. The target
// is the team's guarantee of GPUs, or else of cores. Without a guarantee it is an equal
// share of the cores of the machines.
func (r *ranker) deficit(job *Job) float64 {
	quota := r.Quotas[job.Spec.Team]
	if quota == nil {
		return 0
	}
	target, used := float64(quota.Guaranteed.MilliGPU), float64(quota.Used.MilliGPU)
	if target == 0 {
		target, used = float64(quota.Guaranteed.MilliCPU), float64(quota.Used.MilliCPU)
	}
	if target == 0 {
		target, used = float64(r.totalResources.MilliCPU)/float64(max(1, len(r.Quotas))), float64(quota.Used.MilliCPU)
	}
	if target <= 0 {
		return 0
	}
	return math.Max(0, target-used) / target
}

// zoneFit returns 1 minus the fraction of the zones that the job needs.
func (r *ranker) zoneFit(job *Job) float64 {
	if r.zones == 0 {
		return zoneFitUnknown
	}
	needed := 1
	if job.Spec.Spread && job.Spec.Tasks > 1 {
		needed = minSpreadZones
	}
	return math.Max(0, 1-float64(needed)/float64(r.zones))
}

// readiness returns the fraction of the counted machines that have the job's image, among
// those that its constraints allow.
func (r *ranker) readiness(job *Job) float64 {
	ready, allowed := 0, 0
	for kind, machines := range r.machinesByKind {
		if ConstraintsAllow(job.Spec, kind.Type, kind.Zone, kind.Spot) {
			allowed += machines
			ready += r.machinesByImage[job.Spec.Image][kind]
		}
	}
	if allowed == 0 {
		return 0
	}
	return float64(ready) / float64(allowed)
}

// largePenaltyFactor returns the fraction of LargePenalty that applies to a job; it is 0
// for all but arrays. It grows with the drain time of the array up to fullPenaltyMultiple
// times the average of the waiting arrays, and fades with the array's own wait. When more
// jobs wait than fit, serving them in order of arrival makes all of them late. With the
// smallest first, most are in time.
func (r *ranker) largePenaltyFactor(job *Job) float64 {
	if job.Spec.Kind != api.KindArray || r.averageDrainS <= 0 {
		return 0
	}
	fade := (r.Now - job.EligibleAt).Seconds() / (penaltyFadeMultiple * r.Operators.BeginWithinS)
	return math.Min(1, r.drainTimeS(job)/(fullPenaltyMultiple*r.averageDrainS)) * math.Max(0, 1-fade)
}
