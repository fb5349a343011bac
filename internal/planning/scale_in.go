package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
)

// Reasons for scaling in a machine, as they are logged.
const (
	reasonNeverCameUp     = "never came up"
	reasonBootOverdue     = "overdue, and nothing waits for it"
	reasonSilent          = "silent"
	reasonIgnoresCommands = "ignores its commands"
	reasonIdle            = "idle"
	reasonDrained         = "drained"
)

const (
	// defaultBootS is the boot time assumed for a machine of an unknown type, in seconds.
	defaultBootS = 60.0
	// A machine that has not come up after bootTimeoutFactor times the boot time of its
	// type plus bootMarginS seconds is scaled in: it is expected never to come up.
	bootTimeoutFactor = 3
	bootMarginS       = 20
	// firstHeartbeatMargin is how much longer the first heartbeat of a machine is waited
	// for than the next heartbeat of a machine that was up.
	firstHeartbeatMargin = 8 * micros.Second
	// minIdleScaleInAge is how old a machine must be to be scaled in as idle. A machine
	// costs at least a minute, even if it is deleted sooner.
	minIdleScaleInAge = 50 * micros.Second
)

// faultReason returns why a machine is scaled in as faulty, or "" if it is not.
func (m *MachineManager) faultReason(machine *cluster.Machine, mostSilent bool) string {
	switch overdue := m.isBootOverdue(machine); {
	case overdue && m.Now > machine.LaunchedAt+bootTimeout(machine):
		return reasonNeverCameUp
	case overdue && !m.cluster.Partitions[machine.Record.Partition].HasBlockedJobs:
		return reasonBootOverdue
	case !mostSilent && m.isSilent(machine):
		return reasonSilent
	case m.ignoresCommands(machine):
		return reasonIgnoresCommands
	}
	return ""
}

// bootTimeout returns how long after its launch a machine that has not come up is scaled
// in, even if jobs wait for it.
func bootTimeout(machine *cluster.Machine) micros.Micros {
	bootS := defaultBootS
	if machine.MachineType != nil {
		bootS = machine.MachineType.BootS
	}
	return micros.FromSeconds(bootS*bootTimeoutFactor + bootMarginS)
}

// isBootOverdue reports whether a machine should have come up by now, and this controller
// has waited for it long enough to know that it has not.
func (m *MachineManager) isBootOverdue(machine *cluster.Machine) bool {
	awaitedSince := m.storeLease.AnswerableSince(machine.AwaitingHeartbeatSince)
	return m.Now > awaitedSince+m.Settings.HeartbeatTimeout()+firstHeartbeatMargin && m.boots.IsOverdue(machine)
}

// isSilent reports whether a machine that was up has sent nothing for too long.
func (m *MachineManager) isSilent(machine *cluster.Machine) bool {
	silentSince := m.storeLease.AnswerableSince(machine.LastSeenAt)
	return machine.FirstHeartbeatAt > 0 && m.Now > silentSince+m.Settings.HeartbeatTimeout()
}

// ignoresCommands reports whether a machine that sends heartbeats has needed the same
// commands for too long, which means that no answer reaches it.
func (m *MachineManager) ignoresCommands(machine *cluster.Machine) bool {
	heartbeatInterval := micros.FromSeconds(m.Settings.Deployment.Workers.ReportS)
	ignoringSince := m.storeLease.AnswerableSince(machine.IgnoringCommandsSince)
	return machine.IgnoringCommandsSince > 0 && m.Now > ignoringSince+m.Settings.HeartbeatTimeout()+heartbeatInterval
}

// isPastIdleTimeout reports whether a machine has been idle for so long that it is scaled
// in.
func (m *MachineManager) isPastIdleTimeout(machine *cluster.Machine) bool {
	if !machine.TokenConfirmed || len(machine.TaskIDs) > 0 || machine.ClaimedBy != "" {
		return false
	}
	idleReturn := micros.FromSeconds(m.Settings.Operators.IdleReturnS)
	return m.Now > machine.IdleSince+idleReturn && m.Now > machine.LaunchedAt+minIdleScaleInAge
}
