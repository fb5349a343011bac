package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// horizonBootTimes is how far ahead, in multiples of the longest boot time, room is assigned
// to a job for which nothing can be launched. The end of tasks that find no room by then is
// estimated from the length of the queue.
const horizonBootTimes = 2

// deadlineEstimateFactor is the factor on the estimate of a job with a deadline, so that a task
// that exceeds its estimate by a fifth still meets the deadline.
const deadlineEstimateFactor = 1.2

// demandPlanner determines which machines to borrow or launch for blocked jobs. It assigns
// them the room that they can expect, so that no two jobs wait for the same room.
type demandPlanner struct {
	*planState
	machines     []*Machine    // of the snapshot, and those to launch
	ownResources Resources     // of the machines not held by other partitions
	horizon      micros.Micros // room is assigned up to this time if nothing can be launched
	queueTime    micros.Micros // how long the tasks without room occupy the partition
	borrowed     map[*Machine]bool

	machinesOfKind map[InstanceKind]int // number of machines in the snapshot
	launches       map[InstanceKind]int // number of machines to launch
	launchOrder    []InstanceKind       // kinds to launch, in the order they were chosen
	launchCount    int                  // total number of machines to launch
}

func newDemandPlanner(state *planState) *demandPlanner {
	planner := &demandPlanner{
		planState:      state,
		machines:       slices.Clone(state.Machines),
		borrowed:       map[*Machine]bool{},
		machinesOfKind: map[InstanceKind]int{},
		launches:       map[InstanceKind]int{},
	}
	for i := range state.MachineTypes {
		boot := micros.FromSeconds(horizonBootTimes * state.MachineTypes[i].BootS)
		planner.horizon = max(planner.horizon, state.Now+boot)
	}
	for _, machine := range state.Machines {
		planner.machinesOfKind[machine.kind()]++
		if !machine.HeldByOtherPartition {
			planner.ownResources = planner.ownResources.AddScaled(machine.Total, 1)
		}
	}
	return planner
}

// provisionFor borrows or launches machines for the blocked tasks that will not have room
// soon. It assigns room to the jobs in rank order. A job first gets room that is free or on
// a booting machine, then room that becomes free before a launched machine would be up, or
// early enough for the job's deadline.
func (d *demandPlanner) provisionFor(blocked []*Job) {
	for _, job := range blocked {
		if !job.Deprioritized {
			d.provisionForJob(job)
		}
	}
	for _, kind := range d.launchOrder {
		d.plan.ScaleOuts = append(d.plan.ScaleOuts, ScaleOut{kind, d.launches[kind]})
	}
}

// provisionForJob assigns room to the blocked tasks of the job, or launches machines for
// them.
func (d *demandPlanner) provisionForJob(job *Job) {
	if job.Spec.OneZone && job.blockedTasks > 1 {
		job.launchZone = d.chooseLaunchZone(job)
	}
	tasks := job.blockedTasks
	if job.Spec.Kind == api.KindArray { // a gang or service needs room for all its tasks
		tasks = min(tasks, d.limit(maxTasksPerArray))
	}
	option := d.cheapestLaunch(job, tasks)
	tasks -= d.assignRoom(job, tasks, roomNow, option)
	tasks -= d.assignRoom(job, tasks, roomSoon, option)
	for tasks > 0 && option != nil && d.launchCount < d.limit(maxLaunchedMachines) {
		tasks -= d.launchFor(job, tasks, option)
		option = d.cheapestLaunch(job, tasks)
	}
	if tasks > 0 {
		d.estimateQueuedEnd(job, tasks)
	}
}

// roomPass selects the room that a pass over the machines assigns.
type roomPass int

const (
	roomNow  roomPass = iota // free now, or on a booting machine
	roomSoon                 // free when other tasks have ended
)

// assignRoom assigns room on the machines to at most the given number of the job's tasks
// and returns how many got room. option is what would be launched for the job, or nil if
// nothing can be launched.
func (d *demandPlanner) assignRoom(job *Job, tasks int, pass roomPass, option *launchOption) int {
	assigned := 0
	for _, machine := range d.machines {
		if assigned == tasks {
			break
		}
		latestStart := d.latestStart(job, machine, option)
		assigned += d.assignMachineRoom(job, machine, tasks-assigned, pass, latestStart)
	}
	return assigned
}

// latestStart returns the time until which the job may wait for room on the machine. It is
// when a launched machine would be up, or later if the job's deadline permits.
func (d *demandPlanner) latestStart(job *Job, machine *Machine, option *launchOption) micros.Micros {
	if option == nil {
		return d.horizon
	}
	bootedAt := d.Now + micros.FromSeconds(option.machineType.BootS)
	return max(bootedAt, latestStartForDeadline(job, machine.Type))
}

