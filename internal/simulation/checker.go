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

// checker watches the rules of PROTOCOL from the world's side: what the
// workers do and what the users are told.
type checker struct {
	w      *World
	on     map[string][]*wtask // task → where it is
	broken []string
	starts int
	begun  map[string]micros.Micros  // job → its first start
	killed map[string]micros.Micros  // job → when its user was told it is cancelled
	ended  map[string]micros.Micros  // job → when its user was told it is over
	used   map[string]float64        // team → GPUs
	inZone map[string]map[string]int // job → zone → tasks
}

func newChecker(w *World) *checker {
	return &checker{w: w, on: map[string][]*wtask{}, begun: map[string]micros.Micros{}, killed: map[string]micros.Micros{}, ended: map[string]micros.Micros{},
		used: map[string]float64{}, inZone: map[string]map[string]int{}}
}

func (c *checker) breaks(rule, what string) {
	if len(c.broken) < 50 {
		c.w.say("BROKEN %s %s", rule, what)
		c.broken = append(c.broken, rule+": "+what)
	}
}

// started: a task has its image on a machine.
func (c *checker) started(wk *worker, t *wtask) {
	c.starts++
	if _, ok := c.begun[t.job]; !ok {
		c.begun[t.job] = c.w.now
	}
	for _, o := range c.on[t.id] {
		if o.w != wk {
			c.breaks("ran_twice", fmt.Sprintf("%s on %s and %s", t.id, o.w.name, wk.name))
		}
	}
	c.on[t.id] = append(c.on[t.id], t)
	if u := c.w.byID[t.job]; u != nil {
		for _, o := range u.needs {
			if !c.complete(o) {
				c.breaks("too_early", t.id+" started before "+o.id+" is done")
			}
		}
	}
	if at, ok := c.killed[t.job]; ok && c.w.now > at+micros.FromSeconds(c.w.sc.CancelS) {
		c.breaks("ran_cancelled", t.id+" started")
	}
	spec := c.w.truth[t.job].spec(0)
	if !allowed(spec, wk) {
		c.breaks("wrong_place", fmt.Sprintf("%s on %s in %s, spot %t", t.id, wk.typ.Name, wk.zone, wk.spot))
	}
	c.count(t, 1)
	c.zonesAndQuota(t, spec, wk.zone)
}

// allowed tells whether a job permits a machine's type, zone and kind.
func allowed(spec api.Job, wk *worker) bool {
	return (spec.Types == nil || spec.Types[0] == wk.typ.Name) && (spec.Zone == "" || spec.Zone == wk.zone) && (spec.Spot || !wk.spot)
}

// zonesAndQuota checks a job's zones and its team's limit with one task more.
func (c *checker) zonesAndQuota(t *wtask, spec api.Job, zone string) {
	inZone, used := c.inZone[t.job], c.used[spec.Team]
	if spec.OneZone && len(inZone) > 1 {
		c.breaks("wrong_place", t.id+" in a micros.Second zone")
	}
	if spec.Spread && inZone[zone] > (spec.Tasks+1)/2 {
		c.breaks("wrong_place", t.id+" makes too many in its zone")
	}
	for _, team := range c.w.sc.Teams {
		if team.Name == spec.Team && team.GPUsMax > 0 && used > team.GPUsMax+1e-9 {
			c.breaks("quota", fmt.Sprintf("%s uses %.0f GPUs", team.Name, used))
		}
	}
}

// count counts a task that is on its machine, or no more.
func (c *checker) count(t *wtask, by int) {
	spec := c.w.truth[t.job].spec(0)
	c.used[spec.Team] += float64(by) * spec.GPUs
	z := c.inZone[t.job]
	if z == nil {
		z = map[string]int{}
		c.inZone[t.job] = z
	}
	if z[t.w.zone] += by; z[t.w.zone] == 0 {
		delete(z, t.w.zone)
	}
}

