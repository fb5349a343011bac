package planning

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// MaxCommands limits the commands to a machine in one message, so that an answer,
	// which is a single line, stays below 64 KiB.
	MaxCommands = 400
	// commandInterval is the minimum time between two sets of direct commands to a
	// machine, unless there is something new to send.
	commandInterval = 2 * micros.Second
	// commandsRefused is the status with which a worker answers commands of which it
	// carried out none.
	commandsRefused = message.StatusConflict
	// commandsUnanswered is the status if no answer came, message.StatusNoReply. Whether the
	// worker carried out the commands is then unknown, unless the reply is marked as unsent.
	commandsUnanswered = 0
)

// sendDueCommands sends a machine the commands that should not wait for its next
// heartbeat. All others go with the answers to heartbeats.
//
// A machine that has not confirmed this controller's fencing token, or whose heartbeat is
// late, is sent a message even without commands. If the heartbeat is late, the message comes
// before the machine is treated as failed: when two controllers are cut off, its heartbeat
// goes to both of them first, for five seconds each. Without the message, two hundred
// machines with running tasks are deleted in that case.
func (m *MachineManager) sendDueCommands(machine *cluster.Machine) {
	machine.NextCommandAt = m.Now + commandInterval
	if machine.Address == "" || machine.RecordChangePending() {
		return
	}
	late := machine.FirstHeartbeatAt > 0 && m.Now > machine.LastSeenAt+m.Settings.MaxHeartbeatInterval()
	commands := m.directCommands(machine)
	if !machine.TokenConfirmed || late || commands != nil {
		m.sendCommands(machine, commands)
	}
}

// directCommands returns the commands that are sent at once: stops of tasks that must
// stop and are not yet saving a checkpoint, and the first start of each task.
func (m *MachineManager) directCommands(machine *cluster.Machine) []api.Command {
	var commands []api.Command
	for _, id := range machine.TaskIDsCopy() {
		if len(commands) >= MaxCommands {
			break
		}
		job := m.cluster.Jobs[id.Job]
		task := job.Task(id.Index)
		switch {
		case m.shouldStartDirectly(machine, job, id.Index):
			task.DirectStartToken = m.cluster.FencingToken(machine)
			machine.HighestStartToken = max(machine.HighestStartToken, task.DirectStartToken)
			commands = append(commands, api.Command{Op: api.CommandStart, Task: id.String(), Attempt: task.Attempt})
		case m.shouldStopDirectly(job, task):
			grace := m.tasks.GraceSeconds(job, task)
			commands = append(commands, api.Command{Op: api.CommandStop, Task: id.String(), Attempt: task.Attempt, GraceS: &grace})
		}
	}
	return commands
}

// shouldStartDirectly reports whether a task waits for its first start and may be
// started.
func (m *MachineManager) shouldStartDirectly(machine *cluster.Machine, job *cluster.Job, index int) bool {
	task := job.Task(index)
	if task.Observed || task.DirectStartToken > 0 || job.Partition != machine.Record.Partition {
		return false
	}
	return !m.tasks.MustStop(job, task) && job.IsTaskCommitted(index) && m.tasks.MayStartOn(machine, job)
}

// shouldStopDirectly reports whether a task must stop, was reported by its worker, and is
// not yet saving a checkpoint.
func (m *MachineManager) shouldStopDirectly(job *cluster.Job, task *cluster.Task) bool {
	return task.Observed && task.ReportedState != api.TaskCheckpointing && m.tasks.MustStop(job, task)
}

// sendCommands sends direct commands. An empty list still raises the worker's fencing
// token.
func (m *MachineManager) sendCommands(machine *cluster.Machine, commands []api.Command) {
	machine.CommandInFlight = true
	if commands == nil {
		commands = []api.Command{}
	}
	body := api.CommandRequest{
		FencingToken: m.cluster.FencingToken(machine),
		Incarnation:  max(1, machine.Incarnation),
		Commands:     commands,
	}
	grant := m.storeLease.CommandGrant(m.cluster.Partitions[machine.Record.Partition].RoleState)
	m.Emit(message.SendCommands{
		Machine:     machine.Name,
		Addr:        machine.Address,
		StartsTasks: slices.ContainsFunc(commands, isStart),
		Body:        leadership.NewOrder(grant, body),
	})
}

func isStart(command api.Command) bool { return command.Op == api.CommandStart }

// ResolveDirectStarts updates the direct starts on a machine after the worker replied to
// the commands that carried them, or did not reply.
func (m *MachineManager) ResolveDirectStarts(machine *cluster.Machine, reply message.CommandReply) {
	if reply.Status == commandsUnanswered && reply.StartsTasks && !reply.Unsent {
		// The start may still be carried out minutes late. Once the worker has seen a
		// higher token, that is impossible.
		machine.MustRaiseToken = true
	}
	carriedOutNone := reply.Status == commandsRefused || reply.Unsent
	if !carriedOutNone {
		return
	}
	for _, task := range tasksOn(m.cluster, machine) {
		if task.DirectStartToken == reply.FencingToken {
			task.DirectStartToken = 0
		}
	}
}
