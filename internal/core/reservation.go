package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// planReservations works out, for all partitions, which machines are kept for gangs of which
// nothing runs though a quarter of begin_within_s is over. Until half of it is,
// only for those that can't have their machines sooner by stopping others.
func (c *Controller) planReservations() {
	c.reservations = map[string]scheduler.AdvanceReservation{}
	due := c.gangsToReserveFor()
	if due == nil {
		return
	}
	c.reservations = scheduler.ReserveInAdvance(c.now, c.now-micros.FromSeconds(c.settings.Operators.BeginWithinS/2), c.reservableMachines(), due)
	kept := map[string]bool{}
	for _, pr := range c.reservations {
		kept[pr.Job.ID] = true
		if j := c.jobs[pr.Job.ID]; j.reservedSince == 0 {
			j.reservedSince = c.now
		}
	}
	for _, sj := range due {
		if !kept[sj.ID] {
			c.jobs[sj.ID].reservedSince = 0
		}
	}
}

// gangsToReserveFor lists the gangs that machines are to be promised to.
func (c *Controller) gangsToReserveFor() []*scheduler.Job {
	var due []*scheduler.Job
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if !c.hasWaitedLong(j) {
			continue
		}
		if j.reservedSince > 0 && c.now > j.reservedSince+micros.FromSeconds(c.settings.Operators.BeginWithinS) {
			// Something that we do not know keeps it: others' turn for as long,
			// else machines would be held for it without end.
			j.reservedSince, j.noReservationBefore = 0, c.now+micros.FromSeconds(c.settings.Operators.BeginWithinS)
		}
		if c.now < j.noReservationBefore {
			continue
		}
		sj := c.schedulerJob(j)
		sj.PendingTasks = j.spec.Tasks
		due = append(due, sj)
	}
	return due
}

// hasWaitedLong tells whether a gang could run, and has waited for a quarter of the
// time within which it should have begun.
func (c *Controller) hasWaitedLong(j *job) bool {
	if j.spec.Kind != api.Gang || j.terminal || j.mustNotRun() || j.pendingDependencies > 0 || j.hasStarted() {
		return false
	}
	if c.deprioritized(j) || c.now < j.notBefore || c.partitions[j.partition].Term == 0 {
		return false
	}
	return c.now >= j.eligibleAt()+micros.FromSeconds(c.settings.Operators.BeginWithinS/4)
}

// reservableMachines shows the machines of all partitions that may be promised.
func (c *Controller) reservableMachines() []*scheduler.Machine {
	var list []*scheduler.Machine
	for _, m := range c.machinesByName {
		if m.machineType == nil || m.record.Condemned || m.quarantined || m.interruptionAt > 0 || m.ignoringSince > 0 || c.ledPartition(m) != nil && c.bootOverdue(m) {
			continue
		}
		sm := c.schedulerMachine(m)
		// Whether another's machine is up is not in the replica: by its age.
		sm.Schedulable = m.firstHeartbeatAt > 0 || c.ledPartition(m) == nil && (len(m.taskIDs) > 0 || c.now > m.launchedAt+micros.FromSeconds(1.5*m.machineType.BootS))
		sm.ReadyAt = max(c.now, m.launchedAt+micros.FromSeconds(m.machineType.BootS))
		c.addAllocations(sm, m, nil)
		list = append(list, sm)
	}
	return list
}

// reservedForPartition is the partition whose gang a machine is kept for; -1: none.
func (c *Controller) reservedForPartition(m *machine) int {
	if pr, ok := c.reservations[m.name]; ok {
		if j := c.jobs[pr.Job.ID]; j != nil && j.placedTasks+j.doneTasks == 0 && !j.cancelled && !j.terminal {
			return j.partition
		}
	}
	return -1
}

// enforceReservation empties a machine that is kept for a gang that is due, where what
// runs is of a lower tier and the gang's other machines are about ready, and
// lends it to the gang's partition.
func (c *Controller) enforceReservation(m *machine) {
	pr := c.reservations[m.name]
	to := c.reservedForPartition(m)
	if len(m.taskIDs) == 0 {
		// Not at once again where two controllers see it differently.
		if to != m.record.Partition && m.tokenConfirmed && c.now > m.awaitedSince+4*micros.Second {
			c.transferMachine(m, to)
		}
		return
	}
	if c.now+2*scheduler.PreemptionTime < pr.ReadyAt {
		return
	}
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		if c.effectiveTier(j) < api.Tier(pr.Job.Spec.Priority) {
			c.requestTaskStop(j, j.task(id.index), "the machine is kept for "+pr.Job.ID)
		}
	}
}
