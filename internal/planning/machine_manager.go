package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
)

// MachineManager looks after the machines of the partitions that we lead: their leases,
// commands, drains, and when they are given back.
type MachineManager struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cluster      *cluster.State
	isolation    *IsolationGuard
	registry     *cluster.MachineRegistry
	reservations *ReservationPlanner
	storeLease   *coordination.StoreLease
	tasks        *cluster.TaskLifecycle
}

// NewMachineManager makes a machine manager.
func NewMachineManager(env *coordination.Environment, boots *cluster.BootStatistics, cluster *cluster.State, isolation *IsolationGuard, registry *cluster.MachineRegistry,
	reservations *ReservationPlanner, lease *coordination.StoreLease, tasks *cluster.TaskLifecycle) *MachineManager {
	return &MachineManager{Environment: env, boots: boots, cluster: cluster, isolation: isolation, registry: registry,
		reservations: reservations, storeLease: lease, tasks: tasks}
}

// ReconcileMachines looks after the machines of the partitions that we hold.
func (k *MachineManager) ReconcileMachines() {
	silent, up := 0, 0
	silence := k.Settings.SilenceTimeout()
	for _, m := range k.cluster.MachinesByName {
		p := k.cluster.LedPartition(m)
		if p == nil {
			continue
		}
		if m.FirstHeartbeatAt > 0 {
			up++
			if k.Now > k.storeLease.SilenceCountsFrom(m.LastSeenAt)+silence*2/3 {
				silent++
			}
		}
		if m.NextCommandAt <= k.Now && !m.CommandInFlight && k.storeLease.MayAnswerFor(p.RoleState) {
			k.sendDueCommands(m)
		}
	}
	cut := up >= 2 && silent*2 > up
	k.isolation.resignIfIsolated(up)
	for _, m := range k.cluster.MachinesByName {
		if k.cluster.LedPartition(m) != nil {
			k.reconcileMachine(m, cut)
		}
	}
}

// reconcileMachine looks after one machine of ours. cut: most machines are silent, so
// that silence says nothing of a single one. Without a lease that is known to hold no
// machine is judged, for another controller may have it by now; but tasks on one that
// will be taken are told to save in an outage as well.
func (k *MachineManager) reconcileMachine(m *cluster.Machine, cut bool) {
	judges := k.storeLease.LeaseValid()
	if judges && k.Now > m.LeaseExpiresAt && len(m.TaskIDs) > 0 {
		k.LogInfo("machine lease expired", logkey.Machine, m.Name, logkey.Tasks, len(m.TaskIDs))
		k.tasks.ReleaseTasks(m, "its lease expired")
	}
	if m.Record.Condemned {
		k.dropDeletedRecord(m)
		return
	}
	k.maintainRecord(m)
	if why := k.removalReason(m, cut); judges && why != "" {
		k.registry.ScaleIn(m, why)
	} else {
		k.drainOrRelease(m)
	}
	k.expireClaim(m)
}

// dropDeletedRecord has the record of a machine that the cloud deleted forgotten.
func (k *MachineManager) dropDeletedRecord(m *cluster.Machine) {
	if !m.DeleteConfirmed || m.RecordChangePending() {
		return
	}
	k.tasks.ReleaseTasks(m, "deleted")
	if k.cluster.IsEmptyAndCommitted(m) {
		k.cluster.RequestRecordChange(m, cluster.DropRecord)
	}
}

// maintainRecord has a machine's record copied into our log, or its token raised.
func (k *MachineManager) maintainRecord(m *cluster.Machine) {
	if m.Origin.Partition != m.Record.Partition && !m.RecordChangePending() {
		k.cluster.RequestRecordChange(m, cluster.CopyRecord)
	}
	if m.StartOutcomeUnknown && !m.RecordChangePending() {
		m.StartOutcomeUnknown = false
		k.cluster.RequestRecordChange(m, cluster.RaiseToken)
	}
}

