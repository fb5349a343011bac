package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// reservationPlanner keeps machines of all partitions for gangs that have waited long.
type reservationPlanner struct {
	*environment
	boots     *bootStatistics
	cluster   *clusterState
	registry  *machineRegistry
	tasks     *taskLifecycle
	urgencies *urgencyIndex
	view      *schedulerView

	byMachine map[string]scheduler.AdvanceReservation
}

func newReservationPlanner(env *environment, boots *bootStatistics, cluster *clusterState, registry *machineRegistry, tasks *taskLifecycle,
	urgencies *urgencyIndex, view *schedulerView) *reservationPlanner {
	return &reservationPlanner{environment: env, boots: boots, cluster: cluster, registry: registry, tasks: tasks, urgencies: urgencies, view: view}
}

// planReservations works out, for all partitions, which machines are kept for gangs of which
// nothing runs though a quarter of begin_within_s is over. Until half of it is,
// only for those that can't have their machines sooner by stopping others.
func (r *reservationPlanner) planReservations() {
	r.byMachine = map[string]scheduler.AdvanceReservation{}
	due := r.gangsToReserveFor()
	if due == nil {
		return
	}
	r.byMachine = scheduler.ReserveInAdvance(r.now, r.now-micros.FromSeconds(r.settings.Operators.BeginWithinS/2), r.reservableMachines(), due)
	kept := map[string]bool{}
	for _, pr := range r.byMachine {
		kept[pr.Job.ID] = true
		if j := r.cluster.jobs[pr.Job.ID]; j.reservedSince == 0 {
			j.reservedSince = r.now
		}
	}
	for _, sj := range due {
		if !kept[sj.ID] {
			r.cluster.jobs[sj.ID].reservedSince = 0
		}
	}
}

// gangsToReserveFor lists the gangs that machines are to be promised to.
func (r *reservationPlanner) gangsToReserveFor() []*scheduler.Job {
	var due []*scheduler.Job
	for _, id := range slices.Sorted(maps.Keys(r.cluster.jobs)) {
		j := r.cluster.jobs[id]
		if !r.hasWaitedLong(j) {
			continue
		}
		if j.reservedSince > 0 && r.now > j.reservedSince+micros.FromSeconds(r.settings.Operators.BeginWithinS) {
			// Something that we do not know keeps it: others' turn for as long,
			// else machines would be held for it without end.
			j.reservedSince, j.noReservationBefore = 0, r.now+micros.FromSeconds(r.settings.Operators.BeginWithinS)
		}
		if r.now < j.noReservationBefore {
			continue
		}
		sj := r.view.schedulerJob(j)
		sj.PendingTasks = j.spec.Tasks
		due = append(due, sj)
	}
	return due
}

// hasWaitedLong tells whether a gang could run, and has waited for a quarter of the
// time within which it should have begun.
func (r *reservationPlanner) hasWaitedLong(j *job) bool {
	if j.spec.Kind != api.Gang || j.terminal || j.mustNotRun() || j.pendingDependencies > 0 || j.hasStarted() {
		return false
	}
	if r.tasks.deprioritized(j) || r.now < j.notBefore || r.cluster.partitions[j.partition].Term == 0 {
		return false
	}
	return r.now >= j.eligibleAt()+micros.FromSeconds(r.settings.Operators.BeginWithinS/4)
}

// reservableMachines shows the machines of all partitions that may be promised.
func (r *reservationPlanner) reservableMachines() []*scheduler.Machine {
	var list []*scheduler.Machine
	for _, m := range r.cluster.machinesByName {
		if m.machineType == nil || m.record.Condemned || m.quarantined || m.interruptionAt > 0 || m.ignoringSince > 0 || r.cluster.ledPartition(m) != nil && r.boots.bootOverdue(m) {
			continue
		}
		sm := r.view.schedulerMachine(m)
		// Whether another's machine is up is not in the replica: by its age.
		sm.Schedulable = m.firstHeartbeatAt > 0 || r.cluster.ledPartition(m) == nil && (len(m.taskIDs) > 0 || r.now > m.launchedAt+micros.FromSeconds(1.5*m.machineType.BootS))
		sm.ReadyAt = max(r.now, m.launchedAt+micros.FromSeconds(m.machineType.BootS))
		r.view.addAllocations(sm, m, nil)
		list = append(list, sm)
	}
	return list
}

// reservedForPartition is the partition whose gang a machine is kept for; -1: none.
func (r *reservationPlanner) reservedForPartition(m *machine) int {
	if pr, ok := r.byMachine[m.name]; ok {
		if j := r.cluster.jobs[pr.Job.ID]; j != nil && j.placedTasks+j.doneTasks == 0 && !j.cancelled && !j.terminal {
			return j.partition
		}
	}
	return -1
}

// enforceReservation empties a machine that is kept for a gang that is due, where what
// runs is of a lower tier and the gang's other machines are about ready, and
// lends it to the gang's partition.
func (r *reservationPlanner) enforceReservation(m *machine) {
	pr := r.byMachine[m.name]
	to := r.reservedForPartition(m)
	if len(m.taskIDs) == 0 {
		// Not at once again where two controllers see it differently.
		if to != m.record.Partition && m.tokenConfirmed && r.now > m.awaitedSince+4*micros.Second {
			r.registry.transferMachine(m, to)
		}
		return
	}
	if r.now+2*scheduler.PreemptionTime < pr.ReadyAt {
		return
	}
	for _, id := range m.taskIDsCopy() {
		j := r.cluster.jobs[id.job]
		if r.urgencies.effectiveTier(j) < api.Tier(pr.Job.Spec.Priority) {
			r.tasks.requestTaskStop(j, j.task(id.index), "the machine is kept for "+pr.Job.ID)
		}
	}
}
