package scheduler

import "cmp"

// serviceZone holds the machines of a zone on which tasks of a service can be bound, best first.
// The best machine of a zone stays the best when it gets a task: it has the image then, and the
// next task fits more tightly.
type serviceZone struct {
	name       string
	candidates []candidate
	shares     []machineShare // of the candidates that have got tasks; the last one may get more
	tasks      int            // tasks that the zone gets
}

// spreadService binds up to the given number of a service's tasks. It chooses the best machine
// anew for each task, which spreads them over the zones, and returns how many find no machine.
func (p *placer) spreadService(job *Job, tasks int) int {
	zones := p.serviceZones(job)
	for ; tasks > 0; tasks-- {
		zone := bestServiceZone(job, zones)
		if zone == nil {
			break
		}
		zone.addTask(job)
		if job.Spec.OneZone {
			zones = []*serviceZone{zone}
		}
	}
	for _, zone := range zones {
		for _, share := range zone.shares {
			p.bindTasks(job, share.machine, share.tasks)
		}
	}
	return tasks
}

// serviceZones returns the zones with machines on which a task of the service can be bound, in
// the order of their first machines.
func (p *placer) serviceZones(job *Job) []*serviceZone {
	byName := map[string]*serviceZone{}
	var zones []*serviceZone
	for _, candidate := range p.candidates(job) {
		zone := byName[candidate.machine.Zone]
		if zone == nil {
			zone = &serviceZone{name: candidate.machine.Zone}
			byName[zone.name] = zone
			zones = append(zones, zone)
		}
		zone.candidates = append(zone.candidates, candidate)
	}
	return zones
}

// bestServiceZone returns the zone whose best machine is the best for the next task, or nil if
// no zone may have another task.
func bestServiceZone(job *Job, zones []*serviceZone) *serviceZone {
	var best *serviceZone
	var bestKey machineSortKey
	for _, zone := range zones {
		if len(zone.candidates) == 0 || job.tasksAllowedIn(zone.name) <= zone.tasks {
			continue
		}
		sortKey := zone.sortKey(job)
		if best == nil || cmp.Or(sortKey.compare(&bestKey), cmp.Compare(zone.candidates[0].index, best.candidates[0].index)) < 0 {
			best, bestKey = zone, sortKey
		}
	}
	return best
}

// sortKey returns the sort key of the zone's best machine, with the tasks that it has got.
func (z *serviceZone) sortKey(job *Job) machineSortKey {
	first := z.candidates[0]
	key := first.sortKey
	key.zoneTasks += int64(z.tasks)
	if tasks := z.tasksOnFirst(); tasks > 0 {
		key.setFree(first.machine.Free.AddScaled(job.Request, -int64(tasks+1)))
		key.startCostS = startCostS(job, first.machine, true)
	}
	return key
}

// tasksOnFirst returns how many tasks the zone's best machine has got.
func (z *serviceZone) tasksOnFirst() int {
	last := len(z.shares) - 1
	if last < 0 || z.shares[last].machine != z.candidates[0].machine {
		return 0
	}
	return z.shares[last].tasks
}

// addTask gives a task to the zone's best machine. A machine without room for another one is
// no longer a candidate.
func (z *serviceZone) addTask(job *Job) {
	machine := z.candidates[0].machine
	if z.tasksOnFirst() == 0 {
		z.shares = append(z.shares, machineShare{machine: machine})
	}
	share := &z.shares[len(z.shares)-1]
	share.tasks++
	z.tasks++
	if share.tasks >= machine.Free.FitCount(job.Request) {
		z.candidates = z.candidates[1:]
	}
}
