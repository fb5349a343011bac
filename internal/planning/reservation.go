package planning

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// ReservationPlanner reserves machines of all partitions for gangs that have waited long.
type ReservationPlanner struct {
	*coordination.Environment
	boots     *cluster.BootStatistics
	cluster   *cluster.State
	registry  *cluster.MachineRegistry
	tasks     *cluster.TaskLifecycle
	urgencies *UrgencyIndex
	view      *SchedulerView

	byMachine map[string]scheduler.AdvanceReservation
}

// NewReservationPlanner makes a reservation planner without reservations.
func NewReservationPlanner(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	state *cluster.State,
	registry *cluster.MachineRegistry,
	tasks *cluster.TaskLifecycle,
	urgencies *UrgencyIndex,
	view *SchedulerView,
) *ReservationPlanner {
	return &ReservationPlanner{
		Environment: env,
		boots:       boots,
		cluster:     state,
		registry:    registry,
		tasks:       tasks,
		urgencies:   urgencies,
		view:        view,
	}
}

// noPartition stands for a partition where there is none.
const noPartition = -1

const (
	// A gang of which nothing runs after 1/reserveAfterDivisor of begin_within_s gets a
	// reservation. Until 1/preferPreemptionDivisor of it is over, only one that cannot
	// have its machines sooner by preempting others does.
	reserveAfterDivisor     = 4
	preferPreemptionDivisor = 2
	// assumedBoots is after how many times the boot time of its type a machine that
	// another controller looks after is assumed to be up.
	assumedBoots = 1.5
	// minTransferInterval is the least time between two transfers of a machine for a
	// reservation: two controllers may see it differently, and would otherwise send it
	// back and forth.
	minTransferInterval = 4 * micros.Second
	// preemptionLead is how long before the gang's last machine is ready tasks on the
	// others are stopped.
	preemptionLead = 2 * scheduler.PreemptionTime
)

// beginWithin is the time within which a job should have begun.
func (r *ReservationPlanner) beginWithin() micros.Micros {
	return micros.FromSeconds(r.Settings.Operators.BeginWithinS)
}

// planReservations decides, for all partitions, which machines are reserved for the gangs
// that have waited long. Every controller decides the same by its replica.
func (r *ReservationPlanner) planReservations() {
	r.byMachine = map[string]scheduler.AdvanceReservation{}
	due := r.gangsToReserveFor()
	if due == nil {
		return
	}
	old := r.Now - micros.FromSeconds(r.Settings.Operators.BeginWithinS/preferPreemptionDivisor)
	r.byMachine = scheduler.ReserveInAdvance(r.Now, old, r.reservableMachines(), due)
	r.trackReservedSince(due)
}

// trackReservedSince notes since when the gangs that are due have machines reserved.
func (r *ReservationPlanner) trackReservedSince(due []*scheduler.Job) {
	reserved := map[string]bool{}
	for _, reservation := range r.byMachine {
		reserved[reservation.Job.ID] = true
		if job := r.cluster.Jobs[reservation.Job.ID]; job.ReservedSince == 0 {
			job.ReservedSince = r.Now
		}
	}
	for _, gang := range due {
		if !reserved[gang.ID] {
			r.cluster.Jobs[gang.ID].ReservedSince = 0
		}
	}
}

// gangsToReserveFor lists the gangs that machines are to be reserved for; nil: none.
func (r *ReservationPlanner) gangsToReserveFor() []*scheduler.Job {
	var due []*scheduler.Job
	for _, id := range slices.Sorted(maps.Keys(r.cluster.Jobs)) {
		job := r.cluster.Jobs[id]
		if !r.hasWaitedLong(job) {
			continue
		}
		r.expireReservation(job)
		if r.Now < job.NoReservationBefore {
			continue
		}
		shown := r.view.schedulerJob(job)
		shown.PendingTasks = job.Spec.Tasks
		due = append(due, shown)
	}
	return due
}

// expireReservation ends a reservation that its gang has not used for long: something that
// we do not know of keeps the gang from starting. It gets none for as long, else machines
// would be held for it without end.
func (r *ReservationPlanner) expireReservation(job *cluster.Job) {
	if job.ReservedSince > 0 && r.Now > job.ReservedSince+r.beginWithin() {
		job.ReservedSince = 0
		job.NoReservationBefore = r.Now + r.beginWithin()
	}
}

