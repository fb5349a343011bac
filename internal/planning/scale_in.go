package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
)

// Why a machine is scaled in, as the log gives it.
const (
	reasonNeverCameUp     = "never came up"
	reasonOverdue         = "overdue, and nothing waits for it"
	reasonSilent          = "silent"
	reasonIgnoresCommands = "ignores its commands"
	reasonIdle            = "idle"
	reasonDrained         = "drained"
)

const (
	// unknownBootS is the boot time taken for a machine of an unknown type, in seconds.
	unknownBootS = 60.0
	// A machine never came up after maxBoots times the boot time of its type and
	// bootMarginS seconds.
	maxBoots    = 3
	bootMarginS = 20
	// bootSilenceMargin is how much longer than for a silent machine's next heartbeat is
	// waited for the first one of a machine that has not come up.
	bootSilenceMargin = 8 * micros.Second
	// minIdleAge is how old a machine must be to be scaled in as idle: one that is deleted
	// costs a minute in any case.
	minIdleAge = 50 * micros.Second
)

// faultReason says why a machine is scaled in for what it does not do; "": it is not.
func (m *MachineManager) faultReason(machine *cluster.Machine, mostSilent bool) string {
	switch overdue := m.isOverdue(machine); {
	case overdue && m.Now > machine.LaunchedAt+bootDeadline(machine):
		return reasonNeverCameUp
	case overdue && !m.cluster.Partitions[machine.Record.Partition].HasBlockedJobs:
		return reasonOverdue
	case !mostSilent && m.isSilent(machine):
		return reasonSilent
	case m.ignoresCommands(machine):
		return reasonIgnoresCommands
	}
	return ""
}

// bootDeadline is how long after its launch a machine that has not come up is given up.
func bootDeadline(machine *cluster.Machine) micros.Micros {
	bootS := unknownBootS
	if machine.MachineType != nil {
		bootS = machine.MachineType.BootS
	}
	return micros.FromSeconds(bootS*maxBoots + bootMarginS)
}

// isOverdue tells whether a machine should have come up by now, and this controller has
// waited for it for long enough to know that it has not.
func (m *MachineManager) isOverdue(machine *cluster.Machine) bool {
	awaitedSince := m.storeLease.MissedHeartbeatsCountFrom(machine.AwaitingHeartbeatSince)
	return m.Now > awaitedSince+m.Settings.HeartbeatTimeout()+bootSilenceMargin && m.boots.BootOverdue(machine)
}

// isSilent tells whether a machine that was up has said nothing for too long.
func (m *MachineManager) isSilent(machine *cluster.Machine) bool {
	silentSince := m.storeLease.MissedHeartbeatsCountFrom(machine.LastSeenAt)
	return machine.FirstHeartbeatAt > 0 && m.Now > silentSince+m.Settings.HeartbeatTimeout()
}

// ignoresCommands tells whether a machine that sends heartbeats has needed the same
// commands for too long: no answer reaches it.
func (m *MachineManager) ignoresCommands(machine *cluster.Machine) bool {
	heartbeatInterval := micros.FromSeconds(m.Settings.Deployment.Workers.ReportS)
	ignoringSince := m.storeLease.MissedHeartbeatsCountFrom(machine.IgnoringSince)
	return machine.IgnoringSince > 0 && m.Now > ignoringSince+m.Settings.HeartbeatTimeout()+heartbeatInterval
}

// hasIdledEnough tells whether a machine has had nothing to do for so long that it is
// scaled in.
func (m *MachineManager) hasIdledEnough(machine *cluster.Machine) bool {
	if !machine.TokenConfirmed || len(machine.TaskIDs) > 0 || machine.ClaimedBy != "" {
		return false
	}
	idleReturn := micros.FromSeconds(m.Settings.Operators.IdleReturnS)
	return m.Now > machine.IdleSince+idleReturn && m.Now > machine.LaunchedAt+minIdleAge
}