// latestStartForDeadline returns the latest time to start a task on a machine of the type so
// that it meets the job's deadline, or 0 if the job has no deadline.
func latestStartForDeadline(job *Job, machineType *api.MachineType) micros.Micros {
	if job.Deadline.WithinS <= 0 {
		return 0
	}
	runtime := micros.FromSeconds(deadlineEstimateFactor * job.Spec.EstimateS)
	return job.Deadline.LatestEnd() - runtime - job.imageFetchTime(machineType)
}

// assignMachineRoom assigns room on one machine to at most the given number of the job's
// tasks, as long as they can start by latestStart. It returns how many got room.
func (d *demandPlanner) assignMachineRoom(job *Job, machine *Machine, tasks int, pass roomPass, latestStart micros.Micros) int {
	if pass == roomSoon && machine.lastRejectedStart > latestStart || !d.mayAssign(job, machine) {
		return 0
	}
	if job.tasksAllowedIn(machine.Zone) <= 0 {
		return 0
	}
	duration := job.estimatedRuntime() + job.imageFetchTime(machine.Type)
	forecast := newRoomForecast(machine, d.Now)
	assigned := 0
	for assigned < tasks && (pass == roomSoon || machine.Free.Fits(job.Request)) {
		start := forecast.advanceTo(job.Request)
		if machine.LentOut && start < never {
			start = max(start, machine.ReadyAt) // it must be back first
		}
		if start > latestStart || start == never {
			if pass == roomSoon {
				machine.lastRejectedStart = start
			}
			break
		}
		d.borrowIfNeeded(machine)
		count := min(tasks-assigned, tasksFittingAt(forecast, job, pass, duration))
		forecast.allocate(job, count, start+duration)
		d.extendExpectedEnd(job, start+duration)
		assigned += count
	}
	return assigned
}

// tasksFittingAt returns how many of the job's tasks, which take the given time, can start at
// the time of the forecast. Tasks that take no time can start one after the other then, unless
// they are of a service, which does not end.
func tasksFittingAt(forecast roomForecast, job *Job, pass roomPass, duration micros.Micros) int {
	if pass == roomSoon && duration == 0 && job.Spec.Kind != api.KindService {
		return job.Spec.Tasks
	}
	return forecast.free.FitCount(job.Request)
}

// borrowIfNeeded adds the machine to MachinesToBorrow, once, if another partition has it.
func (d *demandPlanner) borrowIfNeeded(machine *Machine) {
	if (machine.Borrowable || machine.LentOut) && !d.borrowed[machine] {
		d.borrowed[machine] = true
		d.plan.MachinesToBorrow = append(d.plan.MachinesToBorrow, machine)
	}
}

// mayAssign reports whether room on the machine, now or later, may be assigned to the job.
func (d *demandPlanner) mayAssign(job *Job, machine *Machine) bool {
	// A lent machine is reclaimed only for a job within its team's guarantee, or from a
	// large borrower. Otherwise it returns when its tasks end. When all partitions are
	// overloaded, unrestricted reclaiming only moves machines, and the work on them, back
	// and forth between them.
	if machine.LentOut && !machine.BorrowerIsLarge && !d.withinGuarantee(job) {
		return false
	}
	if machine.Reservation != nil {
		return machine.Reservation.Job == job
	}
	if machine.HeldByOtherPartition && !machine.LentOut && machine.ClaimedBy != job.ID || !job.couldRunOn(machine) {
		return false
	}
	// A gang must not wait for room that its own tasks occupy.
	return job.Spec.Kind != api.KindGang || machine.Free.Fits(job.Request) || !runsTaskOf(machine, job)
}

// runsTaskOf reports whether a task of the job is already on the machine. Tasks that this
// plan adds do not count.
func runsTaskOf(machine *Machine, job *Job) bool {
	return slices.ContainsFunc(machine.Allocations, func(allocation Allocation) bool {
		return allocation.Job == job && allocation.TaskIndex >= 0
	})
}

// estimateQueuedEnd estimates the end of the given number of the job's tasks that got no
// room. They run after all tasks that were queued before them.
func (d *demandPlanner) estimateQueuedEnd(job *Job, tasks int) {
	work := micros.Micros(tasks) * job.estimatedRuntime()
	d.queueTime += max(
		drainTime(work, job.Request.MilliGPU, d.ownResources.MilliGPU),
		drainTime(work, job.Request.MilliCPU, d.ownResources.MilliCPU),
	)
	d.extendExpectedEnd(job, d.Now+d.queueTime+job.estimatedRuntime())
	d.plan.BlockedReasons[job.ID] = ReasonNothingToLaunch
}

// drainTime returns how long tasks take to run if they can use the whole of a resource. work
// is the sum of their runtimes, request is what each task requests of the resource, and total
// is its amount.
func drainTime(work micros.Micros, request, total int64) micros.Micros {
	return work * micros.Micros(request) / micros.Micros(max(1, total))
}
