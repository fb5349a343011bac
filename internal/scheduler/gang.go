package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// gangZone is the room that a zone has for a gang.
type gangZone struct {
	name     string
	machines []*Machine // that may take its tasks, in the order they are to be used
	room     int        // tasks that fit; not more than the zone may take
	span     int        // machines that the whole gang would take
}

// placeGang binds a whole gang to the smallest set of machines in the fewest
// zones, or nothing.
func (p *placer) placeGang(job *Job) bool {
	var machines []*Machine
	missing := job.PendingTasks
	for _, zone := range p.gangZones(job) {
		tasks := min(missing, zone.room)
		missing -= tasks
		machines = append(machines, zone.machinesFor(job, tasks)...)
		if missing == 0 || job.Spec.OneZone {
			break
		}
	}
	if missing > 0 {
		return false
	}
	for _, machine := range machines {
		p.bindTask(job, machine)
	}
	return true
}

// gangZones gives the zones that may take tasks of a gang. The zone with the most room
// is first: fewest zones; among those that hold it all, the fewest machines.
func (p *placer) gangZones(job *Job) []*gangZone {
	byName := map[string]*gangZone{}
	var zones []*gangZone
	for _, machine := range p.Machines {
		if !p.canTake(job, machine) {
			continue
		}
		zone := byName[machine.Zone]
		if zone == nil {
			zone = &gangZone{name: machine.Zone}
			byName[machine.Zone] = zone
			zones = append(zones, zone)
		}
		zone.machines = append(zone.machines, machine)
	}
	for _, zone := range zones {
		zone.measure(job)
	}
	slices.SortFunc(zones, func(a, b *gangZone) int {
		return cmp.Or(
			cmp.Compare(min(b.room, job.PendingTasks), min(a.room, job.PendingTasks)),
			cmp.Compare(a.span, b.span),
			cmp.Compare(a.name, b.name),
		)
	})
	return zones
}

// measure orders the zone's machines for a gang and works out how much of it they hold.
func (z *gangZone) measure(job *Job) {
	slices.SortStableFunc(z.machines, func(a, b *Machine) int {
		return cmp.Or(
			cmp.Compare(b.Free.Multiples(job.Request), a.Free.Multiples(job.Request)),
			compareCached(a, b, job.Spec.Image),
			cmp.Compare(a.Type.Price, b.Type.Price),
		)
	})
	for _, machine := range z.machines {
		z.room += machine.Free.Multiples(job.Request)
	}
	z.room = min(z.room, job.zoneCapacity(z.name))
	z.span = spanOf(z.machines, job)
}

// compareCached puts a machine that has an image before one that must fetch it.
func compareCached(a, b *Machine, image string) int {
	aHasImage, bHasImage := a.HasImage(image), b.HasImage(image)
	switch {
	case aHasImage == bHasImage:
		return 0
	case aHasImage:
		return -1
	default:
		return 1
	}
}

// spanOf is how many of the machines, in order, the gang takes; more than there can be
// where it does not fit.
func spanOf(machines []*Machine, job *Job) int {
	missing := job.PendingTasks
	for i, machine := range machines {
		missing -= machine.Free.Multiples(job.Request)
		if missing <= 0 {
			return i + 1
		}
	}
	return math.MaxInt32
}

// machinesFor gives the machines for so many tasks: each machine once for every task that
// it takes.
func (z *gangZone) machinesFor(job *Job, tasks int) []*Machine {
	var machines []*Machine
	for _, machine := range z.machines {
		for room := machine.Free.Multiples(job.Request); room > 0 && tasks > 0; room-- {
			machines = append(machines, machine)
			tasks--
		}
	}
	return machines
}
