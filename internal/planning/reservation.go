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

// NewReservationPlanner returns a planner without reservations.
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

// noPartition stands for the absence of a partition.
const noPartition = -1

const (
	// A gang that has not started after 1/reserveAfterDivisor of begin_within_s gets a
	// reservation. Until 1/preferPreemptionDivisor of begin_within_s has passed, it gets
	// one only if it cannot have its machines sooner by preemption.
	reserveAfterDivisor     = 4
	preferPreemptionDivisor = 2
	// A machine that another controller manages is assumed to be up after
	// assumedUpBootFactor times the boot time of its type.
	assumedUpBootFactor = 1.5
	// minTransferInterval is the minimum time between two transfers of a machine for a
	// reservation. Two controllers may see the machine differently, and would otherwise
	// send it back and forth.
	minTransferInterval = 4 * micros.Second
	// Tasks on machines reserved for a gang are stopped preemptionLeadTime before the
	// last of these machines is ready.
	preemptionLeadTime = 2 * scheduler.PreemptionTime
)

// beginWithin returns how long an eligible job should wait at most until it starts.
func (r *ReservationPlanner) beginWithin() micros.Micros {
	return micros.FromSeconds(r.Settings.Operators.BeginWithinS)
}

// planReservations decides for all partitions which machines are reserved for gangs that
// have waited long. Every controller decides the same from its own replica.
func (r *ReservationPlanner) planReservations() {
	r.byMachine = map[string]scheduler.AdvanceReservation{}
	gangs := r.gangsToReserveFor()
	if gangs == nil {
		return
	}
	recentSince := r.Now - micros.FromSeconds(r.Settings.Operators.BeginWithinS/preferPreemptionDivisor)
	r.byMachine = scheduler.ReserveInAdvance(r.Now, recentSince, r.reservableMachines(), gangs)
	r.updateReservedSince(gangs)
}

// updateReservedSince records since when each of the gangs has had machines reserved.
func (r *ReservationPlanner) updateReservedSince(gangs []*scheduler.Job) {
	reserved := map[string]bool{}
	for _, reservation := range r.byMachine {
		reserved[reservation.Job.ID] = true
		if job := r.cluster.Jobs[reservation.Job.ID]; job.ReservedSince == 0 {
			job.ReservedSince = r.Now
		}
	}
	for _, gang := range gangs {
		if !reserved[gang.ID] {
			r.cluster.Jobs[gang.ID].ReservedSince = 0
		}
	}
}

// gangsToReserveFor returns the gangs that need a reservation, or nil if there are none.
func (r *ReservationPlanner) gangsToReserveFor() []*scheduler.Job {
	var gangs []*scheduler.Job
	for _, id := range slices.Sorted(maps.Keys(r.cluster.Jobs)) {
		job := r.cluster.Jobs[id]
		if !r.needsReservation(job) {
			continue
		}
		r.expireUnusedReservation(job)
		if r.Now < job.NoReservationBefore {
			continue
		}
		schedulerJob := r.view.schedulerJob(job)
		schedulerJob.PendingTasks = job.Spec.Tasks
		gangs = append(gangs, schedulerJob)
	}
	return gangs
}

// expireUnusedReservation ends a reservation that its gang has not used for as long as
// beginWithin: something that this controller does not know of keeps the gang from starting.
// The gang gets no new reservation for the same time, since machines would otherwise be held
// for it indefinitely.
func (r *ReservationPlanner) expireUnusedReservation(job *cluster.Job) {
	if job.ReservedSince > 0 && r.Now > job.ReservedSince+r.beginWithin() {
		job.ReservedSince = 0
		job.NoReservationBefore = r.Now + r.beginWithin()
	}
}

// needsReservation reports whether a job is a gang that could run, in a partition that has a
// leader, and has waited for 1/reserveAfterDivisor of begin_within_s.
func (r *ReservationPlanner) needsReservation(job *cluster.Job) bool {
	if job.Spec.Kind != api.KindGang || !mayRun(job) || job.HasStarted() {
		return false
	}
	if r.tasks.IsDeprioritized(job) || r.Now < job.NotBefore || r.cluster.Partitions[job.Partition].Term == 0 {
		return false
	}
	return r.Now >= job.EligibleAt()+micros.FromSeconds(r.Settings.Operators.BeginWithinS/reserveAfterDivisor)
}

