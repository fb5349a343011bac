package scheduler

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// reservation keeps a machine for a job until all its machines are ready. Others may use
// the machine for tasks that end before.
type reservation struct {
	job     *Job
	readyAt micros.Micros
}

// mayReserve tells whether a blocked job may reserve machines: the first one that is
// blocked, and every gang, up to a bound. Room for a gang boots or frees piece by piece,
// and smaller jobs took each piece as it came: gangs waited for minutes for machines that
// the demand planner had counted as theirs.
func (p *placer) mayReserve(job *Job) bool {
	if job.Deprioritized {
		return false
	}
	isTopBlocked := len(p.blocked) == 0
	return isTopBlocked || job.Spec.Kind == api.Gang && p.gangsReserving < p.limit(gangsToReserveFor)
}

// reserveFor reserves the machines freeing soonest for a blocked job.
func (p *placer) reserveFor(job *Job) {
	machines, readyAt := p.soonestRoom(job, func(machine *Machine) bool {
		_, reserved := p.reservations[machine]
		reservedInAdvance := machine.Reservation != nil && machine.Reservation.Job == job
		return !machine.Borrowable && !machine.HeldByOtherPartition && (!reserved || reservedInAdvance)
	})
	if job.Spec.Kind == api.Gang {
		p.gangsReserving++
	}
	for _, reserved := range machines {
		p.reservations[reserved.machine] = reservation{job, readyAt}
	}
}