// hasWaitedLong tells whether a job is a gang that could run, and has waited for a quarter
// of the time within which it should have begun.
func (r *ReservationPlanner) hasWaitedLong(job *cluster.Job) bool {
	if job.Spec.Kind != api.Gang || !mayRun(job) || job.HasStarted() {
		return false
	}
	if r.tasks.Deprioritized(job) || r.Now < job.NotBefore || r.cluster.Partitions[job.Partition].Term == 0 {
		return false
	}
	return r.Now >= job.EligibleAt()+micros.FromSeconds(r.Settings.Operators.BeginWithinS/reserveAfterDivisor)
}

// mayRun tells whether a job is not over or cancelled, and waits for no other job.
func mayRun(job *cluster.Job) bool {
	return !job.Terminal && !job.MustNotRun() && job.PendingDependencies == 0
}

// reservableMachines shows the machines of all partitions that may be reserved.
func (r *ReservationPlanner) reservableMachines() []*scheduler.Machine {
	var list []*scheduler.Machine
	for _, machine := range r.cluster.MachinesByName {
		if !r.isReservable(machine) {
			continue
		}
		shown := r.view.schedulerMachine(machine)
		shown.Schedulable = r.isUp(machine)
		shown.ReadyAt = max(r.Now, machine.LaunchedAt+bootTime(machine))
		r.view.addAllocations(shown, machine, nil)
		list = append(list, shown)
	}
	return list
}

// isReservable tells whether a machine of any partition is of use to a gang. Whether one
// that another controller looks after is late is not known here.
func (r *ReservationPlanner) isReservable(machine *cluster.Machine) bool {
	if machine.MachineType == nil || !staysInService(machine) || machine.IgnoringSince > 0 {
		return false
	}
	return r.cluster.LedPartition(machine) == nil || !r.boots.BootOverdue(machine)
}

// isUp tells whether a machine of any partition has come up. Of another controller's this
// is not in the replica: then its tasks say so, or its age.
func (r *ReservationPlanner) isUp(machine *cluster.Machine) bool {
	if machine.FirstHeartbeatAt > 0 {
		return true
	}
	if r.cluster.LedPartition(machine) != nil {
		return false
	}
	assumedUpAt := machine.LaunchedAt + micros.FromSeconds(assumedBoots*machine.MachineType.BootS)
	return len(machine.TaskIDs) > 0 || r.Now > assumedUpAt
}

// bootTime is how long machines of a machine's type take to come up. The type must be
// known.
func bootTime(machine *cluster.Machine) micros.Micros {
	return micros.FromSeconds(machine.MachineType.BootS)
}

// reservedForPartition is the partition whose gang a machine is reserved for; noPartition:
// there is none, or the gang has begun or does not wait any more.
func (r *ReservationPlanner) reservedForPartition(machine *cluster.Machine) int {
	reservation, ok := r.byMachine[machine.Name]
	if !ok {
		return noPartition
	}
	job := r.cluster.Jobs[reservation.Job.ID]
	if job == nil || job.PlacedTasks+job.DoneTasks > 0 || job.Cancelled || job.Terminal {
		return noPartition
	}
	return job.Partition
}

// isReserved tells whether a machine is reserved for a gang.
func (r *ReservationPlanner) isReserved(machine *cluster.Machine) bool {
	return r.reservedForPartition(machine) != noPartition
}

// enforceReservation transfers a reserved machine of ours to the gang's partition once it
// is empty. Tasks of a lower tier are stopped when the gang's other machines are about
// ready.
func (r *ReservationPlanner) enforceReservation(machine *cluster.Machine) {
	if len(machine.TaskIDs) == 0 {
		r.transferReserved(machine)
		return
	}
	reservation := r.byMachine[machine.Name]
	if r.Now+preemptionLead < reservation.ReadyAt {
		return
	}
	for job, task := range tasksOn(r.cluster, machine) {
		if r.urgencies.effectiveTier(job) < reservation.Job.Spec.Priority.Tier() {
			r.tasks.RequestTaskStop(job, task, "the machine is reserved for "+reservation.Job.ID)
		}
	}
}

// transferReserved transfers an empty machine to the partition that it is reserved for.
func (r *ReservationPlanner) transferReserved(machine *cluster.Machine) {
	to := r.reservedForPartition(machine)
	settled := r.Now > machine.AwaitingHeartbeatSince+minTransferInterval
	if to != machine.Record.Partition && machine.TokenConfirmed && settled {
		r.registry.TransferMachine(machine, to)
	}
}
