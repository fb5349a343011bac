package simulation

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// starvedAfter is how long a job may wait beside room for it.
	starvedAfter = 90 * micros.Second
	// largestBeginWithin is within which time the largest jobs of a class must begin.
	largestBeginWithin = 240 * micros.Second
)

// checkStarvation looks, once all faults are over, for jobs that wait while a machine that
// fits has room and their team is under its limit.
func (c *invariantChecker) checkStarvation() {
	if c.sim.now < c.sim.faultsOverAt {
		return
	}
	for _, owner := range c.sim.users {
		if !c.waitsBesideRoom(owner) {
			owner.fitsSince = 0
			continue
		}
		if owner.fitsSince == 0 {
			owner.fitsSince = c.sim.now
		}
		if c.sim.now > owner.fitsSince+starvedAfter {
			c.violated(invariantStarved, owner.id+" waits for 90 s beside room")
			owner.fitsSince = c.sim.now
		}
	}
}

// waitsBesideRoom reports whether a job could begin: its dependencies are done, none of its
// tasks is on a machine, and there is room for it.
func (c *invariantChecker) waitsBesideRoom(owner *user) bool {
	if !owner.mustBeServed() || owner.finalState != "" {
		return false
	}
	notDone := func(dependency *user) bool { return dependency.finalState != api.JobDone }
	return !owner.anyDependency(notDone) && c.fitsNow(owner)
}

// fitsNow reports whether a job has waiting tasks, none on a machine, and the machines have
// room: for one task of an array, for all of a gang or service.
func (c *invariantChecker) fitsNow(owner *user) bool {
	spec := owner.job.spec(0)
	waiting := 0
	for index := range spec.Tasks {
		id := taskID(owner.id, index)
		if len(c.running[id]) > 0 {
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
	return c.roomFor(spec, needed) >= needed
}

// roomFor is for how many tasks of a job, up to a limit, the machines have room.
func (c *invariantChecker) roomFor(spec api.Job, limit int) int {
	inZone := map[string]int{}
	room := 0
	for _, machine := range c.sim.workers {
		if !machine.healthy() || machine.interruptionAt > 0 || !permits(spec, machine) {
			continue
		}
		cpus, gpus := c.freeResources(machine)
		for cpus >= spec.CPUs-resourceTolerance && gpus >= spec.GPUs-resourceTolerance && room < limit {
			cpus, gpus = cpus-spec.CPUs, gpus-spec.GPUs
			if spec.Spread && inZone[machine.zone] >= spreadLimit(spec) {
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

// freeResources is what the tasks on a machine leave of it.
func (c *invariantChecker) freeResources(machine *worker) (cpus, gpus float64) {
	cpus, gpus = machine.machineType.CPUs, machine.machineType.GPUs
	for _, task := range machine.tasks {
		if task.state != api.TaskExited {
			spec := c.sim.jobs[task.job].spec(0)
			cpus, gpus = cpus-spec.CPUs, gpus-spec.GPUs
		}
	}
	return cpus, gpus
}

// checkServed checks that at least half of every class, of every team and of every class's
// largest jobs is done, or has started if it is a service, and that the largest jobs began
// in time.
func (c *invariantChecker) checkServed() {
	largest := c.largestByClass()
	jobs, served := map[string]int{}, map[string]int{}
	for _, owner := range c.sim.users {
		if !owner.mustBeServed() {
			continue
		}
		spec := owner.job.spec(0)
		groups := []string{"class " + spec.Class, "team " + spec.Team}
		startedAt, started := c.firstStart[owner.id]
		if owner.job.Tasks == largest[spec.Class] {
			groups = append(groups, "largest of "+spec.Class)
			deadline := c.readyAt(owner) + largestBeginWithin
			if c.sim.now > deadline && (!started || startedAt > deadline) {
				c.violated(invariantLate, owner.id+" had not begun after four minutes")
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
			c.violatedf(invariantUnserved, "%s: %d of %d", group, served[group], jobs[group])
		}
	}
}

// largestByClass is how many tasks the largest jobs of each class have.
func (c *invariantChecker) largestByClass() map[string]int {
	largest := map[string]int{}
	for _, owner := range c.sim.users {
		class := owner.job.spec(0).Class
		largest[class] = max(largest[class], owner.job.Tasks)
	}
	return largest
}

// readyAt is when a job could begin: once its dependencies had ended.
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
