package planning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Commands that are sent to workers directly, beside those in the answers to their
// reports.

// sendDueCommands sends a machine the commands that should not wait for its next report.
// One that is late is asked before it is taken for dead: where two controllers
// were cut off its report went to both of them first, five seconds each, and two
// hundred machines at work were deleted.
func (k *MachineManager) sendDueCommands(m *cluster.Machine) {
	m.NextCommandAt = k.Now + 2*micros.Second
	if m.Address == "" || m.RecordChangePending() {
		return
	}
	late := m.FirstHeartbeatAt > 0 && k.Now > m.LastSeenAt+k.Settings.MaxHeartbeatInterval()
	if cmds := k.directCommands(m); !m.TokenConfirmed || late || cmds != nil {
		k.sendCommands(m, cmds)
	}
}

// directCommands lists the commands worth sending at once: stops of tasks that must
// stop and have not begun to, and the first start of each task.
func (k *MachineManager) directCommands(m *cluster.Machine) []api.Command {
	var cmds []api.Command
	for _, id := range m.TaskIDsCopy() {
		j := k.cluster.Jobs[id.Job]
		if t := j.Task(id.Index); !t.Observed && t.DirectStartToken == 0 && j.Partition == m.Record.Partition && !k.tasks.MustStop(j, t) && j.IsCommitted(id.Index) && k.tasks.MayStartOn(m, j) && len(cmds) < MaxCommands {
			t.DirectStartToken = k.cluster.FencingToken(m)
			m.HighestStartToken = max(m.HighestStartToken, t.DirectStartToken)
			cmds = append(cmds, api.Command{Op: api.CommandStart, Task: id.String(), Attempt: t.Attempt})
			continue
		}
		if t := j.Task(id.Index); t.Observed && t.ReportedState != api.TaskCheckpointing && k.tasks.MustStop(j, t) && len(cmds) < MaxCommands {
			g := k.tasks.GraceFor(j, t)
			cmds = append(cmds, api.Command{Op: api.CommandStop, Task: id.String(), Attempt: t.Attempt, GraceS: &g})
		}
	}
	return cmds
}

// sendCommands sends direct commands; none at all still raise the worker's token.
func (k *MachineManager) sendCommands(m *cluster.Machine, cmds []api.Command) {
	m.CommandInFlight = true
	if cmds == nil {
		cmds = []api.Command{}
	}
	body := api.CommandRequest{FencingToken: k.cluster.FencingToken(m), Incarnation: max(1, m.Incarnation), Commands: cmds}
	starts := slices.ContainsFunc(cmds, func(o api.Command) bool { return o.Op == api.CommandStart })
	k.Emit(message.SendCommands{Machine: m.Name, Addr: m.Address, StartsTasks: starts, Body: leadership.NewOrder(k.storeLease.CommandGrant(k.cluster.Partitions[m.Record.Partition].RoleState), body)})
}

// SettleDirectStarts takes in what an answer, or its absence, says of the direct starts
// that were sent with it.
func (k *MachineManager) SettleDirectStarts(m *cluster.Machine, v message.CommandReply) {
	if v.Status == 0 && v.StartsTasks && !v.Unsent {
		// The start may be carried out minutes late. A higher token, once
		// the worker has seen it, makes that impossible.
		m.StartOutcomeUnknown = true
	}
	if v.Status != 409 && !v.Unsent {
		return
	}
	for _, id := range m.TaskIDsCopy() { // nothing was carried out
		if t := k.cluster.Jobs[id.Job].Task(id.Index); t.DirectStartToken == v.FencingToken {
			t.DirectStartToken = 0
		}
	}
}

// MaxCommands keeps an answer's one line below 64 KiB.
const MaxCommands = 400
