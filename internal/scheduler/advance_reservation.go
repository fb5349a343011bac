package scheduler

import (
	"cmp"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// PreemptionTime is about how long it takes to preempt what runs on a machine.
const PreemptionTime = 12 * micros.Second

// headStartPerTask is by how much earlier a gang is treated as eligible for each of its
// tasks: the larger a gang, the longer its machines take to empty.
const headStartPerTask = 5 * micros.Second

// AdvanceReservation says for which job a machine is kept until it is empty, and when
// the last of that job's machines should be.
type AdvanceReservation struct {
	Job     *Job
	ReadyAt micros.Micros
}

// ReserveInAdvance reserves machines of all partitions for the gangs that are due, oldest
// first: for each the machines that empty soonest, of one zone where it must be in one. It
// returns the reservations by the machines' names.
//
// It is needed because a partition seldom holds eight machines of a zone and nothing may
// be preempted for work of the same tier: the largest gangs waited until the rest was done.
// Every controller works the reservations out for itself from its replica and honours them
// with its own machines; none has to ask. When they asked for machines one by one, several
// gangs of eight each held some, waited for the rest, and none began.
//
// A gang that became eligible after recentSince gets no reservation for machines that it
// can have at once or by preempting what is of a lower tier, nor for a single machine: it
// gets those sooner by itself.
func ReserveInAdvance(now, recentSince micros.Micros, machines []*Machine, dueGangs []*Job) map[string]AdvanceReservation {
	reserved := map[string]AdvanceReservation{}
	for _, job := range inReservationOrder(dueGangs) {
		set := soonestEmpty(job, now, machines, reserved)
		if set == nil {
			continue
		}
		readyAt := set[len(set)-1].at
		hasItSoonAnyway := len(set) == 1 || readyAt <= now+PreemptionTime
		if job.EligibleAt > recentSince && hasItSoonAnyway {
			continue
		}
		for _, emptied := range set {
			reserved[emptied.machine.Name] = AdvanceReservation{job, readyAt}
		}
	}
	return reserved
}

// inReservationOrder sorts the gangs by the order in which they get reservations.
func inReservationOrder(gangs []*Job) []*Job {
	gangs = slices.Clone(gangs)
	slices.SortFunc(gangs, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(eligibleWithHeadStart(a), eligibleWithHeadStart(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return gangs
}

func eligibleWithHeadStart(gang *Job) micros.Micros {
	return gang.EligibleAt - micros.Micros(gang.Spec.Tasks)*headStartPerTask
}

// soonestEmpty gives the machines that empty soonest for all of a gang, in one zone
// where it must be in one, without those reserved already; nil where there are not
// enough.
func soonestEmpty(job *Job, now micros.Micros, machines []*Machine, reserved map[string]AdvanceReservation) []availability {
	byZone := map[string][]availability{}
	for _, machine := range machines {
		if _, taken := reserved[machine.Name]; taken {
			continue
		}
		if !machine.Total.Fits(job.Request) || !job.permits(machine) {
			continue
		}
		if at := machine.emptyAt(job, now); at < never {
			zone := job.zoneGroup(machine)
			byZone[zone] = append(byZone[zone], availability{machine, at})
		}
	}
	return soonestSet(job, byZone)
}

// emptyAt is when the machine is expected to run nothing that a job must wait for: what is
// of a lower tier can be preempted for it; a service does not end.
func (m *Machine) emptyAt(job *Job, now micros.Micros) micros.Micros {
	at := m.schedulableAt(now)
	for _, allocation := range m.Allocations {
		switch {
		case allocation.Job != nil && allocation.Job.Tier < job.ownTier():
			at = max(at, min(allocation.ExpectedEnd, now+PreemptionTime))
		case allocation.Job != nil && allocation.Job.Spec.Kind == api.Service:
			return never
		default:
			at = max(at, allocation.ExpectedEnd)
		}
	}
	return at
}
