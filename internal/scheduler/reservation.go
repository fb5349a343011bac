package scheduler

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// reservation keeps a machine for a job until readyAt, when all machines of the job are
// expected to have room. Other jobs may run tasks on it that end before then.
type reservation struct {
	job     *Job
	readyAt micros.Micros
}

// mayReserve reports whether a blocked job may reserve machines. The first blocked job may,
// and so may every gang up to maxReservingGangs. The machines of a gang boot or become free
// one after the other. Without reservations, smaller jobs use each of them first, and gangs
// wait for minutes for machines that the demand planner assigned to them.
func (p *placer) mayReserve(job *Job) bool {
	if job.Deprioritized {
		return false
	}
	isTopBlocked := len(p.blocked) == 0
	return isTopBlocked || job.Spec.Kind == api.KindGang && p.gangsReserving < p.limit(maxReservingGangs)
}

// reserveFor reserves the machines that are the first to have room for the blocked job.
func (p *placer) reserveFor(job *Job) {
	machines, readyAt := p.earliestRoom(job, func(machine *Machine) bool {
		_, reserved := p.reservations[machine]
		reservedInAdvance := machine.Reservation != nil && machine.Reservation.Job == job
		return !machine.Borrowable && !machine.HeldByOtherPartition && (!reserved || reservedInAdvance)
	})
	if job.Spec.Kind == api.KindGang {
		p.gangsReserving++
	}
	for _, reserved := range machines {
		p.reservations[reserved.machine] = reservation{job, readyAt}
	}
}
