package scheduler

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// horizonBoots is how many times the longest boot time room is allotted ahead for a job
// that nothing can be launched for. The expected end of tasks that find no room by then is
// estimated from the length of the queue.
const horizonBoots = 2

// latestStartMargin is how many times its estimate a job that has a deadline is given to
// run, so that one that overruns the estimate by a fifth is still in time.
const latestStartMargin = 1.2

// demandPlanner works out which machines to borrow or launch for blocked jobs.
type demandPlanner struct {
	*planState
	machines     []*Machine    // of the snapshot, and those to be launched
	ownResources Resources     // of the partition's machines
	horizon      micros.Micros // until when room is allotted where nothing can be launched
	queueTime    micros.Micros // how long the tasks without room keep the partition busy
	borrowed     map[*Machine]bool

	machinesOfKind map[InstanceKind]int // machines of the snapshot
	launches       map[InstanceKind]int // machines to launch
	launchOrder    []InstanceKind       // of the kinds to launch
	launchCount    int                  // machines to launch in all
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
		boot := micros.FromSeconds(horizonBoots * state.MachineTypes[i].BootS)
		planner.horizon = max(planner.horizon, state.Now+boot)
	}
	for _, machine := range state.Machines {
		planner.machinesOfKind[machine.kind()]++
		if !machine.HeldByOtherPartition {
			planner.ownResources = planner.ownResources.Add(machine.Total, 1)
		}
	}
	return planner
}

// serveJobs borrows or launches machines for the tasks that neither run nor fit soon. Room
// is allotted in rank order: first what is free or on a booting machine, then what frees
// before a launched machine would be up, or early enough for the job's deadline.
func (d *demandPlanner) serveJobs(blocked []*Job) {
	for _, job := range blocked {
		if !job.Deprioritized {
			d.serveJob(job)
		}
	}
	for _, kind := range d.launchOrder {
		d.plan.ScaleOuts = append(d.plan.ScaleOuts, ScaleOut{kind, d.launches[kind]})
	}
}

// serveJob finds room for the blocked tasks of a job, now or soon, or launches machines
// for them.
func (d *demandPlanner) serveJob(job *Job) {
	if job.Spec.OneZone && job.blockedTasks > 1 {
		job.launchZone = d.chooseLaunchZone(job)
	}
	tasks := job.blockedTasks
	if job.Spec.Kind == api.Array { // a gang or service needs room for all
		tasks = min(tasks, d.limit(tasksToFindRoomFor))
	}
	option := d.cheapestLaunch(job, tasks)
	tasks -= d.allotRoom(job, tasks, roomNow, option)
	tasks -= d.allotRoom(job, tasks, roomSoon, option)
	for tasks > 0 && option != nil && d.launchCount < d.limit(machinesToLaunch) {
		tasks -= d.launchFor(job, tasks, option)
		option = d.cheapestLaunch(job, tasks)
	}
	if tasks > 0 {
		d.enqueue(job, tasks)
	}
}

// roomPass is which room is allotted.
type roomPass int

const (
	roomNow  roomPass = iota // free, or on a booting machine
	roomSoon                 // where a task must end first
)

// allotRoom allots room on the machines to up to so many tasks of a job, and returns how
// many tasks got some. option is what would be launched for the job; nil: nothing can be.
func (d *demandPlanner) allotRoom(job *Job, tasks int, pass roomPass, option *launchOption) int {
	allotted := 0
	for _, machine := range d.machines {
		if allotted == tasks {
			break
		}
		latest := d.latestStart(job, machine, option)
		allotted += d.allotMachine(job, machine, tasks-allotted, pass, latest)
	}
	return allotted
}

// latestStart is until when a job may wait for room on a machine: until a launched machine
// would be up, or longer where its deadline permits.
func (d *demandPlanner) latestStart(job *Job, machine *Machine, option *launchOption) micros.Micros {
	if option == nil {
		return d.horizon
	}
	booted := d.Now + micros.FromSeconds(option.machineType.BootS)
	return max(booted, latestStartInTime(job, machine.Type))
}

