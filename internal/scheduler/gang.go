package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// gangZone holds the machines of a zone that have room for tasks of a gang.
type gangZone struct {
	name           string
	machines       []*Machine // in the order in which the gang uses them
	taskCapacity   int        // tasks that fit, limited to those allowed in the zone
	machinesNeeded int        // machines that the whole gang would use here
}

// placeGang binds all pending tasks of the gang, using the fewest zones and the fewest
// machines in them. If they do not all fit, it binds none and returns false.
func (p *placer) placeGang(job *Job) bool {
	var shares []machineShare
	remaining := job.PendingTasks
	for _, zone := range p.gangZones(job) {
		tasks := min(remaining, zone.taskCapacity)
		remaining -= tasks
		shares = append(shares, zone.sharesFor(job, tasks)...)
		if remaining == 0 || job.Spec.OneZone {
			break
		}
	}
	if remaining > 0 {
		return false
	}
	for _, share := range shares {
		p.bindTasks(job, share.machine, share.tasks)
	}
	return true
}

// gangZones returns the zones with room for tasks of the gang. The zone with the most room
// is first, so that the gang uses the fewest zones. Among zones that hold the whole gang,
// the one that needs the fewest machines is first.
func (p *placer) gangZones(job *Job) []*gangZone {
	byName := map[string]*gangZone{}
	var zones []*gangZone
	for _, machine := range p.Machines {
		if !p.canPlace(job, machine) {
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
		zone.measureCapacity(job)
	}
	slices.SortFunc(zones, func(a, b *gangZone) int {
		return cmp.Or(
			cmp.Compare(min(b.taskCapacity, job.PendingTasks), min(a.taskCapacity, job.PendingTasks)),
			cmp.Compare(a.machinesNeeded, b.machinesNeeded),
			cmp.Compare(a.name, b.name),
		)
	})
	return zones
}

// measureCapacity sorts the zone's machines for the gang and sets taskCapacity and
// machinesNeeded.
func (z *gangZone) measureCapacity(job *Job) {
	slices.SortStableFunc(z.machines, func(a, b *Machine) int {
		return cmp.Or(
			cmp.Compare(b.Free.FitCount(job.Request), a.Free.FitCount(job.Request)),
			compareImageCached(a, b, job.Spec.Image),
			cmp.Compare(a.Type.Price, b.Type.Price),
		)
	})
	for _, machine := range z.machines {
		z.taskCapacity += machine.Free.FitCount(job.Request)
	}
	z.taskCapacity = min(z.taskCapacity, job.tasksAllowedIn(z.name))
	z.machinesNeeded = countMachinesNeeded(z.machines, job)
}

// compareImageCached orders a machine that has the image before one that must fetch it.
func compareImageCached(a, b *Machine, image string) int {
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

// countMachinesNeeded returns how many of the machines, taken in order, hold all pending
// tasks of the gang. If the gang does not fit, it returns math.MaxInt32.
func countMachinesNeeded(machines []*Machine, job *Job) int {
	remaining := job.PendingTasks
	for i, machine := range machines {
		remaining -= machine.Free.FitCount(job.Request)
		if remaining <= 0 {
			return i + 1
		}
	}
	return math.MaxInt32
}

// machineShare is how many tasks of a gang a machine gets.
type machineShare struct {
	machine *Machine
	tasks   int
}

// sharesFor distributes the given number of tasks among the zone's machines.
func (z *gangZone) sharesFor(job *Job, tasks int) []machineShare {
	var shares []machineShare
	for _, machine := range z.machines {
		if tasks == 0 {
			break
		}
		onMachine := min(tasks, machine.Free.FitCount(job.Request))
		shares = append(shares, machineShare{machine, onMachine})
		tasks -= onMachine
	}
	return shares
}
