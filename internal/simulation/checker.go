package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// invariantChecker watches the rules of PROTOCOL from the world's side: what the
// workers do and what the users are told.
type invariantChecker struct {
	sim      *Simulation
	running     map[string][]*workerTask // task → where it is
	violations []string
	startCount int
	firstStart  map[string]micros.Micros  // job → its first start
	cancelledAt map[string]micros.Micros  // job → when its user was told it is cancelled
	endedAt  map[string]micros.Micros  // job → when its user was told it is over
	gpusInUse   map[string]float64        // team → GPUs
	tasksInZone map[string]map[string]int // job → zone → tasks
}

func newInvariantChecker(w *Simulation) *invariantChecker {
	return &invariantChecker{sim: w, running: map[string][]*workerTask{}, firstStart: map[string]micros.Micros{}, cancelledAt: map[string]micros.Micros{}, endedAt: map[string]micros.Micros{},
		gpusInUse: map[string]float64{}, tasksInZone: map[string]map[string]int{}}
}

func (c *invariantChecker) violated(rule, what string) {
	if len(c.violations) < 50 {
		c.sim.logf("BROKEN %s %s", rule, what)
		c.violations = append(c.violations, rule+": "+what)
	}
}

// taskStarted: a task has its image on a machine.
func (c *invariantChecker) taskStarted(wk *worker, t *workerTask) {
	c.startCount++
	if _, ok := c.firstStart[t.job]; !ok {
		c.firstStart[t.job] = c.sim.now
	}
	for _, o := range c.running[t.id] {
		if o.worker != wk {
			c.violated("ran_twice", fmt.Sprintf("%s on %s and %s", t.id, o.worker.name, wk.name))
		}
	}
	c.running[t.id] = append(c.running[t.id], t)
	if u := c.sim.usersByID[t.job]; u != nil {
		for _, o := range u.dependencies {
			if !c.completed(o) {
				c.violated("too_early", t.id+" started before "+o.id+" is done")
			}
		}
	}
	if at, ok := c.cancelledAt[t.job]; ok && c.sim.now > at+micros.FromSeconds(c.sim.scenario.CancelS) {
		c.violated("ran_cancelled", t.id+" started")
	}
	spec := c.sim.jobs[t.job].spec(0)
	if !allowed(spec, wk) {
		c.violated("wrong_place", fmt.Sprintf("%s on %s in %s, spot %t", t.id, wk.machineType.Name, wk.zone, wk.spot))
	}
	c.countTask(t, 1)
	c.zonesAndQuota(t, spec, wk.zone)
}

// allowed tells whether a job permits a machine's type, zone and kind.
func allowed(spec api.Job, wk *worker) bool {
	return (spec.Types == nil || spec.Types[0] == wk.machineType.Name) && (spec.Zone == "" || spec.Zone == wk.zone) && (spec.Spot || !wk.spot)
}

// zonesAndQuota checks a job's zones and its team's limit with one task more.
func (c *invariantChecker) zonesAndQuota(t *workerTask, spec api.Job, zone string) {
	inZone, used := c.tasksInZone[t.job], c.gpusInUse[spec.Team]
	if spec.OneZone && len(inZone) > 1 {
		c.violated("wrong_place", t.id+" in a micros.Second zone")
	}
	if spec.Spread && inZone[zone] > (spec.Tasks+1)/2 {
		c.violated("wrong_place", t.id+" makes too many in its zone")
	}
	for _, team := range c.sim.scenario.Teams {
		if team.Name == spec.Team && team.GPUsMax > 0 && used > team.GPUsMax+1e-9 {
			c.violated("quota", fmt.Sprintf("%s uses %.0f GPUs", team.Name, used))
		}
	}
}

// countTask counts a task that is on its machine, or no more.
func (c *invariantChecker) countTask(t *workerTask, by int) {
	spec := c.sim.jobs[t.job].spec(0)
	c.gpusInUse[spec.Team] += float64(by) * spec.GPUs
	z := c.tasksInZone[t.job]
	if z == nil {
		z = map[string]int{}
		c.tasksInZone[t.job] = z
	}
	if z[t.worker.zone] += by; z[t.worker.zone] == 0 {
		delete(z, t.worker.zone)
	}
}

func (c *invariantChecker) taskLeft(t *workerTask) {
	for i, o := range c.running[t.id] {
		if o == t {
			c.countTask(t, -1)
			c.running[t.id] = append(c.running[t.id][:i:i], c.running[t.id][i+1:]...)
		}
	}
}

