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
func (c *Controller) sendDueCommands(m *machine) {
	m.nextCommandAt = c.now + 2*micros.Second
	if m.address == "" || m.recordChangePending() {
		return
	}
	late := m.firstHeartbeatAt > 0 && c.now > m.lastSeenAt+c.heartbeatDue()
	if cmds := c.directCommands(m); !m.tokenConfirmed || late || cmds != nil {
		c.sendCommands(m, cmds)
	}
}

// directCommands lists the commands worth sending at once: stops of tasks that must
// stop and have not begun to, and the first start of each task.
func (c *Controller) directCommands(m *machine) []api.Command {
	var cmds []api.Command
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		if t := j.task(id.index); !t.observed && t.directStartToken == 0 && j.partition == m.record.Partition && !c.mustStop(j, t) && j.isCommitted(id.index) && c.mayStartOn(m, j) && len(cmds) < maxCommands {
			t.directStartToken = c.fencingToken(m)
			m.highestStartToken = max(m.highestStartToken, t.directStartToken)
			cmds = append(cmds, api.Command{Op: api.CommandStart, Task: id.String(), Attempt: t.attempt})
			continue
		}
		if t := j.task(id.index); t.observed && t.reportedState != api.Checkpointing && c.mustStop(j, t) && len(cmds) < maxCommands {
			g := c.graceFor(j, t)
			cmds = append(cmds, api.Command{Op: api.CommandStop, Task: id.String(), Attempt: t.attempt, GraceS: &g})
		}
	}
	return cmds
}

// sendCommands sends direct commands; none at all still raise the worker's token.
func (c *Controller) sendCommands(m *machine, cmds []api.Command) {
	m.commandInFlight = true
	if cmds == nil {
		cmds = []api.Command{}
	}
	body := api.CommandRequest{FencingToken: c.fencingToken(m), Incarnation: max(1, m.incarnation), Commands: cmds}
	starts := slices.ContainsFunc(cmds, func(o api.Command) bool { return o.Op == api.CommandStart })
	c.emit(SendCommands{Machine: m.name, Addr: m.address, Starts: starts, Body: leadership.NewOrder(c.commandGrant(c.partitions[m.record.Partition]), body)})
}

// probeCommand asks a worker whether it is there. Token 0 has nothing done.
func probeCommand(machine, addr string, session uint64) SendCommands {
	body := api.CommandRequest{Incarnation: session, Commands: []api.Command{}}
	return SendCommands{Machine: machine, Addr: addr, Body: leadership.NewOrder(leadership.SharedGrant(leadership.ForProbe, leadership.Command), body)}
}

// settleDirectStarts takes in what an answer, or its absence, says of the direct starts
// that were sent with it.
func (c *Controller) settleDirectStarts(m *machine, v CommandReply) {
	if v.Status == 0 && v.Starts && !v.Unsent {
		// The start may be carried out minutes late. A higher token, once
		// the worker has seen it, makes that impossible.
		m.startOutcomeUnknown = true
	}
	if v.Status != 409 && !v.Unsent {
		return
	}
	for _, id := range m.taskIDsCopy() { // nothing was carried out
		if t := c.jobs[id.job].task(id.index); t.directStartToken == v.Token {
			t.directStartToken = 0
		}
	}
}
