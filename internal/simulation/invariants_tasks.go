package simulation

import (
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// lateStartTolerance is how long controllers may still send starts of a job's tasks after any
// controller has confirmed its cancellation.
const lateStartTolerance = 5 * micros.Second

// taskStarted checks and counts a task that starts on a machine. It is called once the task's
// image is on the machine.
func (c *invariantChecker) taskStarted(machine *worker, task *workerTask) {
	c.startCount++
	if _, ok := c.firstStart[task.job]; !ok {
		c.firstStart[task.job] = c.sim.now
	}
	for _, other := range c.activeAttempts[task.id] {
		if other.worker != machine {
			c.reportf(invariantDoubleRun, "%s on %s and %s", task.id, other.worker.name, machine.name)
		}
	}
	c.activeAttempts[task.id] = append(c.activeAttempts[task.id], task)
	if owner := c.sim.usersByID[task.job]; owner != nil {
		for _, dependency := range owner.dependencies {
			if !c.completed(dependency) {
				c.report(invariantEarlyStart, task.id+" started before "+dependency.id+" is done")
			}
		}
	}
	if at, ok := c.cancelledAt[task.job]; ok && c.sim.now > at+c.cancelTimeout() {
		c.report(invariantCancelledJobRuns, task.id+" started")
	}
	spec := c.sim.specOf(task.job)
	if !permits(spec, machine) {
		c.reportf(invariantPlacement, "%s on %s in %s, spot %t",
			task.id, machine.machineType.Name, machine.zone, machine.spot)
	}
	c.countTask(task, 1)
	c.checkZonesAndQuota(task, spec, machine.zone)
}

// permits reports whether a job may run on a machine of this type, in its zone, and on a spot
// machine if it is one.
func permits(spec api.Job, machine *worker) bool {
	return (spec.Types == nil || spec.Types[0] == machine.machineType.Name) &&
		(spec.Zone == "" || spec.Zone == machine.zone) &&
		(spec.Spot || !machine.spot)
}

// checkZonesAndQuota checks the zones of a job's tasks and the limit of its team. It is called
// after a task that starts in the zone has been counted.
func (c *invariantChecker) checkZonesAndQuota(task *workerTask, spec api.Job, zone string) {
	tasksInZone := c.tasksInZone[task.job]
	if spec.OneZone && len(tasksInZone) > 1 {
		c.report(invariantPlacement, task.id+" in a second zone")
	}
	if spec.Spread && tasksInZone[zone] > maxTasksPerZone(spec) {
		c.report(invariantPlacement, task.id+" exceeds the limit of tasks in its zone")
	}
	inUse := c.gpusInUse[spec.Team]
	if limit, ok := c.teamLimit(spec.Team); ok && inUse > limit+resourceTolerance {
		c.reportf(invariantQuota, "%s uses %.0f GPUs", spec.Team, inUse)
	}
}

// maxTasksPerZone returns how many tasks of a job that is spread over the zones one zone may
// have.
func maxTasksPerZone(spec api.Job) int { return (spec.Tasks + 1) / len(zones) }

// countTask updates the GPUs in use by the team and the job's number of tasks in the zone. The
// delta is 1 for a task that becomes active on its machine, and -1 for one that no longer is.
func (c *invariantChecker) countTask(task *workerTask, delta int) {
	spec := c.sim.specOf(task.job)
	c.gpusInUse[spec.Team] += float64(delta) * spec.GPUs
	inZone := c.tasksInZone[task.job]
	if inZone == nil {
		inZone = map[string]int{}
		c.tasksInZone[task.job] = inZone
	}
	zone := task.worker.zone
	if inZone[zone] += delta; inZone[zone] == 0 {
		delete(inZone, zone)
	}
}

// outdatedHeartbeatText is the reason with which a controller refuses a heartbeat that is older
// than another message of the same worker.
const outdatedHeartbeatText = "a newer report was seen"

// checkNotOutdated checks the answer to a heartbeat: it must not be refused as outdated if the
// worker has sent nothing since and no copy of the heartbeat may have arrived before it.
func (c *invariantChecker) checkNotOutdated(call *heartbeatCall, answer message.Answer) {
	refusal, refused := answer.Body.(api.Error)
	isNewest := call.worker.sequence == call.sequence && !call.copied
	if refused && refusal.Error == outdatedHeartbeatText && isNewest {
		c.reportf(invariantNewestRefused, "%s heartbeat %d/%d by %s",
			call.worker.name, call.incarnation, call.sequence, call.node.name)
	}
}

// fewTasks is a number of tasks that fit into a heartbeat whatever their states.
const fewTasks = 300

// checkHeartbeatSize checks that a heartbeat is not larger than the body of a request may be. A
// worker with more tasks could not send it, and would lose its lease.
func (c *invariantChecker) checkHeartbeatSize(heartbeat *api.Heartbeat) {
	if len(heartbeat.Tasks) <= fewTasks {
		return
	}
	if size := len(mustMarshal(heartbeat)); size > api.MaxBodyBytes {
		c.reportf(invariantHeartbeatSize, "%s: %d tasks in %d bytes", heartbeat.Machine, len(heartbeat.Tasks), size)
	}
}

// taskRemoved stops counting a task that is no longer active on its machine.
func (c *invariantChecker) taskRemoved(task *workerTask) {
	attempts := c.activeAttempts[task.id]
	for i, other := range attempts {
		if other == task {
			c.countTask(task, -1)
			c.activeAttempts[task.id] = append(attempts[:i:i], attempts[i+1:]...)
		}
	}
}

// checkCommands checks commands as they leave a controller. They must not start a task of a job
// whose cancellation any controller confirmed longer than lateStartTolerance ago.
func (c *invariantChecker) checkCommands(sender *node, commands []api.Command) {
	for _, command := range commands {
		job, _, _ := strings.Cut(command.Task, "/")
		at, cancelled := c.cancelledAt[job]
		if cancelled && command.Op == api.CommandStart && c.sim.now > at+lateStartTolerance {
			c.reportf(invariantStartAfterCancellation, "%s by %s, %.1f s after its cancellation was confirmed",
				command.Task, sender.name, (c.sim.now - at).Seconds())
		}
	}
}