// submissionAnswered checks the answer to a submission, or to its repetition by a user who had
// been told of this final state when it asked.
func (c *invariantChecker) submissionAnswered(u *user, a *message.Answer, final api.JobState) {
	if a == nil {
		return
	}
	if u.accepted && (a.Status == 400 || a.Status == 422) {
		c.violated("forgotten", fmt.Sprintf("%s submitted again: %d", u.id, a.Status))
	}
	if s, ok := a.Body.(api.JobStatus); ok && final == u.finalState {
		c.stateReported(u, s.State)
	}
}

func (c *invariantChecker) pollAnswered(u *user, a *message.Answer) {
	if a == nil {
		return
	}
	if a.Status == 404 {
		c.violated("forgotten", u.id+" answered 404")
	}
	if s, ok := a.Body.(api.JobStatus); ok && a.Status == 200 {
		u.lastAnswerAt = c.sim.now
		c.stateReported(u, s.State)
	}
}

func (c *invariantChecker) cancellationAnswered(u *user, state api.JobState) {
	if state != api.JobDone && state != api.JobCancelled {
		c.violated("went_back", u.id+" cancelled, told "+string(state))
	}
	if c.stateReported(u, state); state == api.JobCancelled {
		if _, ok := c.cancelledAt[u.id]; !ok {
			c.cancelledAt[u.id] = c.sim.now
			if h := c.sim.leaderOf(c.sim.scenario.partitionOf(u)); h != nil && (h.refusedByStore || h.watchStalled || h.cutLinks["store"] || h.cutLinks["all"]) {
				c.sim.countOccurrence("cancellations that the holder can't see")
			}
			c.sim.after(micros.FromSeconds(c.sim.scenario.CancelS), func() {
				for n := range max(1, u.job.Tasks) {
					if id := fmt.Sprintf("%s/%d", u.id, n); len(c.running[id]) > 0 {
						c.violated("ran_cancelled", id+" is still on "+c.running[id][0].worker.name)
					}
				}
			})
		}
	}
}

// completed tells whether all tasks of a job have completed.
func (c *invariantChecker) completed(u *user) bool {
	for n := range max(1, u.job.Tasks) {
		if !c.sim.completedTasks[fmt.Sprintf("%s/%d", u.id, n)] {
			return false
		}
	}
	return true
}

// anyDependency tells whether something holds of a job that u needs, directly or not.
func (u *user) anyDependency(f func(*user) bool) bool {
	return slices.ContainsFunc(u.dependencies, func(o *user) bool { return f(o) || o.anyDependency(f) })
}

// dependencyCancelled tells whether a job that u needs is cancelled, or may be: its
// cancellation was asked for, and not answered with done.
func (u *user) dependencyCancelled() bool {
	return u.anyDependency(func(o *user) bool { return o.cancelRequested && o.finalState != api.JobDone })
}

func (c *invariantChecker) stateReported(u *user, state api.JobState) {
	if state == api.JobCancelled && !u.cancelRequested && !u.dependencyCancelled() {
		c.violated("went_back", u.id+" called cancelled though its user did not ask")
	}
	unfinished := state == api.JobPending || state == api.JobRunning
	if unfinished && u.anyDependency(c.longCancelled) {
		c.violated("orphaned", u.id+" is called "+string(state))
	}
	if u.finalState != "" && state != u.finalState {
		c.violated("went_back", u.id+" was "+string(u.finalState)+", now "+string(state))
	}
	if state == api.JobDone {
		for n := range max(1, u.job.Tasks) {
			if !c.sim.completedTasks[fmt.Sprintf("%s/%d", u.id, n)] {
				c.violated("not_done", fmt.Sprintf("%s/%d", u.id, n))
			}
		}
	}
	if (state == api.JobDone || state == api.JobCancelled) && u.finalState == "" {
		u.finalState, u.finalAt = state, c.sim.now
		c.endedAt[u.id] = c.sim.now
		u.queryAllNodes()
	}
	u.lastState = state
}

// longCancelled tells whether a user was told more than cancel_s ago that the job is
// cancelled.
func (c *invariantChecker) longCancelled(u *user) bool {
	at, ok := c.cancelledAt[u.id]
	return ok && c.sim.now > at+micros.FromSeconds(c.sim.scenario.CancelS)
}