func (c *checker) left(t *wtask) {
	for i, o := range c.on[t.id] {
		if o == t {
			c.count(t, -1)
			c.on[t.id] = append(c.on[t.id][:i:i], c.on[t.id][i+1:]...)
		}
	}
}

// submitted checks the answer to a submission, or to its repetition by a user who had
// been told of this final state when it asked.
func (c *checker) submitted(u *user, a *message.Answer, final api.JobState) {
	if a == nil {
		return
	}
	if u.accepted && (a.Status == 400 || a.Status == 422) {
		c.breaks("forgotten", fmt.Sprintf("%s submitted again: %d", u.id, a.Status))
	}
	if s, ok := a.Body.(api.JobStatus); ok && final == u.final {
		c.told(u, s.State)
	}
}

func (c *checker) polled(u *user, a *message.Answer) {
	if a == nil {
		return
	}
	if a.Status == 404 {
		c.breaks("forgotten", u.id+" answered 404")
	}
	if s, ok := a.Body.(api.JobStatus); ok && a.Status == 200 {
		u.heard = c.w.now
		c.told(u, s.State)
	}
}

func (c *checker) cancelled(u *user, state api.JobState) {
	if state != api.JobDone && state != api.JobCancelled {
		c.breaks("went_back", u.id+" cancelled, told "+string(state))
	}
	if c.told(u, state); state == api.JobCancelled {
		if _, ok := c.killed[u.id]; !ok {
			c.killed[u.id] = c.w.now
			if h := c.w.holder(c.w.sc.partOf(u)); h != nil && (h.refused || h.watchHangs || h.cut["store"] || h.cut["all"]) {
				c.w.happened("cancellations that the holder can't see")
			}
			c.w.after(micros.FromSeconds(c.w.sc.CancelS), func() {
				for n := range max(1, u.job.Tasks) {
					if id := fmt.Sprintf("%s/%d", u.id, n); len(c.on[id]) > 0 {
						c.breaks("ran_cancelled", id+" is still on "+c.on[id][0].w.name)
					}
				}
			})
		}
	}
}

// complete tells whether all tasks of a job have completed.
func (c *checker) complete(u *user) bool {
	for n := range max(1, u.job.Tasks) {
		if !c.w.results[fmt.Sprintf("%s/%d", u.id, n)] {
			return false
		}
	}
	return true
}

// before tells whether something holds of a job that u needs, directly or not.
func (u *user) before(f func(*user) bool) bool {
	return slices.ContainsFunc(u.needs, func(o *user) bool { return f(o) || o.before(f) })
}

// withdrawn tells whether a job that u needs is cancelled, or may be: its
// cancellation was asked for, and not answered with done.
func (u *user) withdrawn() bool {
	return u.before(func(o *user) bool { return o.asked && o.final != api.JobDone })
}

func (c *checker) told(u *user, state api.JobState) {
	if state == api.JobCancelled && !u.asked && !u.withdrawn() {
		c.breaks("went_back", u.id+" called cancelled though its user did not ask")
	}
	unfinished := state == api.JobPending || state == api.JobRunning
	if unfinished && u.before(c.longCancelled) {
		c.breaks("orphaned", u.id+" is called "+string(state))
	}
	if u.final != "" && state != u.final {
		c.breaks("went_back", u.id+" was "+string(u.final)+", now "+string(state))
	}
	if state == api.JobDone {
		for n := range max(1, u.job.Tasks) {
			if !c.w.results[fmt.Sprintf("%s/%d", u.id, n)] {
				c.breaks("not_done", fmt.Sprintf("%s/%d", u.id, n))
			}
		}
	}
	if (state == api.JobDone || state == api.JobCancelled) && u.final == "" {
		u.final, u.finalAt = state, c.w.now
		c.ended[u.id] = c.w.now
		u.closeLooks()
	}
	u.told = state
}

