package core

import (
	"slices"

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
func (k *machineManager) sendDueCommands(m *machine) {
	m.nextCommandAt = k.now + 2*micros.Second
	if m.address == "" || m.recordChangePending() {
		return
	}
	late := m.firstHeartbeatAt > 0 && k.now > m.lastSeenAt+k.settings.heartbeatDue()
	if cmds := k.directCommands(m); !m.tokenConfirmed || late || cmds != nil {
		k.sendCommands(m, cmds)
	}
}

// directCommands lists the commands worth sending at once: stops of tasks that must
// stop and have not begun to, and the first start of each task.
func (k *machineManager) directCommands(m *machine) []api.Command {
	var cmds []api.Command
	for _, id := range m.taskIDsCopy() {
		j := k.cluster.jobs[id.job]
		if t := j.task(id.index); !t.observed && t.directStartToken == 0 && j.partition == m.record.Partition && !k.tasks.mustStop(j, t) && j.isCommitted(id.index) && k.tasks.mayStartOn(m, j) && len(cmds) < maxCommands {
			t.directStartToken = k.cluster.fencingToken(m)
			m.highestStartToken = max(m.highestStartToken, t.directStartToken)
			cmds = append(cmds, api.Command{Op: api.CommandStart, Task: id.String(), Attempt: t.attempt})
			continue
		}
		if t := j.task(id.index); t.observed && t.reportedState != api.Checkpointing && k.tasks.mustStop(j, t) && len(cmds) < maxCommands {
			g := k.tasks.graceFor(j, t)
			cmds = append(cmds, api.Command{Op: api.CommandStop, Task: id.String(), Attempt: t.attempt, GraceS: &g})
		}
	}
	return cmds
}

// sendCommands sends direct commands; none at all still raise the worker's token.
func (k *machineManager) sendCommands(m *machine, cmds []api.Command) {
	m.commandInFlight = true
	if cmds == nil {
		cmds = []api.Command{}
	}
	body := api.CommandRequest{FencingToken: k.cluster.fencingToken(m), Incarnation: max(1, m.incarnation), Commands: cmds}
	starts := slices.ContainsFunc(cmds, func(o api.Command) bool { return o.Op == api.CommandStart })
	k.emit(SendCommands{Machine: m.name, Addr: m.address, Starts: starts, Body: leadership.NewOrder(k.storeLease.commandGrant(k.cluster.partitions[m.record.Partition].RoleState), body)})
}

// settleDirectStarts takes in what an answer, or its absence, says of the direct starts
// that were sent with it.
func (k *machineManager) settleDirectStarts(m *machine, v CommandReply) {
	if v.Status == 0 && v.Starts && !v.Unsent {
		// The start may be carried out minutes late. A higher token, once
		// the worker has seen it, makes that impossible.
		m.startOutcomeUnknown = true
	}
	if v.Status != 409 && !v.Unsent {
		return
	}
	for _, id := range m.taskIDsCopy() { // nothing was carried out
		if t := k.cluster.jobs[id.job].task(id.index); t.directStartToken == v.Token {
			t.directStartToken = 0
		}
	}
}

// maxCommands keeps an answer's one line below 64 KiB.
const maxCommands = 400