// checkAtEnd checks what the scenario expects.
func (c *invariantChecker) checkAtEnd(start micros.Micros) {
	if c.startCount == 0 {
		c.violated("nothing_ran", "no task was started")
	}
	c.checkBudgets()
	c.checkOccurrences()
	c.checkAnswered()
	if !c.sim.scenario.MayLeaveUnserved {
		c.checkServed()
	}
	for _, e := range c.sim.scenario.Expectations {
		for k := range max(1, e.Count) {
			c.checkExpectation(e, fmt.Sprintf("wk-%06d", e.ID+k), start)
		}
	}
}

// checkBudgets checks how much was asked of the services, and how many machines there were.
func (c *invariantChecker) checkBudgets() {
	for _, n := range []struct {
		what      string
		had, most int
	}{
		{"changes", c.sim.store.writes.admitted, c.sim.scenario.MaxWrites},
		{"requests to the store", c.sim.store.requests.admitted, c.sim.scenario.MaxStoreRequests},
		{"calls of the cloud", c.sim.cloud.calls, c.sim.scenario.MaxCloudCalls},
		{"machines rented", len(c.sim.workers), c.sim.scenario.MaxLaunched},
		{"requests waiting at a controller at a time", c.sim.peakWaiting, c.sim.scenario.MaxWaiting},
		{"direct commands out at a time", c.sim.peakCommandsInFlight, c.sim.scenario.MaxCommandsInFlight},
		{"machines at a time, too few for the day", c.sim.scenario.MinMachines - c.sim.peakMachines, 0},
	} {
		c.sim.logf("%d %s, %d and %d of the store refused", n.had, n.what, c.sim.store.requests.refused, c.sim.store.writes.refused)
		if n.most > 0 && n.had > n.most || n.had > 0 && strings.Contains(n.what, "too few") {
			c.violated("budget", fmt.Sprintf("%d %s, at most %d", n.had, n.what, n.most))
		}
	}
}

// checkOccurrences checks how often what the scenario names happened.
func (c *invariantChecker) checkOccurrences() {
	for _, what := range slices.Sorted(maps.Keys(c.sim.scenario.AtLeast)) {
		if n := c.sim.occurrences[what]; n < c.sim.scenario.AtLeast[what] {
			c.violated("scenario", fmt.Sprintf("%d %s, at least %d", n, what, c.sim.scenario.AtLeast[what]))
		}
	}
	for _, what := range slices.Sorted(maps.Keys(c.sim.scenario.AtMost)) {
		if n := c.sim.occurrences[what]; n > c.sim.scenario.AtMost[what] {
			c.violated("scenario", fmt.Sprintf("%d %s, at most %d", n, what, c.sim.scenario.AtMost[what]))
		}
	}
	c.sim.logf("brought about: %v", c.sim.occurrences)
}

// checkExpectation checks what became of one job, and when.
func (c *invariantChecker) checkExpectation(e Expectation, id string, start micros.Micros) {
	for _, u := range c.sim.users {
		if u.id != id {
			continue
		}
		if e.State == api.JobDone && u.lastState == api.JobCancelled && (u.cancelledByFault || u.anyDependency(func(o *user) bool { return o.cancelledByFault })) {
			continue // a trouble called it, or one that it needs, off
		}
		if u.lastState != e.State {
			c.violated("expected", fmt.Sprintf("%s %s, is %q", id, e.State, u.lastState))
		} else if e.ByS > 0 && u.finalAt > start+micros.FromSeconds(e.ByS) {
			c.violated("expected", fmt.Sprintf("%s by %.0f s, came at %.1f", id, e.ByS, (u.finalAt-start).Seconds()))
		}
	}
}

// checkAnswered: once all troubles are over, no accepted job goes unanswered for 75 s.
func (c *invariantChecker) checkAnswered() {
	for _, u := range c.sim.users {
		from := max(u.lastAnswerAt, c.sim.faultsOverAt, u.submittedAt+5*micros.Second)
		if u.accepted && u.finalState == "" && c.sim.now > from+75*micros.Second {
			c.violated("forgotten", fmt.Sprintf("%s: no question answered for %.0f s", u.id, (c.sim.now-from).Seconds()))
		}
	}
}

// checkStarvation watches, once all troubles are over, for jobs that wait while a machine
// that fits has room and their team is under its limit.
func (c *invariantChecker) checkStarvation() {
	if c.sim.now < c.sim.faultsOverAt {
		return
	}
	for _, u := range c.sim.users {
		if !u.mustBeServed() || u.finalState != "" || u.anyDependency(func(o *user) bool { return o.finalState != api.JobDone }) || !c.fitsNow(u) {
			u.fitsSince = 0
			continue
		}
		if u.fitsSince == 0 {
			u.fitsSince = c.sim.now
		}
		if c.sim.now > u.fitsSince+90*micros.Second {
			c.violated("starved", u.id+" waits for 90 s beside room")
			u.fitsSince = c.sim.now
		}
	}
}