// longCancelled tells whether a user was told more than cancel_s ago that the job is
// cancelled.
func (c *checker) longCancelled(u *user) bool {
	at, ok := c.killed[u.id]
	return ok && c.w.now > at+micros.FromSeconds(c.w.sc.CancelS)
}

// atEnd checks what the scenario expects.
func (c *checker) atEnd(start micros.Micros) {
	if c.starts == 0 {
		c.breaks("nothing_ran", "no task was started")
	}
	c.budgets()
	c.counts()
	c.known()
	if !c.w.sc.Unserved {
		c.served()
	}
	for _, e := range c.w.sc.Expects {
		for k := range max(1, e.Count) {
			c.expected(e, fmt.Sprintf("wk-%06d", e.ID+k), start)
		}
	}
}

// budgets checks how much was asked of the services, and how many machines there were.
func (c *checker) budgets() {
	for _, n := range []struct {
		what      string
		had, most int
	}{
		{"changes", c.w.store.changes.sum, c.w.sc.MostChanges},
		{"requests to the store", c.w.store.reqs.sum, c.w.sc.MostRequests},
		{"calls of the cloud", c.w.cloud.calls, c.w.sc.MostCalls},
		{"machines rented", len(c.w.workers), c.w.sc.MostRented},
		{"requests waiting at a controller at a time", c.w.waiting, c.w.sc.MostWaiting},
		{"direct commands out at a time", c.w.pushing, c.w.sc.MostPushes},
		{"machines at a time, too few for the day", c.w.sc.LeastMachines - c.w.machines, 0},
	} {
		c.w.say("%d %s, %d and %d of the store refused", n.had, n.what, c.w.store.reqs.refused, c.w.store.changes.refused)
		if n.most > 0 && n.had > n.most || n.had > 0 && strings.Contains(n.what, "too few") {
			c.breaks("budget", fmt.Sprintf("%d %s, at most %d", n.had, n.what, n.most))
		}
	}
}

// counts checks how often what the scenario names happened.
func (c *checker) counts() {
	for _, what := range slices.Sorted(maps.Keys(c.w.sc.Least)) {
		if n := c.w.seen[what]; n < c.w.sc.Least[what] {
			c.breaks("scenario", fmt.Sprintf("%d %s, at least %d", n, what, c.w.sc.Least[what]))
		}
	}
	for _, what := range slices.Sorted(maps.Keys(c.w.sc.Most)) {
		if n := c.w.seen[what]; n > c.w.sc.Most[what] {
			c.breaks("scenario", fmt.Sprintf("%d %s, at most %d", n, what, c.w.sc.Most[what]))
		}
	}
	c.w.say("brought about: %v", c.w.seen)
}

// expected checks what became of one job, and when.
func (c *checker) expected(e Expected, id string, start micros.Micros) {
	for _, u := range c.w.users {
		if u.id != id {
			continue
		}
		if e.State == api.JobDone && u.told == api.JobCancelled && (u.calledOff || u.before(func(o *user) bool { return o.calledOff })) {
			continue // a trouble called it, or one that it needs, off
		}
		if u.told != e.State {
			c.breaks("expected", fmt.Sprintf("%s %s, is %q", id, e.State, u.told))
		} else if e.ByS > 0 && u.finalAt > start+micros.FromSeconds(e.ByS) {
			c.breaks("expected", fmt.Sprintf("%s by %.0f s, came at %.1f", id, e.ByS, (u.finalAt-start).Seconds()))
		}
	}
}

// known: once all troubles are over, no accepted job goes unanswered for 75 s.
func (c *checker) known() {
	for _, u := range c.w.users {
		from := max(u.heard, c.w.calm, u.sent+5*micros.Second)
		if u.accepted && u.final == "" && c.w.now > from+75*micros.Second {
			c.breaks("forgotten", fmt.Sprintf("%s: no question answered for %.0f s", u.id, (c.w.now-from).Seconds()))
		}
	}
}

