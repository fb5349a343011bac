package core

import (
	"spurmoor/internal/micros"
)

// machineManager looks after the machines of the partitions that we lead: their leases,
// commands, drains, and when they are given back.
type machineManager struct {
	*environment
	boots        *bootStatistics
	cluster      *clusterState
	isolation    *isolationGuard
	registry     *machineRegistry
	reservations *reservationPlanner
	storeLease   *storeLease
	tasks        *taskLifecycle
}

func newMachineManager(env *environment, boots *bootStatistics, cluster *clusterState, isolation *isolationGuard, registry *machineRegistry,
	reservations *reservationPlanner, lease *storeLease, tasks *taskLifecycle) *machineManager {
	return &machineManager{environment: env, boots: boots, cluster: cluster, isolation: isolation, registry: registry,
		reservations: reservations, storeLease: lease, tasks: tasks}
}

// reconcileMachines looks after the machines of the partitions that we hold.
func (k *machineManager) reconcileMachines() {
	silent, up := 0, 0
	silence := k.settings.silenceTimeout()
	for _, m := range k.cluster.machinesByName {
		p := k.cluster.ledPartition(m)
		if p == nil {
			continue
		}
		if m.firstHeartbeatAt > 0 {
			up++
			if k.now > k.storeLease.silenceCountsFrom(m.lastSeenAt)+silence*2/3 {
				silent++
			}
		}
		if m.nextCommandAt <= k.now && !m.commandInFlight && k.storeLease.mayAnswerFor(p.RoleState) {
			k.sendDueCommands(m)
		}
	}
	cut := up >= 2 && silent*2 > up
	k.isolation.resignIfIsolated(up)
	for _, m := range k.cluster.machinesByName {
		if k.cluster.ledPartition(m) != nil {
			k.reconcileMachine(m, cut)
		}
	}
}

// reconcileMachine looks after one machine of ours. cut: most machines are silent, so
// that silence says nothing of a single one. Without a lease that is known to hold no
// machine is judged, for another controller may have it by now; but tasks on one that
// will be taken are told to save in an outage as well.
func (k *machineManager) reconcileMachine(m *machine, cut bool) {
	judges := k.storeLease.leaseValid()
	if judges && k.now > m.leaseExpiresAt && len(m.taskIDs) > 0 {
		k.logInfo("machine's lease ran out", "machine", m.name, "tasks", len(m.taskIDs))
		k.tasks.releaseTasks(m, "its lease ran out")
	}
	if m.record.Condemned {
		k.dropDeletedRecord(m)
		return
	}
	k.maintainRecord(m)
	if why := k.removalReason(m, cut); judges && why != "" {
		k.registry.scaleIn(m, why)
	} else {
		k.drainOrRelease(m)
	}
	k.expireClaim(m)
}

// dropDeletedRecord has the record of a machine that the cloud deleted forgotten.
func (k *machineManager) dropDeletedRecord(m *machine) {
	if !m.deleteConfirmed || m.recordChangePending() {
		return
	}
	k.tasks.releaseTasks(m, "deleted")
	if k.cluster.isEmptyAndCommitted(m) {
		k.cluster.requestRecordChange(m, dropRecord)
	}
}

// maintainRecord has a machine's record copied into our log, or its token raised.
func (k *machineManager) maintainRecord(m *machine) {
	if m.origin.partition != m.record.Partition && !m.recordChangePending() {
		k.cluster.requestRecordChange(m, copyRecord)
	}
	if m.startOutcomeUnknown && !m.recordChangePending() {
		m.startOutcomeUnknown = false
		k.cluster.requestRecordChange(m, raiseToken)
	}
}

// removalReason says why a machine is returned for what it does not do; "" if it is
// not.
func (k *machineManager) removalReason(m *machine, cut bool) string {
	boot := unknownBootS
	if m.machineType != nil {
		boot = m.machineType.BootS
	}
	waited := k.now > k.storeLease.silenceCountsFrom(m.awaitedSince)+k.settings.silenceTimeout()+8*micros.Second
	switch overdue := waited && k.boots.bootOverdue(m); {
	case overdue && k.now > m.launchedAt+micros.FromSeconds(boot*3+20):
		return "never came up"
	case overdue && !k.cluster.partitions[m.record.Partition].hasBlockedJobs:
		return "overdue, and nothing waits for it"
	case m.firstHeartbeatAt > 0 && !cut && k.now > k.storeLease.silenceCountsFrom(m.lastSeenAt)+k.settings.silenceTimeout():
		return "silent"
	case m.ignoringSince > 0 && k.now > k.storeLease.silenceCountsFrom(m.ignoringSince)+k.settings.silenceTimeout()+micros.FromSeconds(k.settings.Deployment.Workers.ReportS):
		return "does nothing that it is told"
	}
	return ""
}

// unknownBootS is the boot time taken for a machine of an unknown type, in seconds.
const unknownBootS = 60.0

// minIdleAge is how old a machine must be to be returned as idle: one that is deleted
// costs a minute in any case.
const minIdleAge = 50 * micros.Second

// drainOrRelease drains a machine, gives it to whom it is meant for, or returns it.
func (k *machineManager) drainOrRelease(m *machine) {
	switch {
	case m.interruptionAt > 0 || m.quarantined:
		k.drain(m)
	case k.reservations.reservedForPartition(m) >= 0 && m.moveToPartition < 0:
		k.reservations.enforceReservation(m)
	case m.moveToPartition >= 0:
		k.advanceMove(m)
	case m.tokenConfirmed && len(m.taskIDs) == 0 && m.claimedBy == "" && k.now > m.idleSince+micros.FromSeconds(k.settings.Operators.IdleReturnS) && k.now > m.launchedAt+minIdleAge:
		k.registry.scaleIn(m, "idle")
	}
}

// drain empties a machine that will be taken or is faulty, and returns it.
func (k *machineManager) drain(m *machine) {
	for _, id := range m.taskIDsCopy() {
		j := k.cluster.jobs[id.job]
		if t := j.task(id.index); !m.quarantined && j.spec.CheckpointIntervalS > 0 && t.stopRequestedAt == 0 {
			k.tasks.requestTaskStop(j, t, "the machine will be taken")
		}
	}
	if len(m.taskIDs) == 0 && m.allTasksEnded() {
		k.registry.scaleIn(m, "drained")
	}
}

// advanceMove empties a machine that goes to another partition, and lends it there.
func (k *machineManager) advanceMove(m *machine) {
	for _, id := range m.taskIDsCopy() {
		j := k.cluster.jobs[id.job]
		if t := j.task(id.index); m.preemptForMove {
			k.tasks.requestTaskStop(j, t, "the machine goes to another partition")
		}
	}
	if len(m.taskIDs) == 0 && m.tokenConfirmed {
		k.registry.transferMachine(m, m.moveToPartition)
	}
}

// expireClaim ends a claim with the job's start there (plan), its time, or its need.
// It ended with the job's first task anywhere once: two partitions then took a machine
// from each other three times a second.
func (k *machineManager) expireClaim(m *machine) {
	if m.claimedBy == "" {
		return
	}
	if j := k.cluster.jobs[m.claimedBy]; k.now > m.claimExpiresAt || j == nil || j.placedTasks+j.doneTasks == j.spec.Tasks {
		m.claimedBy = ""
	}
}
