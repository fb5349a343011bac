package scheduler

import (
	"math"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// spotSurcharge is the factor on the price of spot machines: some of the work on them is
// lost when they are interrupted.
const spotSurcharge = 1.1

// Amounts that decide between launch options of the same cost, small beside any price.
const (
	// sameKindDiscount favours a kind that the plan launches already: fewer requests.
	sameKindDiscount = 1e-3
	// perMachineSurcharge favours the kind of which there are fewer machines.
	perMachineSurcharge = 1e-6
)

// launchBatch is how many machines one request asks for: a job's launches stop at a full
// request, after which the cheapest option is chosen anew.
const launchBatch = 50

// launchOption is what may be launched for a job.
type launchOption struct {
	kind        InstanceKind
	machineType *api.MachineType
}

// capacity is what a machine of a type has.
func capacity(machineType *api.MachineType) Resources {
	return ResourcesOf(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// launchFor launches machines for up to so many tasks of a job, and returns how many tasks
// they hold.
func (d *demandPlanner) launchFor(job *Job, tasks int, option *launchOption) int {
	machineType := option.machineType
	tasksEach := capacity(machineType).Multiples(job.Request)
	count := min(
		(tasks+tasksEach-1)/tasksEach,
		d.limit(machinesToLaunch)-d.launchCount,
		launchBatch-d.launches[option.kind]%launchBatch,
	)
	d.addLaunches(option.kind, count)
	booted := d.Now + micros.FromSeconds(machineType.BootS)
	end := booted + job.estimate() + job.fetchTime(machineType)
	d.extendExpectedEnd(job, end)
	served := 0
	for range count {
		machine := option.machine(booted)
		for range min(tasks-served, tasksEach) {
			machine.allocate(job, end)
			served++
		}
		d.machines = append(d.machines, machine)
	}
	d.plan.BlockedReasons[job.ID] = reasonLaunching
	return served
}

// addLaunches adds to the machines of a kind that the plan launches.
func (d *demandPlanner) addLaunches(kind InstanceKind, count int) {
	if d.launches[kind] == 0 {
		d.launchOrder = append(d.launchOrder, kind)
	}
	d.launches[kind] += count
	d.launchCount += count
}

// machine is an empty machine of the option that is ready at an instant.
func (o *launchOption) machine(readyAt micros.Micros) *Machine {
	total := capacity(o.machineType)
	return &Machine{
		Type: o.machineType, Zone: o.kind.Zone, Spot: o.kind.Spot,
		Total: total, Free: total, ReadyAt: readyAt,
	}
}

// chooseLaunchZone chooses the one zone that all of a job's machines are to be in: the one
// where most of its tasks fit already and the rest can be launched; "" for none. Launching
// each machine where it was cheapest left gangs with half their machines in each of two
// zones, returned as idle and launched again without end.
func (d *demandPlanner) chooseLaunchZone(job *Job) string {
	room := d.roomByZone(job)
	best, mostRoom := "", -1
	for i := range d.MachineTypes {
		machineType := &d.MachineTypes[i]
		if !capacity(machineType).Fits(job.Request) {
			continue
		}
		for _, zone := range machineType.Zones {
			tasks := min(room[zone], job.blockedTasks)
			if tasks < job.blockedTasks && !d.isLaunchable(job, machineType.Name, zone) || job.zoneCapacity(zone) <= 0 {
				continue
			}
			if tasks > mostRoom || tasks == mostRoom && zone < best {
				best, mostRoom = zone, tasks
			}
		}
	}
	return best
}

// roomByZone is how many tasks of a job fit into what is free of the partition's
// machines, booting ones included.
func (d *demandPlanner) roomByZone(job *Job) map[string]int {
	room := map[string]int{}
	for _, machine := range d.Machines {
		if !machine.HeldByOtherPartition && job.permits(machine) {
			room[machine.Zone] += machine.Free.Multiples(job.Request)
		}
	}
	return room
}

// isLaunchable tells whether machines of a type can be launched in a zone for a job.
func (d *demandPlanner) isLaunchable(job *Job, machineType, zone string) bool {
	for _, spot := range []bool{true, false} {
		if Allowed(job.Spec, machineType, zone, spot) && !d.UnavailableKinds[InstanceKind{machineType, zone, spot}] {
			return true
		}
	}
	return false
}

// cheapestLaunch chooses what to launch for so many tasks of a job: the option of the
// least cost per task that the machine would hold. It returns nil where nothing can be
// launched, or only at a price above the job's ceiling.
func (d *demandPlanner) cheapestLaunch(job *Job, tasks int) *launchOption {
	var best *launchOption
	leastCost, lowestPrice, bestPrice := math.Inf(1), math.Inf(1), 0.0
	for i := range d.MachineTypes {
		machineType := &d.MachineTypes[i]
		tasksEach := capacity(machineType).Multiples(job.Request)
		if tasksEach == 0 {
			continue
		}
		for _, kind := range allowedKinds(job, machineType) {
			price := kindPrice(kind, machineType)
			pricePerTask := price / float64(tasksEach)
			lowestPrice = min(lowestPrice, pricePerTask)
			if d.UnavailableKinds[kind] {
				continue
			}
			cost := d.launchCost(job, launchOption{kind, machineType}, price, min(tasksEach, tasks))
			if cost < leastCost {
				best = &launchOption{kind, machineType}
				leastCost, bestPrice = cost, pricePerTask
			}
		}
	}
	if best != nil && bestPrice > d.priceCeiling(job)*lowestPrice {
		return nil
	}
	return best
}

// allowedKinds lists the kinds of a type that a job may use, spot first in each zone.
func allowedKinds(job *Job, machineType *api.MachineType) []InstanceKind {
	var kinds []InstanceKind
	for _, zone := range machineType.Zones {
		for _, spot := range []bool{true, false} {
			if Allowed(job.Spec, machineType.Name, zone, spot) && job.zoneCapacity(zone) > 0 {
				kinds = append(kinds, InstanceKind{machineType.Name, zone, spot})
			}
		}
	}
	return kinds
}

// kindPrice is the price of a machine of a kind, with the surcharge if it is spot.
func kindPrice(kind InstanceKind, machineType *api.MachineType) float64 {
	if kind.Spot {
		return machineType.SpotPrice * spotSurcharge
	}
	return machineType.Price
}

// launchCost is what a machine of an option costs per task if it holds so many; the time
// to boot and to fetch the image is paid for too.
func (d *demandPlanner) launchCost(job *Job, option launchOption, price float64, tasks int) float64 {
	fetch := job.fetchTime(option.machineType).Seconds()
	overhead := (option.machineType.BootS + fetch + job.Spec.EstimateS) / max(1, job.Spec.EstimateS)
	cost := price*overhead/float64(tasks) + float64(d.machinesOfKind[option.kind])*perMachineSurcharge
	if d.launches[option.kind] > 0 {
		cost -= sameKindDiscount
	}
	return cost
}

// priceCeiling is the highest price that is paid for a job, as a multiple of the price of
// the cheapest kind that it may use. It grows with the wait: expensive kinds are for jobs
// that have waited long.
func (d *demandPlanner) priceCeiling(job *Job) float64 {
	base := d.Operators.PriceCeiling
	if d.isIdleTimeWork(job) {
		base = math.Min(base, d.Operators.IdlePriceCeiling)
	}
	waited := (d.Now - job.EligibleAt).Seconds()
	return base * (1 + waited/d.Operators.CeilingGrowthS)
}

// isIdleTimeWork tells whether a job is of the lowest priority, without a deadline, and
// of a class for which the settings state no objective. Such a job runs where there is
// room, or on cheap machines launched for it.
func (d *demandPlanner) isIdleTimeWork(job *Job) bool {
	return job.Tier <= lowestTier && job.Deadline.WithinS == 0 && len(d.Objectives[job.Spec.Class]) == 0
}
