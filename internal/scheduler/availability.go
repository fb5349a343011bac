package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/micros"
)

// availability is a machine and the time at which it is available to a job.
type availability struct {
	machine *Machine
	at      micros.Micros
}

// earliestRoom returns the eligible machines that are the first to have room for a task of
// the job, as many as hold all of its tasks when they are empty. It also returns the time
// at which the last of them has that room. The machines are in one zone if the job must stay
// in one. If there are too few for the whole job, it returns all of them; for a job that
// must stay in one zone it returns none and never.
func (s *planState) earliestRoom(job *Job, eligible func(machine *Machine) bool) ([]availability, micros.Micros) {
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
	best := earliestSet(job, byZone)
	if best == nil && !job.Spec.OneZone {
		best = byZone[anyZone]
	}
	if len(best) == 0 {
		return nil, never
	}
	return best, best[len(best)-1].at
}

// earliestSet returns the machines of the group that is the first to have enough available
// machines for all of the job's tasks, or nil if no group has enough. It sorts each group by
// time.
func earliestSet(job *Job, groups map[string][]availability) []availability {
	var best []availability
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		set := earliestForAllTasks(job, groups[name])
		if set == nil {
			continue
		}
		if best == nil || set[len(set)-1].at < best[len(best)-1].at {
			best = set
		}
	}
	return best
}

// earliestForAllTasks sorts the list by time and returns the shortest prefix whose machines
// hold all of the job's tasks when they are empty, or nil if the whole list does not.
func earliestForAllTasks(job *Job, list []availability) []availability {
	slices.SortStableFunc(list, func(a, b availability) int { return cmp.Compare(a.at, b.at) })
	remaining := job.PendingTasks
	for i, candidate := range list {
		remaining -= candidate.machine.Total.FitCount(job.Request)
		if remaining <= 0 {
			return list[:i+1]
		}
	}
	return nil
}
