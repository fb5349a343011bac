package simulation

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// starvationLimit is how long a job may wait while there is room for it.
	starvationLimit = 90 * micros.Second
	// largestJobStartLimit is the time within which the largest jobs of a class must start.
	largestJobStartLimit = 240 * micros.Second
)

// checkStarvation reports, once all faults are over, jobs that have waited for longer than
// starvationLimit although machines that they may use had room for them and their team was
// within its limit.
func (c *invariantChecker) checkStarvation() {
	if c.sim.now < c.sim.faultsOverAt {
		return
	}
	for _, owner := range c.sim.users {
		if !c.startable(owner) {
			owner.startableSince = 0
			continue
		}
		if owner.startableSince == 0 {
			owner.startableSince = c.sim.now
		}
		if c.sim.now > owner.startableSince+starvationLimit {
			c.report(invariantStarved, owner.id+" waits for 90 s while there is room for it")
			owner.startableSince = c.sim.now
		}
	}
}

// startable reports whether a job could start: its dependencies are done, none of its tasks is
// on a machine, and there is room for it.
func (c *invariantChecker) startable(owner *user) bool {
	if !owner.requiresService() || owner.finalState != "" {
		return false
	}
	notDone := func(dependency *user) bool { return dependency.finalState != api.JobDone }
	return !owner.anyDependency(notDone) && c.hasRoomFor(owner)
}

// hasRoomFor reports whether a job has waiting tasks and none on a machine, and the machines
// have room for it: for one task of an array, for all tasks of a gang or service.
func (c *invariantChecker) hasRoomFor(owner *user) bool {
	spec := owner.job.spec(0)
	waiting := 0
	for index := range spec.Tasks {
		id := taskID(owner.id, index)
		if len(c.activeAttempts[id]) > 0 {
			return false
		}
		if !c.sim.completedTasks[id] {
			waiting++
		}
	}
	if waiting == 0 {
		return false
	}
	needed := 1
	if spec.Kind != api.KindArray {
		needed = waiting
	}
	limit, limited := c.teamLimit(spec.Team)
	if limited && c.gpusInUse[spec.Team]+float64(needed)*spec.GPUs > limit+resourceTolerance {
		return false
	}
	return c.placeableTasks(spec, needed) >= needed
}

// placeableTasks returns how many tasks of a job the machines have room for, up to a limit.
func (c *invariantChecker) placeableTasks(spec api.Job, limit int) int {
	inZone := map[string]int{}
	room := 0
	for _, machine := range c.sim.workers {
		if !machine.healthy() || machine.interruptionAt > 0 || !permits(spec, machine) {
			continue
		}
		cpus, gpus := c.freeResources(machine)
		for cpus >= spec.CPUs-resourceTolerance && gpus >= spec.GPUs-resourceTolerance && room < limit {
			cpus, gpus = cpus-spec.CPUs, gpus-spec.GPUs
			if spec.Spread && inZone[machine.zone] >= maxTasksPerZone(spec) {
				break
			}
			inZone[machine.zone]++
			if spec.OneZone {
				room = max(room, inZone[machine.zone])
			} else {
				room++
			}
		}
	}
	return room
}

// freeResources returns the CPUs and GPUs of a machine that its tasks don't use.
func (c *invariantChecker) freeResources(machine *worker) (cpus, gpus float64) {
	cpus, gpus = machine.machineType.CPUs, machine.machineType.GPUs
	for _, task := range machine.tasks {
		if task.state != api.TaskExited {
			spec := c.sim.specOf(task.job)
			cpus, gpus = cpus-spec.CPUs, gpus-spec.GPUs
		}
	}
	return cpus, gpus
}

// checkServed checks that at least half of the jobs of every class, of every team and of every
// class's largest jobs are served: done, or started if they are services. It also checks that
// the largest jobs started in time.
func (c *invariantChecker) checkServed() {
	largest := c.maxTasksByClass()
	jobs, served := map[string]int{}, map[string]int{}
	for _, owner := range c.sim.users {
		if !owner.requiresService() {
			continue
		}
		spec := owner.job.spec(0)
		groups := []string{"class " + spec.Class, "team " + spec.Team}
		startedAt, started := c.firstStart[owner.id]
		if owner.job.Tasks == largest[spec.Class] {
			groups = append(groups, "largest of "+spec.Class)
			deadline := c.readyAt(owner) + largestJobStartLimit
			if c.sim.now > deadline && (!started || startedAt > deadline) {
				c.report(invariantLargestJobLate, owner.id+" had not started after four minutes")
			}
		}
		for _, group := range groups {
			jobs[group]++
			if owner.finalState == api.JobDone || spec.Kind == api.KindService && started {
				served[group]++
			}
		}
	}
	for _, group := range slices.Sorted(maps.Keys(jobs)) {
		if 2*served[group] < jobs[group] {
			c.reportf(invariantUnserved, "%s: %d of %d", group, served[group], jobs[group])
		}
	}
}

// maxTasksByClass returns the number of tasks of the largest jobs of each class.
func (c *invariantChecker) maxTasksByClass() map[string]int {
	largest := map[string]int{}
	for _, owner := range c.sim.users {
		class := owner.job.spec(0).Class
		largest[class] = max(largest[class], owner.job.Tasks)
	}
	return largest
}

// readyAt returns when a job could start: once it was submitted and its dependencies had ended.
// If a dependency has not ended, it returns the current time.
func (c *invariantChecker) readyAt(owner *user) micros.Micros {
	ready := owner.submittedAt
	for _, dependency := range owner.dependencies {
		at, ok := c.endedAt[dependency.id]
		if !ok {
			return c.sim.now
		}
		ready = max(ready, at)
	}
	return ready
}