// fitsNow tells whether a job has tasks that wait and that machines have room for:
// one of an array, all of a gang or service.
func (c *invariantChecker) fitsNow(u *user) bool {
	spec := u.job.spec(0)
	waits, on := 0, 0
	for n := range spec.Tasks {
		id := fmt.Sprintf("%s/%d", u.id, n)
		switch {
		case len(c.running[id]) > 0:
			on++
		case !c.sim.completedTasks[id]:
			waits++
		}
	}
	if waits == 0 || on > 0 {
		return false // it runs
	}
	need := 1
	if spec.Kind != api.Array {
		need = waits
	}
	for _, t := range c.sim.scenario.Teams {
		if t.Name == spec.Team && t.GPUsMax > 0 && c.gpusInUse[t.Name]+float64(need)*spec.GPUs > t.GPUsMax+1e-9 {
			return false
		}
	}
	return c.roomFor(spec, need) >= need
}

// roomFor is for how many tasks of a job, up to need, the machines have room.
func (c *invariantChecker) roomFor(spec api.Job, need int) int {
	room := map[string]int{}
	sum := 0
	for _, wk := range c.sim.workers {
		if !wk.healthy() || wk.interruptionAt > 0 || !allowed(spec, wk) {
			continue
		}
		cpus, gpus := c.freeResources(wk)
		for cpus >= spec.CPUs-1e-9 && gpus >= spec.GPUs-1e-9 && sum < need {
			cpus, gpus = cpus-spec.CPUs, gpus-spec.GPUs
			if spec.Spread && room[wk.zone] >= (spec.Tasks+1)/2 {
				break
			}
			room[wk.zone]++
			if !spec.OneZone {
				sum++
			} else {
				sum = max(sum, room[wk.zone])
			}
		}
	}
	return sum
}

// freeResources is what the tasks on a machine leave of it.
func (c *invariantChecker) freeResources(wk *worker) (cpus, gpus float64) {
	cpus, gpus = wk.machineType.CPUs, wk.machineType.GPUs
	for _, t := range wk.tasks {
		if t.state != api.TaskExited {
			s := c.sim.jobs[t.job].spec(0)
			cpus, gpus = cpus-s.CPUs, gpus-s.GPUs
		}
	}
	return cpus, gpus
}

// checkServed: at least half of every class, of every team and of every class's
// largest jobs is done, or runs if it is a service, and the largest began
// within four minutes.
func (c *invariantChecker) checkServed() {
	largest := c.largestByClass()
	all, got := map[string]int{}, map[string]int{}
	for _, u := range c.sim.users {
		if !u.mustBeServed() {
			continue
		}
		spec := u.job.spec(0)
		groups := []string{"class " + spec.Class, "team " + spec.Team}
		began, ok := c.firstStart[u.id]
		if u.job.Tasks == largest[spec.Class] {
			groups = append(groups, "largest of "+spec.Class)
			if at := c.readyAt(u) + 240*micros.Second; c.sim.now > at && (!ok || began > at) {
				c.violated("late", u.id+" had not begun after four minutes")
			}
		}
		for _, g := range groups {
			all[g]++
			if u.finalState == api.JobDone || spec.Kind == api.Service && ok {
				got[g]++
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(all)) {
		if 2*got[g] < all[g] {
			c.violated("unserved", fmt.Sprintf("%s: %d of %d", g, got[g], all[g]))
		}
	}
}

// mustBeServed tells whether a job was to be served: accepted, without a mistake, and
// not called off.
func (u *user) mustBeServed() bool {
	return u.accepted && !u.cancelRequested && !u.job.AlwaysFails && !u.dependencyCancelled()
}

// largestByClass is how many tasks the largest jobs of each class have.
func (c *invariantChecker) largestByClass() map[string]int {
	most := map[string]int{}
	for _, u := range c.sim.users {
		class := u.job.spec(0).Class
		most[class] = max(most[class], u.job.Tasks)
	}
	return most
}

// readyAt is when a job could begin: once all that it needs was over.
func (c *invariantChecker) readyAt(u *user) micros.Micros {
	ready := u.submittedAt
	for _, o := range u.dependencies {
		at, ok := c.endedAt[o.id]
		if !ok {
			return c.sim.now
		}
		ready = max(ready, at)
	}
	return ready
}