// mayRun reports whether a job is neither finished nor cancelled, and waits for no other
// job.
func mayRun(job *cluster.Job) bool {
	return !job.Terminal && !job.MustNotRun() && job.PendingDependencies == 0
}

// reservableMachines returns the machines of all partitions that may be reserved,
// converted for the scheduler.
func (r *ReservationPlanner) reservableMachines() []*scheduler.Machine {
	var list []*scheduler.Machine
	for _, machine := range r.cluster.MachinesByName {
		if !r.isReservable(machine) {
			continue
		}
		schedulerMachine := r.view.schedulerMachine(machine)
		schedulerMachine.Schedulable = r.isUp(machine)
		schedulerMachine.ReadyAt = max(r.Now, machine.LaunchedAt+bootTime(machine))
		r.view.addAllocations(schedulerMachine, machine, nil)
		list = append(list, schedulerMachine)
	}
	return list
}

// isReservable reports whether a machine of any partition is usable for a gang. Whether
// the boot of a machine that another controller manages is overdue is not known here.
func (r *ReservationPlanner) isReservable(machine *cluster.Machine) bool {
	if machine.MachineType == nil || !staysInService(machine) || machine.IgnoringCommandsSince > 0 {
		return false
	}
	return r.cluster.LedPartition(machine) == nil || !r.boots.IsOverdue(machine)
}

// isUp reports whether a machine of any partition has come up. For a machine that another
// controller manages, this is not in the replica: it counts as up if it has tasks or is
// old enough.
func (r *ReservationPlanner) isUp(machine *cluster.Machine) bool {
	if machine.FirstHeartbeatAt > 0 {
		return true
	}
	if r.cluster.LedPartition(machine) != nil {
		return false
	}
	assumedUpAt := machine.LaunchedAt + micros.FromSeconds(assumedUpBootFactor*machine.MachineType.BootS)
	return len(machine.TaskIDs) > 0 || r.Now > assumedUpAt
}

// bootTime returns how long machines of this machine's type take to come up. The type
// must be known.
func bootTime(machine *cluster.Machine) micros.Micros {
	return micros.FromSeconds(machine.MachineType.BootS)
}

// reservedForPartition returns the partition of the gang that a machine is reserved for.
// It returns noPartition if the machine is not reserved, or if the gang has started, is
// cancelled or has finished.
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

// isReserved reports whether a machine is reserved for a gang that still waits.
func (r *ReservationPlanner) isReserved(machine *cluster.Machine) bool {
	return r.reservedForPartition(machine) != noPartition
}

// enforceReservation transfers a reserved machine of this controller to the gang's
// partition once it is empty. Tasks of a lower tier are stopped when the gang's other
// machines are almost ready.
func (r *ReservationPlanner) enforceReservation(machine *cluster.Machine) {
	if len(machine.TaskIDs) == 0 {
		r.transferReservedMachine(machine)
		return
	}
	reservation := r.byMachine[machine.Name]
	if r.Now+preemptionLeadTime < reservation.ReadyAt {
		return
	}
	for job, task := range tasksOn(r.cluster, machine) {
		if r.urgencies.effectiveTier(job) < reservation.Job.Spec.Priority.Tier() {
			r.tasks.RequestStop(job, task, "the machine is reserved for "+reservation.Job.ID)
		}
	}
}

// transferReservedMachine transfers an empty machine to the partition that it is reserved
// for, at most once per minTransferInterval.
func (r *ReservationPlanner) transferReservedMachine(machine *cluster.Machine) {
	target := r.reservedForPartition(machine)
	intervalPassed := r.Now > machine.AwaitingHeartbeatSince+minTransferInterval
	if target != machine.Record.Partition && machine.TokenConfirmed && intervalPassed {
		r.registry.Transfer(machine, target)
	}
}
