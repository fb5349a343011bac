package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// preemptionOverheadS is how many seconds preempting takes besides saving the checkpoint:
// nothing is preempted for a job that has room within that time anyway.
const preemptionOverheadS = 10

// preemptor chooses the tasks to preempt so that blocked jobs get their room.
type preemptor struct {
	*planState
	jobs     int               // jobs that victims were sought for
	machines int               // machines that are emptied or asked for
	taken    map[*Machine]bool // machines that a job of a better rank gets
}

func newPreemptor(state *planState) *preemptor {
	return &preemptor{planState: state, taken: map[*Machine]bool{}}
}

// preemptFor preempts tasks for blocked jobs, on the machines whose emptying loses the
// least work, unless room is expected soon anyway. For a gang all the machines that it
// needs are claimed at once, free ones included, in one zone where it must be in one.
func (p *preemptor) preemptFor(blocked []*Job) {
	for _, job := range blocked {
		if p.jobs >= p.limit(jobsToPreemptFor) || p.machines >= p.limit(machinesToPreempt) {
			break
		}
		if job.Deprioritized || !p.mayPreemptAny(job) || p.hasAdvanceReservation(job) {
			continue
		}
		roomAt := p.roomWithoutPreemption(job)
		if roomAt < p.Now+micros.FromSeconds(job.Spec.CheckpointSaveS+preemptionOverheadS) {
			continue
		}
		p.jobs++
		sets := p.cheapestVictimSets(job)
		if p.isWorthwhile(job, sets, roomAt) {
			p.preempt(job, sets)
		}
	}
}

// preempt takes machines for a job. On those that it has claimed already, the tasks are
// stopping.
func (p *preemptor) preempt(job *Job, sets []victimSet) {
	for _, set := range sets {
		p.taken[set.machine] = true
		if set.machine.ClaimedBy == job.ID {
			continue
		}
		p.machines++
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
			For:             job,
			Machine:         set.machine,
			Victims:         set.victims,
			WithinGuarantee: p.withinGuarantee(job),
		})
	}
}

// mayPreempt tells whether the protocol permits stopping an allocation for a job.
func (p *preemptor) mayPreempt(job *Job, victim Allocation) bool {
	if victim.Job == nil || victim.TaskIndex < 0 {
		return false
	}
	if victim.Job.Tier < job.ownTier() || lentTierMayPreempt(job, victim) {
		return true
	}
	if victim.Job.Tier > job.ownTier() {
		return false // permitted within a guarantee, but it costs more than it gains
	}
	if victim.StartedRecently || victim.Job.score > job.score {
		return false // the victim would take the room back in the next cycle, and so on
	}
	quota, victimQuota := p.Quotas[job.Spec.Team], p.Quotas[victim.Job.Spec.Team]
	if quota == nil || victimQuota == nil || quota == victimQuota {
		return false
	}
	return quota.guaranteesTasks(job.Request, job.PendingTasks) && victimQuota.KeepsGuaranteeWithout(victim.Request)
}

// lentTierMayPreempt tells whether a job may preempt an allocation by a tier that was lent
// to it: only tasks of arrays that have run for a while. Gangs that a pipeline needed
// preempted other gangs of their own class, one of them ten times.
func lentTierMayPreempt(job *Job, victim Allocation) bool {
	return victim.Job.Tier < job.Tier && victim.Job.Spec.Kind == api.Array && !victim.StartedRecently
}

// mayPreemptAny tells whether the protocol might permit preempting any task for a job.
func (p *preemptor) mayPreemptAny(job *Job) bool {
	return job.Tier > lowestTier || p.withinGuarantee(job)
}

// roomWithoutPreemption is when a job has room without any preemption. Machines that
// others have reserved do not count: several gangs once waited for the same machine, each
// expecting it to be free soon.
func (p *preemptor) roomWithoutPreemption(job *Job) micros.Micros {
	_, at := p.soonestRoom(job, func(machine *Machine) bool {
		if machine.Borrowable || machine.HeldByOtherPartition && machine.ClaimedBy != job.ID {
			return false
		}
		reservedFor := p.reservations[machine].job
		return !p.taken[machine] && (reservedFor == nil || reservedFor == job)
	})
	return at
}

// hasAdvanceReservation tells whether machines are reserved in advance for a job.
func (p *preemptor) hasAdvanceReservation(job *Job) bool {
	return slices.ContainsFunc(p.Machines, func(machine *Machine) bool {
		return machine.Reservation != nil && machine.Reservation.Job == job
	})
}

// isWorthwhile tells whether a job that would else have room at roomAt gains more by
// preemption than is lost. Victims of a lower tier are always worth it.
func (p *preemptor) isWorthwhile(job *Job, sets []victimSet, roomAt micros.Micros) bool {
	var lostWork micros.Micros
	onlyLowerTiers := true
	for _, set := range sets {
		lostWork += set.lostWork
		onlyLowerTiers = onlyLowerTiers && !set.hasVictimOfTier(job.ownTier())
	}
	if onlyLowerTiers {
		return true
	}
	if lostWork > roomAt-p.Now {
		return false // more work would be lost than wait saved
	}
	hasLentTier := job.Tier > job.ownTier()
	return !hasLentTier || !isInTime(job, roomAt) // the job that lent it may be in time all the same
}

// isInTime tells whether a job that has room at that instant meets its deadline.
func isInTime(job *Job, roomAt micros.Micros) bool {
	return job.Deadline.WithinS > 0 && roomAt < never && roomAt+job.estimate() <= job.Deadline.Latest()
}
