package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// preemptionOverheadS is the time that a preemption takes in addition to saving the
// checkpoint. No task is preempted for a job that has room sooner than that anyway.
const preemptionOverheadS = 10

// preemptor chooses the tasks to preempt to give room to blocked jobs.
type preemptor struct {
	*planState
	jobsTried         int               // jobs for which victims were searched
	machinesPreempted int               // machines with victims, or requested from another partition
	takenMachines     map[*Machine]bool // machines that a job with a better rank gets
}

func newPreemptor(state *planState) *preemptor {
	return &preemptor{planState: state, takenMachines: map[*Machine]bool{}}
}

// preemptFor preempts tasks for the blocked jobs that will not have room soon anyway. It uses
// the machines on which the least work is lost. For a gang it claims all machines that the
// gang needs at once, including free ones, in one zone if the gang must stay in one.
func (p *preemptor) preemptFor(blocked []*Job) {
	for _, job := range blocked {
		if p.jobsTried >= p.limit(maxPreemptingJobs) || p.machinesPreempted >= p.limit(maxPreemptedMachines) {
			break
		}
		if job.Deprioritized || !p.mayPreemptAny(job) || p.hasAdvanceReservation(job) {
			continue
		}
		roomAt := p.roomWithoutPreemption(job)
		if roomAt < p.Now+micros.FromSeconds(job.Spec.CheckpointSaveS+preemptionOverheadS) {
			continue
		}
		p.jobsTried++
		sets := p.cheapestVictimSets(job)
		if p.isWorthwhile(job, sets, roomAt) {
			p.preempt(job, sets)
		}
	}
}

// preempt adds the preemptions for a job to the plan. Machines that the job already claims
// are skipped, because their victims are already stopping.
func (p *preemptor) preempt(job *Job, sets []victimSet) {
	for _, set := range sets {
		p.takenMachines[set.machine] = true
		if set.machine.ClaimedBy == job.ID {
			continue
		}
		p.machinesPreempted++
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
			ForJob:          job,
			Machine:         set.machine,
			Victims:         set.victims,
			WithinGuarantee: p.withinGuarantee(job),
		})
	}
}

// mayPreempt reports whether a task may be preempted for the job. It also rejects preemptions
// that the protocol permits but that cost more than they gain.
func (p *preemptor) mayPreempt(job *Job, victim Allocation) bool {
	if victim.Job == nil || victim.TaskIndex < 0 {
		return false
	}
	if victim.Job.Tier < job.ownTier() || inheritedTierMayPreempt(job, victim) {
		return true
	}
	if victim.Job.Tier > job.ownTier() {
		return false // the protocol permits it within a guarantee, but it costs more than it gains
	}
	if victim.StartedRecently || victim.Job.score > job.score {
		return false // the two jobs would take the room from each other in every cycle
	}
	quota, victimQuota := p.Quotas[job.Spec.Team], p.Quotas[victim.Job.Spec.Team]
	if quota == nil || victimQuota == nil || quota == victimQuota {
		return false
	}
	return quota.guaranteeCovers(job.Request, job.PendingTasks) && victimQuota.KeepsGuaranteeWithout(victim.Request)
}

// inheritedTierMayPreempt reports whether the job may preempt a task by the tier that the job
// inherited. Only array tasks that have run for a while may be preempted that way. Without
// this rule, gangs that a pipeline depends on preempt other gangs of their own class over
// and over, one of them ten times.
func inheritedTierMayPreempt(job *Job, victim Allocation) bool {
	return victim.Job.Tier < job.Tier && victim.Job.Spec.Kind == api.KindArray && !victim.StartedRecently
}

// mayPreemptAny reports whether the protocol could permit preempting any task for the job.
func (p *preemptor) mayPreemptAny(job *Job) bool {
	return job.Tier > lowestTier || p.withinGuarantee(job)
}

// roomWithoutPreemption returns when the job is expected to have room without a preemption.
// Machines reserved for other jobs do not count. Otherwise several gangs wait for the same
// machine, each of them expecting it to be free soon.
func (p *preemptor) roomWithoutPreemption(job *Job) micros.Micros {
	_, at := p.earliestRoom(job, func(machine *Machine) bool {
		if machine.Borrowable || machine.HeldByOtherPartition && machine.ClaimedBy != job.ID {
			return false
		}
		reservedFor := p.reservations[machine].job
		return !p.takenMachines[machine] && (reservedFor == nil || reservedFor == job)
	})
	return at
}

// hasAdvanceReservation reports whether a machine is reserved in advance for the job.
func (p *preemptor) hasAdvanceReservation(job *Job) bool {
	return slices.ContainsFunc(p.Machines, func(machine *Machine) bool {
		return machine.Reservation != nil && machine.Reservation.Job == job
	})
}

// isWorthwhile reports whether preempting the victims gains more for the job than it loses.
// roomAt is when the job has room without the preemption. Preempting only victims of lower
// tiers is always worthwhile.
func (p *preemptor) isWorthwhile(job *Job, sets []victimSet, roomAt micros.Micros) bool {
	var lostWork micros.Micros
	onlyLowerTiers := true
	for _, set := range sets {
		lostWork += set.lostWork
		onlyLowerTiers = onlyLowerTiers && !set.hasVictimAtOrAbove(job.ownTier())
	}
	if onlyLowerTiers {
		return true
	}
	if lostWork > roomAt-p.Now {
		return false // the lost work exceeds the saved wait
	}
	hasInheritedTier := job.Tier > job.ownTier()
	return !hasInheritedTier || !meetsDeadline(job, roomAt) // an inherited tier is not needed if the deadline is met anyway
}

// meetsDeadline reports whether the job has a deadline and meets it if it has room at roomAt.
func meetsDeadline(job *Job, roomAt micros.Micros) bool {
	return job.Deadline.WithinS > 0 && roomAt < never && roomAt+job.estimatedRuntime() <= job.Deadline.LatestEnd()
}
