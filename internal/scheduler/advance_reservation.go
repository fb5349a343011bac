package scheduler

import (
	"cmp"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// PreemptionTime is the approximate time to preempt the tasks on a machine.
const PreemptionTime = 12 * micros.Second

// eligibilityCreditPerTask is how much earlier, per task, a gang is treated as eligible. The
// machines of a larger gang take longer to become empty.
const eligibilityCreditPerTask = 5 * micros.Second

// AdvanceReservation reserves a machine for Job before the machine is empty. ReadyAt is when
// the last of the job's machines is expected to be empty.
type AdvanceReservation struct {
	Job     *Job
	ReadyAt micros.Micros
}

// ReserveInAdvance reserves machines of all partitions for the given gangs, in the order in
// which they became eligible, with an earlier place for larger gangs. Each gang gets the
// machines that become empty first, all in one zone if it must stay in one. The result is
// keyed by machine name.
//
// Without advance reservations, the largest gangs wait until all other work is done, because
// a partition seldom has eight machines in one zone and a job may preempt tasks of its own
// tier only within its team's guarantee. Every controller computes the reservations from its
// own replica and applies them to its own machines, so that none has to request a machine. If
// machines are requested one by one, several gangs of eight each hold some of them and wait
// for the others, and none starts.
//
// A gang that became eligible after recentSince gets no reservation for a single machine, or
// for machines that it can have at once or by preempting tasks of lower tiers. It gets those
// sooner through the normal plan.
func ReserveInAdvance(now, recentSince micros.Micros, machines []*Machine, dueGangs []*Job) map[string]AdvanceReservation {
	reserved := map[string]AdvanceReservation{}
	for _, job := range inReservationOrder(dueGangs) {
		set := earliestEmpty(job, now, machines, reserved)
		if set == nil {
			continue
		}
		readyAt := set[len(set)-1].at
		availableSoonAnyway := len(set) == 1 || readyAt <= now+PreemptionTime
		if job.EligibleAt > recentSince && availableSoonAnyway {
			continue
		}
		for _, available := range set {
			reserved[available.machine.Name] = AdvanceReservation{job, readyAt}
		}
	}
	return reserved
}

// inReservationOrder returns the gangs in the order in which they get reservations.
func inReservationOrder(gangs []*Job) []*Job {
	gangs = slices.Clone(gangs)
	slices.SortFunc(gangs, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(adjustedEligibleAt(a), adjustedEligibleAt(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return gangs
}

func adjustedEligibleAt(gang *Job) micros.Micros {
	return gang.EligibleAt - micros.Micros(gang.Spec.Tasks)*eligibilityCreditPerTask
}

// earliestEmpty returns the machines not reserved yet that are the first to be empty for all
// tasks of the gang, or nil if there are not enough. They are in one zone if the gang must
// stay in one.
func earliestEmpty(job *Job, now micros.Micros, machines []*Machine, reserved map[string]AdvanceReservation) []availability {
	byZone := map[string][]availability{}
	for _, machine := range machines {
		if _, taken := reserved[machine.Name]; taken {
			continue
		}
		if !machine.Total.Fits(job.Request) || !job.allowsMachine(machine) {
			continue
		}
		if at := machine.emptyAt(job, now); at < never {
			zone := job.zoneGroup(machine)
			byZone[zone] = append(byZone[zone], availability{machine, at})
		}
	}
	return earliestSet(job, byZone)
}

// emptyAt returns when the machine is expected to run nothing that the job must wait for.
// Tasks of lower tiers can be preempted within PreemptionTime. If a service that cannot be
// preempted runs there, it returns never.
func (m *Machine) emptyAt(job *Job, now micros.Micros) micros.Micros {
	at := m.schedulableAt(now)
	for _, allocation := range m.Allocations {
		switch {
		case allocation.Job != nil && allocation.Job.Tier < job.ownTier():
			at = max(at, min(allocation.ExpectedEnd, now+PreemptionTime))
		case allocation.Job != nil && allocation.Job.Spec.Kind == api.KindService:
			return never
		default:
			at = max(at, allocation.ExpectedEnd)
		}
	}
	return at
}