// removalReason says why a machine is returned for what it does not do; "" if it is
// not.
func (k *MachineManager) removalReason(m *cluster.Machine, cut bool) string {
	boot := unknownBootS
	if m.MachineType != nil {
		boot = m.MachineType.BootS
	}
	waited := k.Now > k.storeLease.SilenceCountsFrom(m.AwaitingHeartbeatSince)+k.Settings.SilenceTimeout()+8*micros.Second
	switch overdue := waited && k.boots.BootOverdue(m); {
	case overdue && k.Now > m.LaunchedAt+micros.FromSeconds(boot*3+20):
		return "never came up"
	case overdue && !k.cluster.Partitions[m.Record.Partition].HasBlockedJobs:
		return "overdue, and nothing waits for it"
	case m.FirstHeartbeatAt > 0 && !cut && k.Now > k.storeLease.SilenceCountsFrom(m.LastSeenAt)+k.Settings.SilenceTimeout():
		return "silent"
	case m.IgnoringSince > 0 && k.Now > k.storeLease.SilenceCountsFrom(m.IgnoringSince)+k.Settings.SilenceTimeout()+micros.FromSeconds(k.Settings.Deployment.Workers.ReportS):
		return "ignores its commands"
	}
	return ""
}

// unknownBootS is the boot time taken for a machine of an unknown type, in seconds.
const unknownBootS = 60.0

// minIdleAge is how old a machine must be to be returned as idle: one that is deleted
// costs a minute in any case.
const minIdleAge = 50 * micros.Second

// drainOrRelease drains a machine, gives it to whom it is meant for, or returns it.
func (k *MachineManager) drainOrRelease(m *cluster.Machine) {
	switch {
	case m.InterruptionAt > 0 || m.Quarantined:
		k.drain(m)
	case k.reservations.reservedForPartition(m) >= 0 && m.MoveToPartition < 0:
		k.reservations.enforceReservation(m)
	case m.MoveToPartition >= 0:
		k.advanceMove(m)
	case m.TokenConfirmed && len(m.TaskIDs) == 0 && m.ClaimedBy == "" && k.Now > m.IdleSince+micros.FromSeconds(k.Settings.Operators.IdleReturnS) && k.Now > m.LaunchedAt+minIdleAge:
		k.registry.ScaleIn(m, "idle")
	}
}

// drain empties a machine that will be taken or is faulty, and returns it.
func (k *MachineManager) drain(m *cluster.Machine) {
	for _, id := range m.TaskIDsCopy() {
		j := k.cluster.Jobs[id.Job]
		if t := j.Task(id.Index); !m.Quarantined && j.Spec.CheckpointIntervalS > 0 && t.StopRequestedAt == 0 {
			k.tasks.RequestTaskStop(j, t, "the machine is about to be interrupted")
		}
	}
	if len(m.TaskIDs) == 0 && m.AllTasksEnded() {
		k.registry.ScaleIn(m, "drained")
	}
}

// advanceMove empties a machine that goes to another partition, and lends it there.
func (k *MachineManager) advanceMove(m *cluster.Machine) {
	for _, id := range m.TaskIDsCopy() {
		j := k.cluster.Jobs[id.Job]
		if t := j.Task(id.Index); m.PreemptForMove {
			k.tasks.RequestTaskStop(j, t, "the machine goes to another partition")
		}
	}
	if len(m.TaskIDs) == 0 && m.TokenConfirmed {
		k.registry.TransferMachine(m, m.MoveToPartition)
	}
}

// expireClaim ends a claim with the job's start there (plan), its time, or its need.
// It ended with the job's first task anywhere once: two partitions then took a machine
// from each other three times a second.
func (k *MachineManager) expireClaim(m *cluster.Machine) {
	if m.ClaimedBy == "" {
		return
	}
	if j := k.cluster.Jobs[m.ClaimedBy]; k.Now > m.ClaimExpiresAt || j == nil || j.PlacedTasks+j.DoneTasks == j.Spec.Tasks {
		m.ClaimedBy = ""
	}
}
