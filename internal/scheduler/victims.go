package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// transferCost is added to the work lost on another partition's machine, so that the
// partition's own machines are emptied first where they cost about as much.
const transferCost = 5 * micros.Second

// victimSet is the tasks to preempt on one machine for a job.
type victimSet struct {
	machine  *Machine
	victims  []Allocation
	lostWork micros.Micros
	fits     int // tasks of the job that the machine holds afterwards
}

// hasVictimOfTier tells whether a victim is of this tier or a higher one.
func (v *victimSet) hasVictimOfTier(tier int) bool {
	return slices.ContainsFunc(v.victims, func(victim Allocation) bool { return victim.Job.Tier >= tier })
}

// cheapestVictimSets returns the victims that lose the least work so that a whole gang
// fits, or one task of another job; nil where there are not enough.
func (p *preemptor) cheapestVictimSets(job *Job) []victimSet {
	tasks := 1
	if job.Spec.Kind == api.Gang {
		tasks = job.PendingTasks
	}
	byZone := map[string][]victimSet{}
	for _, machine := range p.Machines {
		if p.taken[machine] || !p.mayEmpty(job, machine) {
			continue
		}
		if set, ok := p.victimsOn(machine, job, tasks); ok && set.fits > 0 {
			zone := job.zoneGroup(machine)
			byZone[zone] = append(byZone[zone], set)
		}
	}
	var best []victimSet
	leastLost := never
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		sets, lostWork := cheapestSets(byZone[zone], tasks)
		if sets != nil && lostWork < leastLost {
			best, leastLost = sets, lostWork
		}
	}
	return best
}

// mayEmpty tells whether a machine may be emptied for a job.
func (p *preemptor) mayEmpty(job *Job, machine *Machine) bool {
	inUse := machine.Schedulable || machine.HeldByOtherPartition || machine.ClaimedBy == job.ID
	if !inUse || machine.Borrowable || !machine.Total.Fits(job.Request) || !job.couldRunOn(machine) {
		return false
	}
	reserved, ok := p.reservations[machine]
	return !ok || reserved.job == job
}

// victimsOn chooses the victims on a machine for up to so many tasks of a job, those that
// lose the least work first. It returns false if the machine can't be emptied.
func (p *preemptor) victimsOn(machine *Machine, job *Job, tasks int) (victimSet, bool) {
	if machine.ClaimedBy == job.ID {
		return victimSet{machine: machine, fits: machine.Total.Multiples(job.Request)}, true
	}
	set := victimSet{machine: machine}
	free := machine.Free
	allocations := slices.Clone(machine.Allocations)
	slices.SortStableFunc(allocations, func(a, b Allocation) int { return cmp.Compare(a.LostWork, b.LostWork) })
	for _, allocation := range allocations {
		if free.Multiples(job.Request) >= tasks && !machine.HeldByOtherPartition {
			break
		}
		if allocation.Stopping || p.mayPreempt(job, allocation) {
			free = free.Add(allocation.Request, 1)
			set.lostWork += allocation.LostWork
			set.victims = append(set.victims, allocation)
		}
	}
	if machine.HeldByOtherPartition {
		if len(set.victims) < len(allocations) || len(allocations) == 0 {
			// A machine moves between partitions only when it is empty; and one that is
			// empty but not offered is being kept for another job: two partitions took
			// such a machine from each other, stopping what it ran each time.
			return victimSet{}, false
		}
		set.lostWork += transferCost
	}
	set.fits = free.Multiples(job.Request)
	return set, true
}

// cheapestSets returns the sets of a list that lose the least work per task until so many
// tasks fit, and the work that they lose; nil where there are not enough.
func cheapestSets(list []victimSet, tasks int) ([]victimSet, micros.Micros) {
	slices.SortStableFunc(list, func(a, b victimSet) int {
		return cmp.Compare(a.lostWork/micros.Micros(a.fits), b.lostWork/micros.Micros(b.fits))
	})
	lostWork := micros.Micros(0)
	for i, set := range list {
		lostWork += set.lostWork
		tasks -= set.fits
		if tasks <= 0 {
			return list[:i+1], lostWork
		}
	}
	return nil, 0
}
