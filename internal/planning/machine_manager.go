package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
)

// MachineManager manages the machines of the partitions that this controller leads,
// through their whole lifecycle: their leases and commands, records, drains, transfers to
// other partitions, and scale-in.
type MachineManager struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cluster      *cluster.State
	isolation    *IsolationMonitor
	registry     *cluster.MachineRegistry
	reservations *ReservationPlanner
	storeLease   *coordination.StoreLease
	tasks        *cluster.TaskLifecycle
}

// NewMachineManager returns a machine manager, which keeps no state of its own.
func NewMachineManager(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	state *cluster.State,
	isolation *IsolationMonitor,
	registry *cluster.MachineRegistry,
	reservations *ReservationPlanner,
	lease *coordination.StoreLease,
	tasks *cluster.TaskLifecycle,
) *MachineManager {
	return &MachineManager{
		Environment:  env,
		boots:        boots,
		cluster:      state,
		isolation:    isolation,
		registry:     registry,
		reservations: reservations,
		storeLease:   lease,
		tasks:        tasks,
	}
}

// ReconcileMachines performs what is due for all machines of the partitions that this
// controller leads. It resigns the controller's roles if no worker reaches it.
func (m *MachineManager) ReconcileMachines() {
	machinesUp, silent := m.countMachines()
	mostSilent := machinesUp >= minMachinesForDetection && silent > machinesUp-silent
	m.sendAllDueCommands()
	m.isolation.resignIfIsolated(machinesUp)
	for _, machine := range m.cluster.MachinesByName {
		if m.cluster.LedPartition(machine) != nil {
			m.reconcileMachine(machine, mostSilent)
		}
	}
}

// countMachines returns how many machines of this controller have sent a heartbeat, and
// how many of these are likely unreachable.
func (m *MachineManager) countMachines() (machinesUp, silent int) {
	timeout := m.isolation.likelyUnreachableTimeout()
	for _, machine := range m.cluster.MachinesByName {
		if machine.FirstHeartbeatAt == 0 || m.cluster.LedPartition(machine) == nil {
			continue
		}
		machinesUp++
		if m.Now > m.storeLease.AnswerableSince(machine.LastSeenAt)+timeout {
			silent++
		}
	}
	return machinesUp, silent
}

// sendAllDueCommands sends direct commands to the machines of this controller for which
// they are due.
func (m *MachineManager) sendAllDueCommands() {
	for _, machine := range m.cluster.MachinesByName {
		partition := m.cluster.LedPartition(machine)
		if partition == nil || machine.CommandInFlight || m.Now < machine.NextCommandAt {
			continue
		}
		if m.storeLease.MayAnswerFor(partition.RoleState) {
			m.sendDueCommands(machine)
		}
	}
}

// reconcileMachine performs what is due for one machine of this controller. mostSilent
// says that most machines are silent, so that silence says nothing about a single one.
//
// Unless the store lease is certain to be valid, no machine is treated as failed, because
// another controller may already lead its partition. Tasks on a machine that will be
// interrupted are told to checkpoint in an outage of the store as well.
func (m *MachineManager) reconcileMachine(machine *cluster.Machine, mostSilent bool) {
	leaseValid := m.storeLease.Valid()
	if leaseValid && m.Now > machine.LeaseExpiresAt && len(machine.TaskIDs) > 0 {
		m.LogInfo("machine lease expired", logkey.Machine, machine.Name, logkey.Tasks, len(machine.TaskIDs))
		m.tasks.ReleaseAll(machine, "its lease expired")
	}
	if machine.Record.MarkedForDeletion {
		m.dropDeletedRecord(machine)
		return
	}
	m.maintainRecord(machine)
	if reason := m.faultReason(machine, mostSilent); leaseValid && reason != "" {
		m.registry.ScaleIn(machine, reason)
	} else {
		m.releaseMachine(machine)
	}
	m.expireClaim(machine)
}

// dropDeletedRecord requests that the record of a machine be dropped once the cloud has
// deleted the machine.
func (m *MachineManager) dropDeletedRecord(machine *cluster.Machine) {
	if !machine.DeleteConfirmed || machine.RecordChangePending() {
		return
	}
	m.tasks.ReleaseAll(machine, "deleted")
	if m.cluster.IsEmptyAndCommitted(machine) {
		m.cluster.RequestRecordChange(machine, cluster.DeleteRecord)
	}
}

// maintainRecord requests that a machine's record be copied into the log of its
// partition, and that its fencing token be raised if a direct start had no answer.
func (m *MachineManager) maintainRecord(machine *cluster.Machine) {
	if machine.Origin.Partition != machine.Record.Partition && !machine.RecordChangePending() {
		m.cluster.RequestRecordChange(machine, cluster.CopyRecord)
	}
	if machine.MustRaiseToken && !machine.RecordChangePending() {
		machine.MustRaiseToken = false
		m.cluster.RequestRecordChange(machine, cluster.RaiseToken)
	}
}

// releaseMachine takes a machine out of its present use if that is due: the machine is
// drained, kept for the gang that it is reserved for, transferred to another partition, or
// scaled in as idle.
func (m *MachineManager) releaseMachine(machine *cluster.Machine) {
	transferring := machine.TransferToPartition != noPartition
	switch {
	case machine.InterruptionAt > 0 || machine.Quarantined:
		m.drain(machine)
	case !transferring && m.reservations.isReserved(machine):
		m.reservations.enforceReservation(machine)
	case transferring:
		m.advanceTransfer(machine)
	case m.isPastIdleTimeout(machine):
		m.registry.ScaleIn(machine, reasonIdle)
	}
}

// drain empties a machine that is quarantined or will be interrupted, and scales it in.
// On a quarantined machine, tasks end by themselves. On one that will be interrupted,
// tasks that can checkpoint are stopped.
func (m *MachineManager) drain(machine *cluster.Machine) {
	for job, task := range tasksOn(m.cluster, machine) {
		if !machine.Quarantined && job.Spec.CheckpointIntervalS > 0 && task.StopRequestedAt == 0 {
			m.tasks.RequestStop(job, task, "the machine is about to be interrupted")
		}
	}
	if len(machine.TaskIDs) == 0 && machine.AllTasksEnded() {
		m.registry.ScaleIn(machine, reasonDrained)
	}
}

// advanceTransfer transfers a machine to another partition once it is empty. Its tasks
// are stopped only if the scheduled transfer permits preemption.
func (m *MachineManager) advanceTransfer(machine *cluster.Machine) {
	if machine.PreemptForTransfer {
		for job, task := range tasksOn(m.cluster, machine) {
			m.tasks.RequestStop(job, task, "the machine goes to another partition")
		}
	}
	if len(machine.TaskIDs) == 0 && machine.TokenConfirmed {
		m.registry.Transfer(machine, machine.TransferToPartition)
	}
}

// expireClaim ends a job's claim on a machine when its time is over, or when all tasks of
// the job are placed. The start of the job on the machine itself ends the claim as well
// (bindTask). A claim must not end with the job's first task on any machine: two
// partitions then take a machine from each other three times a second.
func (m *MachineManager) expireClaim(machine *cluster.Machine) {
	if machine.ClaimedBy == "" {
		return
	}
	job := m.cluster.Jobs[machine.ClaimedBy]
	if m.Now > machine.ClaimExpiresAt || job == nil || job.PlacedTasks+job.DoneTasks == job.Spec.Tasks {
		machine.ClaimedBy = ""
	}
}
