package scheduler

import (
	"cmp"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Amounts that put a job before or behind all others, whatever the terms of its score.
const (
	overdueBonus         = 2
	deprioritizedPenalty = 100
)

// Terms of the penalty of large arrays.
const (
	// fullPenaltyMultiple is how many times the work of the average array that waits an
	// array must ask for to get the whole penalty.
	fullPenaltyMultiple = 2.5
	// penaltyFadeMultiple is how many times BeginWithinS an array waits until its penalty
	// is gone, so that a large one is not put off without end.
	penaltyFadeMultiple = 4
)

// zoneFitUnknown is the zone term of a partition without machines: neither the best nor
// the worst.
const zoneFitUnknown = 0.5

// ranker scores the jobs of a plan. Its fields are what all scores have in common.
type ranker struct {
	*planState
	total              Resources // of the partition's machines
	zones              int
	backlog            float64                         // ratio of pending to running work, at most 1
	typicalDrain       float64                         // of the average array that waits, in seconds
	schedulable        map[InstanceKind]int            // machines, those with room if there are any
	schedulableByImage map[string]map[InstanceKind]int // those of them that have an image
}

func newRanker(state *planState) *ranker {
	jobRanker := &ranker{
		planState:          state,
		schedulable:        map[InstanceKind]int{},
		schedulableByImage: map[string]map[InstanceKind]int{},
	}
	jobRanker.countMachines()
	jobRanker.backlog = jobRanker.measureBacklog()
	jobRanker.typicalDrain = jobRanker.measureTypicalDrain()
	return jobRanker
}

// rankJobs sorts the jobs by their scores, best first.
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

// countMachines takes in the partition's resources and zones, and where images are.
func (r *ranker) countMachines() {
	// Readiness is the share of machines with the image among those that have
	// room now, of any if none has.
	anyRoom := slices.ContainsFunc(r.Machines, hasRoom)
	zones := map[string]bool{}
	for _, machine := range r.Machines {
		if machine.Schedulable && !anyRoom || hasRoom(machine) {
			r.countImages(machine)
		}
		zones[machine.Zone] = true
		r.total = r.total.Add(machine.Total, 1)
	}
	r.zones = len(zones)
}

// hasRoom tells whether a machine may be given tasks now and has anything free.
func hasRoom(machine *Machine) bool {
	return machine.Schedulable && machine.Free.GPU > 0 && machine.Free.CPU > 0
}

// countImages counts a schedulable machine and the images that it has.
func (r *ranker) countImages(machine *Machine) {
	kind := machine.kind()
	r.schedulable[kind]++
	for _, image := range machine.CachedImages {
		if r.schedulableByImage[image] == nil {
			r.schedulableByImage[image] = map[InstanceKind]int{}
		}
		r.schedulableByImage[image][kind]++
	}
}

// measureBacklog is the ratio of the work that is pending to the work that runs, at most 1.
func (r *ranker) measureBacklog() float64 {
	running, queued := 0.0, 0.0
	for _, machine := range r.Machines {
		for _, allocation := range machine.Allocations {
			running += float64(max(0, allocation.ExpectedEnd-r.Now))
		}
	}
	for _, job := range r.Jobs {
		queued += float64(job.PendingTasks) * job.Spec.EstimateS * float64(micros.Second)
	}
	if running > 0 {
		return math.Min(1, queued/running)
	}
	return 1
}

// measureTypicalDrain is the drain time of the average array that waits.
func (r *ranker) measureTypicalDrain() float64 {
	sum, arrays := 0.0, 0.0
	for _, job := range r.Jobs {
		if job.Spec.Kind == api.Array && job.PendingTasks > 0 {
			sum += r.drainTime(job)
			arrays++
		}
	}
	return sum / math.Max(1, arrays)
}

// drainTime is how long the whole partition would be busy with what waits of a job, in
// seconds.
func (r *ranker) drainTime(job *Job) float64 {
	return job.Request.largestShare(job.PendingTasks, r.total) * job.Spec.EstimateS
}

// score is a job's weighted sum, less the penalties.
func (r *ranker) score(job *Job) float64 {
	weights := r.Operators.Weights
	score := weights.Priority*float64(job.Tier) + weights.Wait*r.waitTerm(job) + weights.Deficit*r.deficit(job) +
		weights.ZoneFit*r.zoneFit(job) + weights.Readiness*r.readiness(job) + weights.Backlog*r.backlog
	score -= r.Operators.LatePenalty * r.missedObjectives(job)
	score -= r.Operators.LargePenalty * r.backlog * r.largeness(job)
	if job.Spec.Kind != api.Array && r.isOverdue(job) {
		score += overdueBonus
	}
	if job.Deprioritized {
		// A high-tier job that fails on every machine would be first in each cycle
		// and take room before all others.
		score -= deprioritizedPenalty
	}
	return score
}

// waitTerm grows with the logarithm of the time that a job has waited.
func (r *ranker) waitTerm(job *Job) float64 {
	return math.Log(1 + max(0, r.Now-job.EligibleAt).Seconds()/r.Operators.ReferenceWaitS)
}

// deficit is how much of its target share a job's team lacks. The target is its
// guarantee; without one, an equal share of the partition.
func (r *ranker) deficit(job *Job) float64 {
	quota := r.Quotas[job.Spec.Team]
	if quota == nil {
		return 0
	}
	target, used := float64(quota.Guaranteed.GPU), float64(quota.Used.GPU)
	if target == 0 {
		target, used = float64(quota.Guaranteed.CPU), float64(quota.Used.CPU)
	}
	if target == 0 {
		target, used = float64(r.total.CPU)/float64(max(1, len(r.Quotas))), float64(quota.Used.CPU)
	}
	if target <= 0 {
		return 0
	}
	return math.Max(0, target-used) / target
}

// zoneFit is 1 less the share of the zones that a job needs.
func (r *ranker) zoneFit(job *Job) float64 {
	if r.zones == 0 {
		return zoneFitUnknown
	}
	needed := 1
	if job.Spec.Spread && job.Spec.Tasks > 1 {
		needed = spreadZones
	}
	return math.Max(0, 1-float64(needed)/float64(r.zones))
}

// readiness is the share of the machines a job may use that have its image.
func (r *ranker) readiness(job *Job) float64 {
	ready, allowed := 0, 0
	for kind, machines := range r.schedulable {
		if Allowed(job.Spec, kind.Type, kind.Zone, kind.Spot) {
			allowed += machines
			ready += r.schedulableByImage[job.Spec.Image][kind]
		}
	}
	if allowed == 0 {
		return 0
	}
	return float64(ready) / float64(allowed)
}

// largeness is how much an array asks for, from 0 to 1 for fullPenaltyMultiple times the
// average of those that wait; it fades with the job's own wait. Where more waits than
// fits, serving in the order of arrival makes all late; where the smallest go first, most
// are in time.
func (r *ranker) largeness(job *Job) float64 {
	if job.Spec.Kind != api.Array || r.typicalDrain <= 0 {
		return 0
	}
	waited := (r.Now - job.EligibleAt).Seconds() / (penaltyFadeMultiple * r.Operators.BeginWithinS)
	return math.Min(1, r.drainTime(job)/(fullPenaltyMultiple*r.typicalDrain)) * math.Max(0, 1-waited)
}
