package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/micros"
)

// availability is a machine and when a job may have it.
type availability struct {
	machine *Machine
	at      micros.Micros
}

// soonestRoom returns the eligible machines that free soonest for all of a job's tasks, in
// one zone where the job must stay in one, and when the last of them has room. Where
// there are too few for the whole job it returns all of them, or, if the job must stay in
// one zone, none and never.
func (s *planState) soonestRoom(job *Job, eligible func(machine *Machine) bool) ([]availability, micros.Micros) {
	byZone := map[string][]availability{}
	for _, machine := range s.Machines {
		if !eligible(machine) || !job.couldRunOn(machine) {
			continue
		}
		if at := machine.freeAt(job.Request, s.Now); at < never {
			zone := job.zoneGroup(machine)
			byZone[zone] = append(byZone[zone], availability{machine, at})
		}
	}
	best := soonestSet(job, byZone)
	if best == nil && !job.Spec.OneZone {
		best = byZone[anyZone]
	}
	if len(best) == 0 {
		return nil, never
	}
	return best, best[len(best)-1].at
}

// soonestSet returns the machines of the group that is the first to hold all of a job's
// tasks; nil where no group has enough. It sorts each group by time.
func soonestSet(job *Job, groups map[string][]availability) []availability {
	var best []availability
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		set := firstForAllTasks(job, groups[name])
		if set == nil {
			continue
		}
		if best == nil || set[len(set)-1].at < best[len(best)-1].at {
			best = set
		}
	}
	return best
}

// firstForAllTasks sorts a list by time and returns the first of its machines that hold
// all of a job's tasks once they are empty; nil where there are not enough.
func firstForAllTasks(job *Job, list []availability) []availability {
	slices.SortStableFunc(list, func(a, b availability) int { return cmp.Compare(a.at, b.at) })
	missing := job.PendingTasks
	for i, candidate := range list {
		missing -= candidate.machine.Total.Multiples(job.Request)
		if missing <= 0 {
			return list[:i+1]
		}
	}
	return nil
}
