package simulation

import (
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// startAfterCancelled is how long after a cancellation was confirmed, by any controller,
// starts of the job may still be sent.
const startAfterCancelled = 5 * micros.Second

// taskStarted is called when a task has its image on a machine.
func (c *invariantChecker) taskStarted(machine *worker, task *workerTask) {
	c.startCount++
	if _, ok := c.firstStart[task.job]; !ok {
		c.firstStart[task.job] = c.sim.now
	}
	for _, other := range c.running[task.id] {
		if other.worker != machine {
			c.violatedf(invariantRanTwice, "%s on %s and %s", task.id, other.worker.name, machine.name)
		}
	}
	c.running[task.id] = append(c.running[task.id], task)
	if owner := c.sim.usersByID[task.job]; owner != nil {
		for _, dependency := range owner.dependencies {
			if !c.completed(dependency) {
				c.violated(invariantTooEarly, task.id+" started before "+dependency.id+" is done")
			}
		}
	}
	if at, ok := c.cancelledAt[task.job]; ok && c.sim.now > at+c.cancelSpan() {
		c.violated(invariantRanCancelled, task.id+" started")
	}
	spec := c.sim.jobs[task.job].spec(0)
	if !permits(spec, machine) {
		c.violatedf(invariantWrongPlace, "%s on %s in %s, spot %t",
			task.id, machine.machineType.Name, machine.zone, machine.spot)
	}
	c.countTask(task, 1)
	c.checkZonesAndQuota(task, spec, machine.zone)
}

// permits reports whether a job permits a machine's type, zone and kind.
func permits(spec api.Job, machine *worker) bool {
	return (spec.Types == nil || spec.Types[0] == machine.machineType.Name) &&
		(spec.Zone == "" || spec.Zone == machine.zone) &&
		(spec.Spot || !machine.spot)
}

// checkZonesAndQuota checks a job's zones and its team's limit once a task more is counted.
func (c *invariantChecker) checkZonesAndQuota(task *workerTask, spec api.Job, zone string) {
	tasksInZone := c.tasksInZone[task.job]
	if spec.OneZone && len(tasksInZone) > 1 {
		c.violated(invariantWrongPlace, task.id+" in a second zone")
	}
	if spec.Spread && tasksInZone[zone] > spreadLimit(spec) {
		c.violated(invariantWrongPlace, task.id+" makes too many in its zone")
	}
	inUse := c.gpusInUse[spec.Team]
	if limit, ok := c.teamLimit(spec.Team); ok && inUse > limit+resourceTolerance {
		c.violatedf(invariantQuota, "%s uses %.0f GPUs", spec.Team, inUse)
	}
}

// spreadLimit is how many tasks of a job that is spread over the zones one zone may have.
func spreadLimit(spec api.Job) int { return (spec.Tasks + 1) / len(zones) }

// countTask counts a task that is on its machine, by 1, or no longer, by -1.
func (c *invariantChecker) countTask(task *workerTask, change int) {
	spec := c.sim.jobs[task.job].spec(0)
	c.gpusInUse[spec.Team] += float64(change) * spec.GPUs
	inZone := c.tasksInZone[task.job]
	if inZone == nil {
		inZone = map[string]int{}
		c.tasksInZone[task.job] = inZone
	}
	zone := task.worker.zone
	if inZone[zone] += change; inZone[zone] == 0 {
		delete(inZone, zone)
	}
}

// taskLeft is called when a task is no longer on its machine.
func (c *invariantChecker) taskLeft(task *workerTask) {
	attempts := c.running[task.id]
	for i, other := range attempts {
		if other == task {
			c.countTask(task, -1)
			c.running[task.id] = append(attempts[:i:i], attempts[i+1:]...)
		}
	}
}

// checkCommands checks commands as they leave a controller: no start of a job whose
// cancellation any controller confirmed some time ago.
func (c *invariantChecker) checkCommands(sender *node, commands []api.Command) {
	for _, command := range commands {
		job, _, _ := strings.Cut(command.Task, "/")
		at, cancelled := c.cancelledAt[job]
		if cancelled && command.Op == api.CommandStart && c.sim.now > at+startAfterCancelled {
			c.violatedf(invariantLateStartSent, "%s by %s, %.1f s after its cancellation was told",
				command.Task, sender.name, (c.sim.now - at).Seconds())
		}
	}
}