// latestStartInTime is when a task must start on a machine of a type at the latest to meet
// the job's deadline; 0 where it has none.
func latestStartInTime(job *Job, machineType *api.MachineType) micros.Micros {
	if job.Deadline.WithinS <= 0 {
		return 0
	}
	run := micros.FromSeconds(latestStartMargin * job.Spec.EstimateS)
	return job.Deadline.Latest() - run - job.fetchTime(machineType)
}

// allotMachine allots room on one machine to up to so many tasks of a job, as long as they
// start by latest, and returns how many tasks got some.
func (d *demandPlanner) allotMachine(job *Job, machine *Machine, tasks int, pass roomPass, latest micros.Micros) int {
	if pass == roomSoon && machine.freeSoonAt > latest || !d.mayCountOn(job, machine) {
		return 0
	}
	allotted := 0
	for allotted < tasks && job.zoneCapacity(machine.Zone) > 0 {
		if pass == roomNow && !machine.Free.Fits(job.Request) {
			break
		}
		start := machine.availableAt(job.Request, d.Now)
		if start > latest || start == never {
			if pass == roomSoon {
				machine.freeSoonAt = start
			}
			break
		}
		d.borrowIfNeeded(machine)
		end := start + job.estimate() + job.fetchTime(machine.Type)
		machine.allocate(job, end)
		d.extendExpectedEnd(job, end)
		allotted++
	}
	return allotted
}

// borrowIfNeeded asks, once, for a machine that another partition has.
func (d *demandPlanner) borrowIfNeeded(machine *Machine) {
	if (machine.Borrowable || machine.LentOut) && !d.borrowed[machine] {
		d.borrowed[machine] = true
		d.plan.MachinesToBorrow = append(d.plan.MachinesToBorrow, machine)
	}
}

// mayCountOn tells whether a machine may be counted on for a job's later tasks.
func (d *demandPlanner) mayCountOn(job *Job, machine *Machine) bool {
	// A machine that is lent out is reclaimed only into a guarantee or from a borrower
	// over its share; else it comes back as its tasks end. Where all partitions were
	// overloaded, reclaiming only moved machines, and their work, in circles.
	if machine.LentOut && !machine.BorrowerOverShare && !d.withinGuarantee(job) {
		return false
	}
	if machine.Reservation != nil {
		return machine.Reservation.Job == job
	}
	if machine.HeldByOtherPartition && !machine.LentOut && machine.ClaimedBy != job.ID || !job.couldRunOn(machine) {
		return false
	}
	// A gang does not wait for room that its own tasks have.
	return job.Spec.Kind != api.Gang || machine.Free.Fits(job.Request) || !runsTaskOf(machine, job)
}

// runsTaskOf tells whether a task of a job is on a machine already.
func runsTaskOf(machine *Machine, job *Job) bool {
	return slices.ContainsFunc(machine.Allocations, func(allocation Allocation) bool {
		return allocation.Job == job && allocation.TaskIndex >= 0
	})
}

// enqueue estimates the end of tasks of a job that got no room: they run after all that
// was queued before them.
func (d *demandPlanner) enqueue(job *Job, tasks int) {
	work := micros.Micros(tasks) * job.estimate()
	d.queueTime += max(
		drainTime(work, job.Request.GPU, d.ownResources.GPU),
		drainTime(work, job.Request.CPU, d.ownResources.CPU),
	)
	d.extendExpectedEnd(job, d.Now+d.queueTime+job.estimate())
	d.plan.BlockedReasons[job.ID] = ReasonNothingToLaunch
}

// drainTime is how long work that takes request of a resource keeps total of it busy.
func drainTime(work micros.Micros, request, total int64) micros.Micros {
	return work * micros.Micros(request) / micros.Micros(max(1, total))
}