// starving watches, once all troubles are over, for jobs that wait while a machine
// that fits has room and their team is under its limit.
func (c *checker) starving() {
	if c.w.now < c.w.calm {
		return
	}
	for _, u := range c.w.users {
		if !u.counts() || u.final != "" || u.before(func(o *user) bool { return o.final != api.JobDone }) || !c.fits(u) {
			u.roomSince = 0
			continue
		}
		if u.roomSince == 0 {
			u.roomSince = c.w.now
		}
		if c.w.now > u.roomSince+90*micros.Second {
			c.breaks("starved", u.id+" waits for 90 s beside room")
			u.roomSince = c.w.now
		}
	}
}

// fits tells whether a job has tasks that wait and that machines have room for:
// one of an array, all of a gang or service.
func (c *checker) fits(u *user) bool {
	spec := u.job.spec(0)
	waits, on := 0, 0
	for n := range spec.Tasks {
		id := fmt.Sprintf("%s/%d", u.id, n)
		switch {
		case len(c.on[id]) > 0:
			on++
		case !c.w.results[id]:
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
	for _, t := range c.w.sc.Teams {
		if t.Name == spec.Team && t.GPUsMax > 0 && c.used[t.Name]+float64(need)*spec.GPUs > t.GPUsMax+1e-9 {
			return false
		}
	}
	return c.roomFor(spec, need) >= need
}

// roomFor is for how many tasks of a job, up to need, the machines have room.
func (c *checker) roomFor(spec api.Job, need int) int {
	room := map[string]int{}
	sum := 0
	for _, wk := range c.w.workers {
		if !wk.well() || wk.noticeAt > 0 || !allowed(spec, wk) {
			continue
		}
		cpus, gpus := c.free(wk)
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

// free is what the tasks on a machine leave of it.
func (c *checker) free(wk *worker) (cpus, gpus float64) {
	cpus, gpus = wk.typ.CPUs, wk.typ.GPUs
	for _, t := range wk.tasks {
		if t.state != api.TaskExited {
			s := c.w.truth[t.job].spec(0)
			cpus, gpus = cpus-s.CPUs, gpus-s.GPUs
		}
	}
	return cpus, gpus
}

// served: at least half of every class, of every team and of every class's
// largest jobs is done, or runs if it is a service, and the largest began
// within four minutes.
func (c *checker) served() {
	largest := c.largest()
	all, got := map[string]int{}, map[string]int{}
	for _, u := range c.w.users {
		if !u.counts() {
			continue
		}
		spec := u.job.spec(0)
		groups := []string{"class " + spec.Class, "team " + spec.Team}
		began, ok := c.begun[u.id]
		if u.job.Tasks == largest[spec.Class] {
			groups = append(groups, "largest of "+spec.Class)
			if at := c.readyAt(u) + 240*micros.Second; c.w.now > at && (!ok || began > at) {
				c.breaks("late", u.id+" had not begun after four minutes")
			}
		}
		for _, g := range groups {
			all[g]++
			if u.final == api.JobDone || spec.Kind == api.Service && ok {
				got[g]++
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(all)) {
		if 2*got[g] < all[g] {
			c.breaks("unserved", fmt.Sprintf("%s: %d of %d", g, got[g], all[g]))
		}
	}
}

// counts tells whether a job was to be served: accepted, without a mistake, and
// not called off.
func (u *user) counts() bool {
	return u.accepted && !u.asked && !u.job.Bad && !u.withdrawn()
}

// largest is how many tasks the largest jobs of each class have.
func (c *checker) largest() map[string]int {
	most := map[string]int{}
	for _, u := range c.w.users {
		class := u.job.spec(0).Class
		most[class] = max(most[class], u.job.Tasks)
	}
	return most
}

// readyAt is when a job could begin: once all that it needs was over.
func (c *checker) readyAt(u *user) micros.Micros {
	ready := u.sent
	for _, o := range u.needs {
		at, ok := c.ended[o.id]
		if !ok {
			return c.w.now
		}
		ready = max(ready, at)
	}
	return ready
}
