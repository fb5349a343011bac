package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// transferCost is added to the lost work on a machine of another partition, so that the
// partition's own machines are preferred if about as much work is lost on them.
const transferCost = 5 * micros.Second

// victimSet holds the tasks to preempt on one machine for a job.
type victimSet struct {
	machine      *Machine
	victims      []Allocation
	lostWork     micros.Micros
	taskCapacity int // tasks of the job that fit on the machine afterwards
}

// hasVictimAtOrAbove reports whether a victim has this tier or a higher one.
func (v *victimSet) hasVictimAtOrAbove(tier int) bool {
	return slices.ContainsFunc(v.victims, func(victim Allocation) bool { return victim.Job.Tier >= tier })
}

// cheapestVictimSets returns the victims with the least lost work that make room for a whole
// gang, or for one task of another job. It returns nil if there are not enough.
func (p *preemptor) cheapestVictimSets(job *Job) []victimSet {
	tasks := 1
	if job.Spec.Kind == api.KindGang {
		tasks = job.PendingTasks
	}
	byZone := map[string][]victimSet{}
	for _, machine := range p.Machines {
		if p.takenMachines[machine] || !p.mayPreemptOn(job, machine) {
			continue
		}
		if set, ok := p.victimsOn(machine, job, tasks); ok && set.taskCapacity > 0 {
			zone := job.zoneGroup(machine)
			byZone[zone] = append(byZone[zone], set)
		}
	}
	var best []victimSet
	leastLost := never
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		sets, lostWork := cheapestSubset(byZone[zone], tasks)
		if sets != nil && lostWork < leastLost {
			best, leastLost = sets, lostWork
		}
	}
	return best
}

// mayPreemptOn reports whether tasks on the machine may be preempted for the job.
func (p *preemptor) mayPreemptOn(job *Job, machine *Machine) bool {
	inUse := machine.Schedulable || machine.HeldByOtherPartition || machine.ClaimedBy == job.ID
	if !inUse || machine.Borrowable || !machine.Total.Fits(job.Request) || !job.couldRunOn(machine) {
		return false
	}
	reserved, ok := p.reservations[machine]
	return !ok || reserved.job == job
}

// victimsOn chooses victims on the machine, those with the least lost work first, until the
// given number of the job's tasks fits. It returns false for a machine of another partition
// that cannot be emptied, or that is empty and not offered.
func (p *preemptor) victimsOn(machine *Machine, job *Job, tasks int) (victimSet, bool) {
	if machine.ClaimedBy == job.ID {
		return victimSet{machine: machine, taskCapacity: machine.Total.FitCount(job.Request)}, true
	}
	set := victimSet{machine: machine}
	free := machine.Free
	allocations := slices.Clone(machine.Allocations)
	slices.SortStableFunc(allocations, func(a, b Allocation) int { return cmp.Compare(a.LostWork, b.LostWork) })
	for _, allocation := range allocations {
		if free.FitCount(job.Request) >= tasks && !machine.HeldByOtherPartition {
			break
		}
		if allocation.Stopping || p.mayPreempt(job, allocation) {
			free = free.AddScaled(allocation.Request, 1)
			set.lostWork += allocation.LostWork
			set.victims = append(set.victims, allocation)
		}
	}
	if machine.HeldByOtherPartition {
		if len(set.victims) < len(allocations) || len(allocations) == 0 {
			// A machine is transferred between partitions only when it is empty. An empty
			// one that is not offered is kept for another job. If it could be requested,
			// two partitions would take it from each other and stop its tasks each time.
			return victimSet{}, false
		}
		set.lostWork += transferCost
	}
	set.taskCapacity = free.FitCount(job.Request)
	return set, true
}

// cheapestSubset sorts the sets by lost work per task. It returns the shortest prefix that has
// room for the given number of tasks, and the work that this prefix loses. It returns nil if
// all sets together have too little room.
func cheapestSubset(sets []victimSet, tasks int) ([]victimSet, micros.Micros) {
	slices.SortStableFunc(sets, func(a, b victimSet) int {
		return cmp.Compare(a.lostWork/micros.Micros(a.taskCapacity), b.lostWork/micros.Micros(b.taskCapacity))
	})
	lostWork := micros.Micros(0)
	for i, set := range sets {
		lostWork += set.lostWork
		tasks -= set.taskCapacity
		if tasks <= 0 {
			return sets[:i+1], lostWork
		}
	}
	return nil, 0
}
