package scheduler

import (
	"math"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// spotPriceFactor is applied to the price of spot machines, because some of the work on them
// is lost when they are interrupted.
const spotPriceFactor = 1.1

// Amounts that decide between launch options of equal cost. They are small compared with any
// price.
const (
	// sameKindDiscount prefers a kind that the plan already launches, to send fewer requests.
	sameKindDiscount = 1e-3
	// perMachineCost prefers the kind with fewer machines.
	perMachineCost = 1e-6
)

// maxMachinesPerRequest is the most machines that one request to the cloud asks for. When a
// request is full, the cheapest option is chosen again.
const maxMachinesPerRequest = 50

// launchOption is a kind of machine that may be launched for a job, with its type.
type launchOption struct {
	kind        InstanceKind
	machineType *api.MachineType
}

// launchFor adds launches of the option for at most the given number of the job's tasks and
// returns how many tasks the new machines hold.
func (d *demandPlanner) launchFor(job *Job, tasks int, option *launchOption) int {
	machineType := option.machineType
	tasksPerMachine := MachineCapacity(machineType).FitCount(job.Request)
	count := min(
		(tasks+tasksPerMachine-1)/tasksPerMachine,
		d.limit(maxLaunchedMachines)-d.launchCount,
		maxMachinesPerRequest-d.launches[option.kind]%maxMachinesPerRequest,
	)
	d.addLaunches(option.kind, count)
	bootedAt := d.Now + micros.FromSeconds(machineType.BootS)
	end := bootedAt + job.estimatedRuntime() + job.imageFetchTime(machineType)
	d.extendExpectedEnd(job, end)
	assigned := 0
	for range count {
		machine := option.newMachine(bootedAt)
		onMachine := min(tasks-assigned, tasksPerMachine)
		machine.allocate(job, onMachine, end)
		assigned += onMachine
		d.machines = append(d.machines, machine)
	}
	d.plan.BlockedReasons[job.ID] = reasonLaunching
	return assigned
}

// addLaunches adds count machines of the kind to the launches of the plan.
func (d *demandPlanner) addLaunches(kind InstanceKind, count int) {
	if d.launches[kind] == 0 {
		d.launchOrder = append(d.launchOrder, kind)
	}
	d.launches[kind] += count
	d.launchCount += count
}

// newMachine returns an empty machine of the option that accepts tasks from readyAt on.
func (o *launchOption) newMachine(readyAt micros.Micros) *Machine {
	total := MachineCapacity(o.machineType)
	return &Machine{
		Type: o.machineType, Zone: o.kind.Zone, Spot: o.kind.Spot,
		Total: total, Free: total, ReadyAt: readyAt,
	}
}

// chooseLaunchZone returns the zone for all machines of a job that must stay in one zone, or
// "" if there is none. It is the zone where most of the job's tasks already fit and machines
// for the rest can be launched. If each machine is launched where it is cheapest, a gang can
// get half of its machines in each of two zones. They are then scaled in as idle and
// launched again, over and over.
func (d *demandPlanner) chooseLaunchZone(job *Job) string {
	fittingTasks := d.fittingTasksByZone(job)
	best, mostTasks := "", -1
	for i := range d.MachineTypes {
		machineType := &d.MachineTypes[i]
		if !MachineCapacity(machineType).Fits(job.Request) {
			continue
		}
		for _, zone := range machineType.Zones {
			tasks := min(fittingTasks[zone], job.blockedTasks)
			if tasks < job.blockedTasks && !d.isLaunchable(job, machineType.Name, zone) || job.tasksAllowedIn(zone) <= 0 {
				continue
			}
			if tasks > mostTasks || tasks == mostTasks && zone < best {
				best, mostTasks = zone, tasks
			}
		}
	}
	return best
}

// fittingTasksByZone returns how many tasks of the job fit into the free resources of the
// machines in each zone, booting ones included. Machines held by other partitions do not
// count.
func (d *demandPlanner) fittingTasksByZone(job *Job) map[string]int {
	fittingTasks := map[string]int{}
	for _, machine := range d.Machines {
		if !machine.HeldByOtherPartition && job.allowsMachine(machine) {
			fittingTasks[machine.Zone] += machine.Free.FitCount(job.Request)
		}
	}
	return fittingTasks
}

// isLaunchable reports whether machines of the type can be launched in the zone for the job.
func (d *demandPlanner) isLaunchable(job *Job, machineType, zone string) bool {
	for _, spot := range []bool{true, false} {
		if ConstraintsAllow(job.Spec, machineType, zone, spot) && !d.UnavailableKinds[InstanceKind{machineType, zone, spot}] {
			return true
		}
	}
	return false
}

// cheapestLaunch returns the launch option with the lowest cost per task for the given
// number of the job's tasks. It returns nil if nothing can be launched, or only at a price
// above the job's ceiling.
func (d *demandPlanner) cheapestLaunch(job *Job, tasks int) *launchOption {
	var best *launchOption
	leastCost, lowestPrice, bestPrice := math.Inf(1), math.Inf(1), 0.0
	for i := range d.MachineTypes {
		machineType := &d.MachineTypes[i]
		tasksPerMachine := MachineCapacity(machineType).FitCount(job.Request)
		if tasksPerMachine == 0 {
			continue
		}
		for _, kind := range allowedKinds(job, machineType) {
			price := effectivePrice(kind, machineType)
			pricePerTask := price / float64(tasksPerMachine)
			lowestPrice = min(lowestPrice, pricePerTask)
			if d.UnavailableKinds[kind] {
				continue
			}
			cost := d.launchCostPerTask(job, launchOption{kind, machineType}, price, min(tasksPerMachine, tasks))
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

// allowedKinds returns the kinds of a machine type that the job may use, spot first in each
// zone.
func allowedKinds(job *Job, machineType *api.MachineType) []InstanceKind {
	var kinds []InstanceKind
	for _, zone := range machineType.Zones {
		for _, spot := range []bool{true, false} {
			if ConstraintsAllow(job.Spec, machineType.Name, zone, spot) && job.tasksAllowedIn(zone) > 0 {
				kinds = append(kinds, InstanceKind{machineType.Name, zone, spot})
			}
		}
	}
	return kinds
}

// effectivePrice returns the price of a machine of the kind, with spotPriceFactor if it is a
// spot machine.
func effectivePrice(kind InstanceKind, machineType *api.MachineType) float64 {
	if kind.Spot {
		return machineType.SpotPrice * spotPriceFactor
	}
	return machineType.Price
}

// launchCostPerTask returns the cost per task of a machine of the option that holds the given
// number of tasks. It includes the time to boot and to fetch the image, which is paid for
// too.
func (d *demandPlanner) launchCostPerTask(job *Job, option launchOption, price float64, tasks int) float64 {
	fetchS := job.imageFetchTime(option.machineType).Seconds()
	overhead := (option.machineType.BootS + fetchS + job.Spec.EstimateS) / max(1, job.Spec.EstimateS)
	cost := price*overhead/float64(tasks) + float64(d.machinesOfKind[option.kind])*perMachineCost
	if d.launches[option.kind] > 0 {
		cost -= sameKindDiscount
	}
	return cost
}

// priceCeiling returns the highest price to pay for the job, as a multiple of the price of
// the cheapest kind that it may use. It grows with the wait, so that expensive kinds are
// launched only for jobs that have waited long.
func (d *demandPlanner) priceCeiling(job *Job) float64 {
	base := d.Operators.PriceCeiling
	if d.isIdleTimeWork(job) {
		base = math.Min(base, d.Operators.IdlePriceCeiling)
	}
	waitedS := (d.Now - job.EligibleAt).Seconds()
	return base * (1 + waitedS/d.Operators.CeilingGrowthS)
}

// isIdleTimeWork reports whether the job has the lowest tier, no deadline, and a class
// without objectives in the settings. Such a job runs where there is room, or on cheap
// machines launched for it.
func (d *demandPlanner) isIdleTimeWork(job *Job) bool {
	return job.Tier <= lowestTier && job.Deadline.WithinS == 0 && len(d.Objectives[job.Spec.Class]) == 0
}
