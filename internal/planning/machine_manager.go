package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
)

// MachineManager looks after the machines of the partitions that we lead, through all of
// their lives: their leases and commands, their records, drains, moves to other
// partitions, and when they are scaled in.
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
func NewMachineManager(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	state *cluster.State,
	isolation *IsolationGuard,
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

// ReconcileMachines does what is due of all machines of the partitions that we lead.
func (m *MachineManager) ReconcileMachines() {
	machinesUp, silent := m.countMachines()
	mostSilent := machinesUp >= minMachinesToJudge && silent > machinesUp-silent
	m.sendAllDueCommands()
	m.isolation.resignIfIsolated(machinesUp)
	for _, machine := range m.cluster.MachinesByName {
		if m.cluster.LedPartition(machine) != nil {
			m.reconcileMachine(machine, mostSilent)
		}
	}
}

// countMachines counts the machines of ours that sent a heartbeat before, and of these the
// ones that are likely cut off from us.
func (m *MachineManager) countMachines() (machinesUp, silent int) {
	cutOff := m.isolation.likelyCutOffSilence()
	for _, machine := range m.cluster.MachinesByName {
		if machine.FirstHeartbeatAt == 0 || m.cluster.LedPartition(machine) == nil {
			continue
		}
		machinesUp++
		if m.Now > m.storeLease.MissedHeartbeatsCountFrom(machine.LastSeenAt)+cutOff {
			silent++
		}
	}
	return machinesUp, silent
}

// sendAllDueCommands sends direct commands to the machines of ours that they are due for.
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

// reconcileMachine does what is due of one machine of ours. mostSilent: most machines are
// silent, so that silence says nothing of a single one. Without a lease that is known to
// hold no machine is judged, for another controller may lead its partition by now; but
// tasks on one that will be interrupted are told to checkpoint in an outage as well.
func (m *MachineManager) reconcileMachine(machine *cluster.Machine, mostSilent bool) {
	mayJudge := m.storeLease.LeaseValid()
	if mayJudge && m.Now > machine.LeaseExpiresAt && len(machine.TaskIDs) > 0 {
		m.LogInfo("machine lease expired", logkey.Machine, machine.Name, logkey.Tasks, len(machine.TaskIDs))
		m.tasks.ReleaseTasks(machine, "its lease expired")
	}
	if machine.Record.Condemned {
		m.dropDeletedRecord(machine)
		return
	}
	m.maintainRecord(machine)
	if reason := m.faultReason(machine, mostSilent); mayJudge && reason != "" {
		m.registry.ScaleIn(machine, reason)
	} else {
		m.releaseMachine(machine)
	}
	m.expireClaim(machine)
}

// dropDeletedRecord has the record dropped of a machine that the cloud deleted.
func (m *MachineManager) dropDeletedRecord(machine *cluster.Machine) {
	if !machine.DeleteConfirmed || machine.RecordChangePending() {
		return
	}
	m.tasks.ReleaseTasks(machine, "deleted")
	if m.cluster.IsEmptyAndCommitted(machine) {
		m.cluster.RequestRecordChange(machine, cluster.DropRecord)
	}
}

// maintainRecord has a machine's record copied into the log of its partition, and its
// fencing token raised where a direct start had no answer.
func (m *MachineManager) maintainRecord(machine *cluster.Machine) {
	if machine.Origin.Partition != machine.Record.Partition && !machine.RecordChangePending() {
		m.cluster.RequestRecordChange(machine, cluster.CopyRecord)
	}
	if machine.StartOutcomeUnknown && !machine.RecordChangePending() {
		machine.StartOutcomeUnknown = false
		m.cluster.RequestRecordChange(machine, cluster.RaiseToken)
	}
}

// releaseMachine lets go of a machine that is not to go on as it does: it is drained, kept
// for the gang that it is reserved for, moved to another partition, or scaled in as idle.
func (m *MachineManager) releaseMachine(machine *cluster.Machine) {
	moving := machine.MoveToPartition != noPartition
	switch {
	case machine.InterruptionAt > 0 || machine.Quarantined:
		m.drain(machine)
	case !moving && m.reservations.isReserved(machine):
		m.reservations.enforceReservation(machine)
	case moving:
		m.advanceMove(machine)
	case m.hasIdledEnough(machine):
		m.registry.ScaleIn(machine, reasonIdle)
	}
}

// drain empties a machine that will be interrupted or is quarantined, and scales it in.
// Tasks on a quarantined one end by themselves; those that can checkpoint leave one that
// will be interrupted.
func (m *MachineManager) drain(machine *cluster.Machine) {
	for job, task := range tasksOn(m.cluster, machine) {
		if !machine.Quarantined && job.Spec.CheckpointIntervalS > 0 && task.StopRequestedAt == 0 {
			m.tasks.RequestTaskStop(job, task, "the machine is about to be interrupted")
		}
	}
	if len(machine.TaskIDs) == 0 && machine.AllTasksEnded() {
		m.registry.ScaleIn(machine, reasonDrained)
	}
}

// advanceMove empties a machine that goes to another partition, and transfers it once it is
// empty. Tasks are stopped only where the promise permits that.
func (m *MachineManager) advanceMove(machine *cluster.Machine) {
	if machine.PreemptForMove {
		for job, task := range tasksOn(m.cluster, machine) {
			m.tasks.RequestTaskStop(job, task, "the machine goes to another partition")
		}
	}
	if len(machine.TaskIDs) == 0 && machine.TokenConfirmed {
		m.registry.TransferMachine(machine, machine.MoveToPartition)
	}
}

// expireClaim ends a job's claim on a machine with its time, or when all of the job's tasks
// are placed; the job's start on the machine itself ends it as well. When it ended with
// the job's first task anywhere, two partitions took a machine from each other three times
// a second.
func (m *MachineManager) expireClaim(machine *cluster.Machine) {
	if machine.ClaimedBy == "" {
		return
	}
	job := m.cluster.Jobs[machine.ClaimedBy]
	if m.Now > machine.ClaimExpiresAt || job == nil || job.PlacedTasks+job.DoneTasks == job.Spec.Tasks {
		machine.ClaimedBy = ""
	}
}
