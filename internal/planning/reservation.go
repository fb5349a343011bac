package planning

import (
	"maps"
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// ReservationPlanner keeps machines of all partitions for gangs that have waited long.
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

// NewReservationPlanner makes a reservation planner.
func NewReservationPlanner(env *coordination.Environment, boots *cluster.BootStatistics, cluster *cluster.State, registry *cluster.MachineRegistry, tasks *cluster.TaskLifecycle,
	urgencies *UrgencyIndex, view *SchedulerView) *ReservationPlanner {
	return &ReservationPlanner{Environment: env, boots: boots, cluster: cluster, registry: registry, tasks: tasks, urgencies: urgencies, view: view}
}

// planReservations works out, for all partitions, which machines are kept for gangs of which
// nothing runs though a quarter of begin_within_s is over. Until half of it is,
// only for those that can't have their machines sooner by stopping others.
func (r *ReservationPlanner) planReservations() {
	r.byMachine = map[string]scheduler.AdvanceReservation{}
	due := r.gangsToReserveFor()
	if due == nil {
		return
	}
	r.byMachine = scheduler.ReserveInAdvance(r.Now, r.Now-micros.FromSeconds(r.Settings.Operators.BeginWithinS/2), r.reservableMachines(), due)
	kept := map[string]bool{}
	for _, pr := range r.byMachine {
		kept[pr.Job.ID] = true
		if j := r.cluster.Jobs[pr.Job.ID]; j.ReservedSince == 0 {
			j.ReservedSince = r.Now
		}
	}
	for _, sj := range due {
		if !kept[sj.ID] {
			r.cluster.Jobs[sj.ID].ReservedSince = 0
		}
	}
}

// gangsToReserveFor lists the gangs that machines are to be promised to.
func (r *ReservationPlanner) gangsToReserveFor() []*scheduler.Job {
	var due []*scheduler.Job
	for _, id := range slices.Sorted(maps.Keys(r.cluster.Jobs)) {
		j := r.cluster.Jobs[id]
		if !r.hasWaitedLong(j) {
			continue
		}
		if j.ReservedSince > 0 && r.Now > j.ReservedSince+micros.FromSeconds(r.Settings.Operators.BeginWithinS) {
			// Something that we do not know keeps it: others' turn for as long,
			// else machines would be held for it without end.
			j.ReservedSince, j.NoReservationBefore = 0, r.Now+micros.FromSeconds(r.Settings.Operators.BeginWithinS)
		}
		if r.Now < j.NoReservationBefore {
			continue
		}
		sj := r.view.schedulerJob(j)
		sj.PendingTasks = j.Spec.Tasks
		due = append(due, sj)
	}
	return due
}

// hasWaitedLong tells whether a gang could run, and has waited for a quarter of the
// time within which it should have begun.
func (r *ReservationPlanner) hasWaitedLong(j *cluster.Job) bool {
	if j.Spec.Kind != api.Gang || j.Terminal || j.MustNotRun() || j.PendingDependencies > 0 || j.HasStarted() {
		return false
	}
	if r.tasks.Deprioritized(j) || r.Now < j.NotBefore || r.cluster.Partitions[j.Partition].Term == 0 {
		return false
	}
	return r.Now >= j.EligibleAt()+micros.FromSeconds(r.Settings.Operators.BeginWithinS/4)
}

// reservableMachines shows the machines of all partitions that may be promised.
func (r *ReservationPlanner) reservableMachines() []*scheduler.Machine {
	var list []*scheduler.Machine
	for _, m := range r.cluster.MachinesByName {
		if m.MachineType == nil || m.Record.Condemned || m.Quarantined || m.InterruptionAt > 0 || m.IgnoringSince > 0 || r.cluster.LedPartition(m) != nil && r.boots.BootOverdue(m) {
			continue
		}
		sm := r.view.schedulerMachine(m)
		// Whether another's machine is up is not in the replica: by its age.
		sm.Schedulable = m.FirstHeartbeatAt > 0 || r.cluster.LedPartition(m) == nil && (len(m.TaskIDs) > 0 || r.Now > m.LaunchedAt+micros.FromSeconds(1.5*m.MachineType.BootS))
		sm.ReadyAt = max(r.Now, m.LaunchedAt+micros.FromSeconds(m.MachineType.BootS))
		r.view.addAllocations(sm, m, nil)
		list = append(list, sm)
	}
	return list
}

// reservedForPartition is the partition whose gang a machine is kept for; -1: none.
func (r *ReservationPlanner) reservedForPartition(m *cluster.Machine) int {
	if pr, ok := r.byMachine[m.Name]; ok {
		if j := r.cluster.Jobs[pr.Job.ID]; j != nil && j.PlacedTasks+j.DoneTasks == 0 && !j.Cancelled && !j.Terminal {
			return j.Partition
		}
	}
	return -1
}

// enforceReservation empties a machine that is kept for a gang that is due, where what
// runs is of a lower tier and the gang's other machines are about ready, and
// lends it to the gang's partition.
func (r *ReservationPlanner) enforceReservation(m *cluster.Machine) {
	pr := r.byMachine[m.Name]
	to := r.reservedForPartition(m)
	if len(m.TaskIDs) == 0 {
		// Not at once again where two controllers see it differently.
		if to != m.Record.Partition && m.TokenConfirmed && r.Now > m.AwaitingHeartbeatSince+4*micros.Second {
			r.registry.TransferMachine(m, to)
		}
		return
	}
	if r.Now+2*scheduler.PreemptionTime < pr.ReadyAt {
		return
	}
	for _, id := range m.TaskIDsCopy() {
		j := r.cluster.Jobs[id.Job]
		if r.urgencies.effectiveTier(j) < pr.Job.Spec.Priority.Tier() {
			r.tasks.RequestTaskStop(j, j.Task(id.Index), "the machine is reserved for "+pr.Job.ID)
		}
	}
}
