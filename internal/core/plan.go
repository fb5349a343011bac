package core

import (
	"cmp"
	"slices"

	"spurmoor/internal/peer"
	"spurmoor/internal/sched"
	"spurmoor/internal/settings"
	"spurmoor/internal/wire"
)

// early wants a cycle no later than d from now.
func (c *Core) early(d int64) {
	if at := c.now + d; c.wantCycle == 0 || at < c.wantCycle {
		c.wantCycle = at
	}
}

// cycle ranks and places for every part that we hold: every cycle_s, and
// early when something arrived or ended.
func (c *Core) cycle() {
	if !c.synced || c.now < c.cycleAt && (c.wantCycle == 0 || c.now < c.wantCycle) {
		return
	}
	if c.now < c.planAt {
		return // an early cycle is not a cycle for each report
	}
	c.cycleAt, c.wantCycle = c.now+secs(c.set.Ops.CycleS), 0
	c.planAt = c.now + planGap(len(c.machines), len(c.jobs))
	c.asks = nil
	c.why, c.ends = map[string]string{}, map[string]int64{}
	if len(c.types) == 0 {
		return
	}
	c.urgencies()
	c.promise()
	for _, p := range c.parts {
		if p.held {
			c.plan(p)
		}
	}
}

// promise works out, for all parts, which machines are kept for gangs of which
// nothing runs though a quarter of begin_within_s is over. Until half of it is,
// only for those that can't have their machines sooner by stopping others.
func (c *Core) promise() {
	c.promised = map[string]sched.Promised{}
	var due []*sched.Job
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if j.spec.Kind != wire.Gang || j.over || j.halted() || j.open > 0 || j.begun() || c.now < j.from()+secs(c.set.Ops.BeginWithinS/4) ||
			c.outOfTurn(j) || c.now < j.holdOff || c.parts[j.part].ver == 0 {
			continue
		}
		if j.promisedAt > 0 && c.now > j.promisedAt+secs(c.set.Ops.BeginWithinS) {
			// Something that we do not know keeps it: others' turn for as long,
			// else machines would be held for it without end.
			j.promisedAt, j.unpromised = 0, c.now+secs(c.set.Ops.BeginWithinS)
		}
		if c.now < j.unpromised {
			continue
		}
		sj := c.shown(j)
		sj.Pending = j.spec.Tasks
		due = append(due, sj)
	}
	if due == nil {
		return
	}
	var list []*sched.Machine
	for _, m := range c.order {
		if m.typ == nil || m.rec.Gone || m.faulty || m.notice > 0 || m.deaf > 0 || c.ours(m) != nil && c.overdue(m) {
			continue
		}
		sm := c.shownMachine(m)
		// Whether another's machine is up is not in the mirror: by its age.
		sm.Usable = m.upAt > 0 || c.ours(m) == nil && (len(m.on) > 0 || c.now > m.bornAt+secs(1.5*m.typ.BootS))
		sm.ReadyAt = max(c.now, m.bornAt+secs(m.typ.BootS))
		c.uses(sm, m, nil)
		list = append(list, sm)
	}
	c.promised = sched.Promise(c.now, c.now-secs(c.set.Ops.BeginWithinS/2), list, due)
	kept := map[string]bool{}
	for _, pr := range c.promised {
		kept[pr.Job.ID] = true
		if j := c.jobs[pr.Job.ID]; j.promisedAt == 0 {
			j.promisedAt = c.now
		}
	}
	for _, sj := range due {
		if !kept[sj.ID] {
			c.jobs[sj.ID].promisedAt = 0
		}
	}
}

// promisedTo is the part whose gang a machine is kept for; -1: none.
func (c *Core) promisedTo(m *machine) int {
	if pr, ok := c.promised[m.name]; ok {
		if j := c.jobs[pr.Job.ID]; j != nil && j.nPlaced+j.nDone == 0 && !j.cancelled && !j.over {
			return j.part
		}
	}
	return -1
}

// shown shows a job to the planner.
func (c *Core) shown(j *job) *sched.Job {
	sj := &sched.Job{ID: j.id, Spec: &j.spec, Need: j.need, Tier: c.tier(j), At: j.from(), Due: c.urgent[j.id].due, InZone: map[string]int{}, Avoid: j.avoid,
		Deprior: c.outOfTurn(j), Begun: j.begun()}
	for z, n := range j.zones {
		sj.InZone[z] = n
	}
	return sj
}

// shownMachine shows a machine to the planner, without what runs on it.
func (c *Core) shownMachine(m *machine) *sched.Machine {
	total := sched.ResOf(m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB)
	return &sched.Machine{Name: m.name, Type: m.typ, Zone: m.rec.Zone, Spot: m.rec.Spot, Total: total, Free: total.Add(m.used, -1), Claim: m.claim}
}

// planGap is the least time between cycles: it grows with what a plan looks
// at, so that planning takes a bounded share of the processor.
func planGap(machines, jobs int) int64 {
	return Second/10 + int64(machines)*Second/2500 + int64(jobs)*Second/2500
}

// lately is how long ago a machine may have been heard to be given work.
func (c *Core) lately() int64 { return max(8*Second, secs(1.6*c.set.Facts.Workers.ReportS)) }

// busyFor is when a task on a machine is expected to end.
func (c *Core) busyFor(j *job, t *task, m *machine) int64 {
	est := secs(j.spec.EstimateS)
	end := t.placedAt + est + secs(j.spec.ImageGB/max(0.01, m.typ.FetchGBs))
	if t.since > 0 {
		end = t.since + est
	}
	if t.leaving > 0 {
		end = min(end, t.leaving+secs(t.grace+1))
	}
	// Overdue: the estimate was wrong; the longer it lasts the longer it may.
	return max(end, c.now+Second+(c.now-t.placedAt)/5)
}

// isNew tells whether stopping a task would undo its start: users count only
// starts that last for half a minute.
func (c *Core) isNew(t *task) bool { return c.now < t.placedAt+30*Second }

func (c *Core) lostBy(j *job, t *task) int64 {
	if j.spec.CheckpointS > 0 {
		return secs(j.spec.SaveS) + secs(5)
	}
	if t.since == 0 {
		return (c.now - t.placedAt) / 2
	}
	return c.now - t.since
}

// view shows a part to the planner.
func (c *Core) view(p *part) (*sched.View, map[string]*job) {
	v := &sched.View{Now: c.now, Types: c.types, Teams: map[string]*sched.Team{}, Refused: map[sched.Kind]bool{}, Ops: &c.set.Ops, Aims: map[string][]settings.Objective{}}
	for _, o := range c.set.Facts.Objectives {
		v.Aims[o.Class] = append(v.Aims[o.Class], o)
	}
	for _, t := range c.set.Facts.Teams {
		v.Teams[t.Name] = c.team(t.Name)
	}
	for k, until := range c.refused {
		if c.now < until {
			v.Refused[k] = true
		} else {
			delete(c.refused, k)
		}
	}
	jobs := map[string]*job{}
	shown := map[string]*sched.Job{}
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if j.part != p.idx || j.over || j.halted() || j.open > 0 {
			continue
		}
		sj := c.shown(j)
		if c.now >= j.holdOff && !(j.spec.Kind == wire.Gang && j.nPlaced > 0 && !j.gathering()) {
			sj.Pending = len(j.waiting(c.now, c.mostToPlace(j)))
		}
		jobs[id], shown[id] = j, sj
		v.Jobs = append(v.Jobs, sj)
	}
	used := make([]float64, len(c.parts)) // money's worth of machines
	for _, m := range c.machines {
		if m.typ != nil && m.rec.Cur >= 0 && m.rec.Cur < len(used) && !m.rec.Gone {
			used[m.rec.Cur] += m.typ.Price
		}
	}
	for _, m := range c.order {
		name := m.name
		if m.typ == nil || m.rec.Gone || m.faulty || m.notice > 0 {
			continue
		}
		sm := c.shownMachine(m)
		if to := c.promisedTo(m); to >= 0 {
			pr := c.promised[name]
			if sj := shown[pr.Job.ID]; sj != nil {
				pr.Job = sj // the view's own
			}
			sm.Claim, sm.Promised = "", &pr
			if m.rec.Cur != p.idx {
				if to == p.idx {
					// It is being emptied for us.
					sm.Foreign, sm.Free, sm.ReadyAt = true, sm.Total, max(c.now, pr.At)
					v.Machines = append(v.Machines, sm)
				}
				continue
			}
		}
		if m.claim != "" && c.now > m.claimTo {
			m.claim, sm.Claim = "", ""
		}
		if m.rec.Cur != p.idx {
			switch {
			case c.idleAbroad(name):
				sm.Borrowable, sm.ReadyAt = true, c.now+2*Second
			case m.rec.Home == p.idx && m.claim == "":
				// Lent out: ours again once its tasks have ended.
				c.uses(sm, m, shown)
				sm.ReadyAt = c.now + 2*Second
				for _, u := range sm.Uses {
					sm.ReadyAt = max(sm.ReadyAt, u.End)
				}
				sm.Foreign, sm.Lent, sm.Fair = true, true, 2*used[p.idx] < used[m.rec.Cur]
			case len(m.on) > 0:
				sm.Foreign, sm.ReadyAt = true, c.now+5*Second
				if m.claim != "" {
					sm.Free = sm.Total // it is being emptied for us
				}
				c.uses(sm, m, shown)
			default:
				continue
			}
			v.Machines = append(v.Machines, sm)
			continue
		}
		if m.busy() || m.moveTo >= 0 {
			continue
		}
		for _, i := range m.images {
			sm.Images = append(sm.Images, i.name)
		}
		sm.Usable = m.ready && m.deaf == 0 && c.now < m.seenAt+c.lately() && !c.mute(m)
		switch {
		case sm.Usable:
		case m.upAt == 0 && !c.overdue(m):
			sm.ReadyAt = max(c.now+2*Second, m.bornAt+secs(m.typ.BootS))
		case m.upAt > 0 && m.deaf == 0 && c.now < m.seenAt+c.lately() && !c.mute(m):
			sm.ReadyAt = c.now + 3*Second
		default:
			continue
		}
		c.uses(sm, m, shown)
		v.Machines = append(v.Machines, sm)
	}
	kinds := make([]sched.Kind, 0, len(p.rents))
	for k := range p.rents {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b sched.Kind) int { return cmp.Compare(kindName(a).String(), kindName(b).String()) })
	for _, k := range kinds {
		if t := c.typeOf[k.Type]; t != nil {
			total := sched.ResOf(t.CPUs, t.GPUs, t.MemoryGB)
			for range p.rents[k] {
				v.Machines = append(v.Machines, &sched.Machine{Type: t, Zone: k.Zone, Spot: k.Spot, Total: total, Free: total, ReadyAt: c.now + secs(t.BootS)})
			}
		}
	}
	return v, jobs
}

// uses shows the planner what runs on a machine.
func (c *Core) uses(sm *sched.Machine, m *machine, shown map[string]*sched.Job) {
	for _, id := range m.tasks() {
		j := c.jobs[id.job]
		t := j.task(id.n)
		sj := shown[id.job]
		if sj == nil && !j.cancelled {
			sj = &sched.Job{ID: id.job, Spec: &j.spec, Need: j.need, Tier: c.tier(j)}
		}
		u := sched.Use{Job: sj, Index: id.n, Need: j.need, End: c.now + 3*Second}
		if sj != nil {
			u.End, u.Lost, u.Leaving, u.New = c.busyFor(j, t, m), c.lostBy(j, t), t.leaving > 0, c.isNew(t)
		}
		sm.Uses = append(sm.Uses, u)
	}
}

// waiting lists tasks that may be placed now.
func (j *job) waiting(now int64, most int) []int {
	var list []int
	for k := 0; k*chunkSize < j.spec.Tasks; k++ {
		ch := j.chunks[k]
		for n := k * chunkSize; n < min(j.spec.Tasks, (k+1)*chunkSize); n++ {
			if len(list) >= most && j.spec.Kind != wire.Gang {
				return list
			}
			if ch == nil {
				list = append(list, n)
			} else if t := &ch[n%chunkSize]; t.state == queued && now >= t.holdOff {
				list = append(list, n)
			}
		}
	}
	// A gang starts whole; but once one of its tasks is done all are, and what
	// a lost machine could not report any more is only asked for again.
	if j.spec.Kind == wire.Gang && len(list)+j.nDone < j.spec.Tasks && !j.gathering() {
		return nil
	}
	return list
}

// plan makes and carries out one part's plan.
func (c *Core) plan(p *part) {
	v, jobs := c.view(p)
	plan := sched.Make(v)
	next, gangAttempt := map[string][]int{}, map[string]uint64{}
	for _, s := range plan.Starts {
		j := jobs[s.Job.ID]
		if _, ok := next[j.id]; !ok {
			next[j.id] = j.waiting(c.now, placeMost)
			if j.spec.Kind == wire.Gang {
				gangAttempt[j.id] = j.lastAttempt()
				if !j.gathering() {
					gangAttempt[j.id]++
				}
				j.placing = true
			}
		}
		n := next[j.id][0]
		next[j.id] = next[j.id][1:]
		attempt := uint64(1)
		if t := j.task(n); t != nil {
			attempt = t.attempt + 1
		}
		if j.spec.Kind == wire.Gang {
			attempt = gangAttempt[j.id]
		}
		c.change(j, n, standing{placed, attempt, s.Machine.Name})
		c.log(-4, "task placed", "job", j.id, "task", n, "attempt", attempt, "machine", s.Machine.Name, "waited_s", (c.now-j.from())/Second)
		if m := c.machines[s.Machine.Name]; m.claim == j.id {
			m.claim = ""
		}
	}
	for _, e := range plan.Evictions {
		m := c.machines[e.Machine.Name]
		again := m.claim == e.For.ID
		m.claim, m.claimTo, m.claimG = e.For.ID, c.now+40*Second, e.Guaranteed
		if again {
			continue
		}
		if e.Machine.Foreign {
			c.info("machine asked for", "for", e.For.ID, "machine", m.name, "part", m.rec.Cur, "tasks", len(e.Uses))
			continue
		}
		c.info("room made", "for", e.For.ID, "machine", m.name, "tasks", len(e.Uses))
		for _, u := range e.Uses {
			j := c.jobs[u.Job.ID]
			c.leave(j, j.task(u.Index), "room for "+e.For.ID)
		}
	}
	for _, r := range plan.Rentals {
		c.rent(p, r.Kind, r.Count)
	}
	for _, m := range plan.Borrow {
		rec := c.machines[m.Name].rec
		c.asks = append(c.asks, peer.Ask{Machine: m.Name, Part: p.idx, Reclaim: rec.Home == p.idx})
	}
	for _, m := range c.order {
		// Asked again until it comes: a message may be lost.
		if m.claim != "" && m.rec.Cur != p.idx && jobs[m.claim] != nil {
			c.asks = append(c.asks, peer.Ask{Machine: m.name, Part: p.idx, Tier: wire.Tier(jobs[m.claim].spec.Priority), Lent: c.tier(jobs[m.claim]), Guaranteed: m.claimG})
		}
	}
	if m := c.spare(p, jobs, plan.Why); m != nil {
		c.asks = append(c.asks, peer.Ask{Machine: m.name, Part: p.idx, Spare: true})
	}
	if len(c.asks) > 0 {
		c.heartbeatAt = c.now
		c.heed(c.asks)
	}
	p.short = len(plan.Why) > 0
	for id, why := range plan.Why {
		c.why[id] = why
	}
	for id, end := range plan.Ends {
		if jobs[id] != nil {
			c.ends[id] = end
		}
	}
}

// spare is a machine of another part with room for a job of ours that nothing can
// be rented for, and of which nothing has begun after a sixth of begin_within_s.
// A machine has one holder, so room beside another part's tasks is no use to us: in
// a small, full cluster a team under its limit waited for two minutes beside it.
// It is asked for to be given when its tasks have ended; one at a time.
func (c *Core) spare(p *part, jobs map[string]*job, why map[string]string) *machine {
	var first *job
	for _, id := range sorted(jobs) {
		j := jobs[id]
		if why[id] == sched.NothingToRent && !j.begun() && (j.spec.Kind == wire.Array || j.spec.Tasks == 1) &&
			c.now > j.from()+secs(c.set.Ops.BeginWithinS/6) && !c.outOfTurn(j) && (first == nil || j.at < first.at) {
			first = j
		}
	}
	if first == nil {
		p.spare = ""
		return nil
	}
	var best *machine
	var soonest int64
	for _, m := range c.order {
		if m.rec.Cur == p.idx || m.typ == nil || m.rec.Gone || m.claim != "" || first.avoid[m.name] || c.promisedTo(m) >= 0 ||
			!sched.Allowed(&first.spec, m.rec.Type, m.rec.Zone, m.rec.Spot) {
			continue
		}
		sm := c.shownMachine(m)
		if !sm.Free.Fits(first.need) {
			if m.name == p.spare {
				return m // what was asked for goes on emptying
			}
			continue
		}
		c.uses(sm, m, nil)
		end := c.now
		for _, u := range sm.Uses {
			end = max(end, u.End)
		}
		if m.name == p.spare {
			return m
		}
		if best == nil || end < soonest {
			best, soonest = m, end
		}
	}
	p.spare = ""
	if best != nil {
		p.spare = best.name
		c.info("spare machine asked for", "for", first.id, "machine", best.name, "part", best.rec.Cur, "tasks", len(best.on))
	}
	return best
}

func (j *job) lastAttempt() uint64 {
	var last uint64
	for _, ch := range j.chunks {
		for i := range ch {
			last = max(last, ch[i].attempt)
		}
	}
	return last
}

// maxIdle bounds what is offered at a time.
const maxIdle = 400

// idle lists machines of ours that another part may borrow.
func (c *Core) idle() []peer.Idle {
	var list []peer.Idle
	for _, m := range c.order {
		if len(list) < maxIdle && c.lendable(m) && c.now > m.idleAt+Second/3 {
			list = append(list, peer.Idle{Machine: m.name})
		}
	}
	return list
}

func (c *Core) lendable(m *machine) bool {
	return c.ours(m) != nil && m.ready && c.promisedTo(m) < 0 && c.emptied(m) && m.allEnded() && !m.busy() && !m.rec.Gone && !m.faulty &&
		m.notice == 0 && !c.claimed(m) && m.deaf == 0 && c.now < m.seenAt+c.lately()
}

// idleAbroad tells whether a machine of another part may be borrowed.
func (c *Core) idleAbroad(name string) bool {
	m := c.machines[name]
	if c.ours(m) != nil {
		return c.lendable(m) && c.now > m.idleAt+Second/3
	}
	for _, h := range c.heartbeats {
		if c.now < h.at+3*Second && h.idle[name] {
			return true
		}
	}
	return false
}

// heed moves the machines that others ask for, where we hold them.
func (c *Core) heed(asks []peer.Ask) {
	for _, a := range asks {
		m := c.machines[a.Machine]
		if m == nil || c.ours(m) == nil || m.rec.Cur == a.Part || a.Part < 0 || a.Part >= len(c.parts) {
			continue
		}
		switch {
		case c.lendable(m):
			c.lend(m, a.Part)
		case m.moveTo >= 0 || c.promisedTo(m) >= 0 || !m.ready || m.rec.Gone || m.faulty || m.notice > 0 || c.claimed(m):
		case a.Spare:
			c.info("spare machine is given once it is empty", "machine", m.name, "to", a.Part, "tasks", len(m.on))
			m.moveTo, m.evict = a.Part, false
		case a.Reclaim && m.rec.Home == a.Part:
			c.info("lent machine reclaimed", "machine", m.name, "home", a.Part)
			m.moveTo, m.evict = a.Part, false
		case a.Tier > 0 && c.mayEmpty(m, a):
			c.info("machine yielded", "machine", m.name, "to", a.Part, "tasks", len(m.on), "tier", a.Tier, "guaranteed", a.Guaranteed)
			m.moveTo, m.evict = a.Part, true
		}
	}
}

// claimed tells whether a job of the machine's own part has a claim on it.
func (c *Core) claimed(m *machine) bool {
	j := c.jobs[m.claim]
	return j != nil && j.part == m.rec.Cur
}

// mayEmpty tells whether PROTOCOL's preemption permits stopping all of a
// machine's tasks for what asks: they are of a lower tier, or of its own and
// their teams keep their guarantees without them and the asker's is within its.
func (c *Core) mayEmpty(m *machine, a peer.Ask) bool {
	without := map[string]sched.Res{}
	for _, id := range m.tasks() {
		j := c.jobs[id.job]
		tier := c.tier(j)
		if tier < a.Tier || tier < a.Lent && j.spec.Kind == wire.Array && !c.isNew(j.task(id.n)) {
			continue
		}
		if tier > a.Tier || c.isNew(j.task(id.n)) {
			return false // permitted within a guarantee, but it costs more than it serves
		}
		without[j.spec.Team] = without[j.spec.Team].Add(j.need, 1)
		if team := c.team(j.spec.Team); !a.Guaranteed || !team.Beyond(without[j.spec.Team]) {
			return false
		}
	}
	return true
}

// team shows a team to the planner.
func (c *Core) team(name string) *sched.Team {
	for _, t := range c.set.Facts.Teams {
		if t.Name == name {
			return &sched.Team{Used: *c.usage[name], Guarantee: sched.ResOf(t.CPUs, t.GPUs, 0), Limit: sched.ResOf(t.CPUsMax, t.GPUsMax, 0)}
		}
	}
	return &sched.Team{}
}

// sendHeartbeat tells the other controllers how we are and what we want.
func (c *Core) sendHeartbeat() {
	if c.now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = c.now + Second
	able := c.synced && !c.cutOff && c.now >= c.stepBack && (c.storeBad == 0 || c.now < c.storeBad+Second) && c.lease != 0
	if w := &c.writes; c.now >= w.toldAt+Second {
		w.rate = (w.rate + (w.sum-w.told)*float64(Second)/float64(c.now-w.toldAt)) / 2
		w.told, w.toldAt = w.sum, c.now
	}
	c.emit(Tell{&peer.Heartbeat{Writes: max(0.01, c.writes.rate), Node: c.set.Node, StoreOK: able, Idle: c.idle(), Asks: c.asks, Cancelled: c.tellable(), Form: Form}})
}

// told is a cancellation that we confirmed to its user.
type told struct {
	id string
	at int64
}

// A cancellation is told to the other controllers for a few seconds: its holder
// may not see the state service, and its tasks then end sooner. Nothing rests on
// it: an unknown or lost one is in effect within the horizon and a lease.
const (
	tellFor = 5 * Second
	maxTold = 400
)

func (c *Core) tellCancelled(id string) {
	if len(c.tolds) < maxTold {
		c.tolds = append(c.tolds, told{id, c.now})
	}
	c.heartbeatAt = min(c.heartbeatAt, c.now)
}

func (c *Core) tellable() []string {
	c.tolds = slices.DeleteFunc(c.tolds, func(t told) bool { return c.now > t.at+tellFor })
	var ids []string
	for _, t := range c.tolds {
		ids = append(ids, t.id)
	}
	return ids
}

func (c *Core) heartbeat(h *peer.Heartbeat) {
	if !slices.Contains(c.set.Nodes, h.Node) || h.Node == c.set.Node {
		return
	}
	was := c.heartbeats[h.Node]
	if was == nil || c.now > was.at+4*Second || !was.storeOK {
		was = &heard{since: c.now}
		c.heartbeats[h.Node] = was
	}
	was.at, was.storeOK, was.idle, was.form, was.writes = c.now, h.StoreOK, map[string]bool{}, h.Form, h.Writes
	c.noteForm(h.Node, h.Form)
	for _, i := range h.Idle {
		was.idle[i.Machine] = true
	}
	for _, id := range h.Cancelled {
		if j := c.jobs[id]; j != nil && !j.over && !j.halted() {
			c.info("cancelled, says another controller", "job", id, "by", h.Node)
			j.told = true
			c.halt(j)
		}
	}
	if c.synced {
		c.heed(h.Asks)
	}
}

// summary says now and then how things stand and why the first blocked jobs
// of each team wait.
func (c *Core) summary() {
	if c.now < c.summaryAt {
		return
	}
	c.summaryAt = c.now + 30*Second
	if !c.synced {
		return
	}
	var parts []int
	for _, p := range c.parts {
		if p.held {
			parts = append(parts, p.idx)
		}
	}
	up, idle, waiting, held, on := 0, 0, 0, 0, 0
	for _, m := range c.machines {
		if c.ours(m) == nil {
			continue
		}
		if m.upAt > 0 {
			up++
			if len(m.on) == 0 {
				idle++
			}
		}
		on += len(m.on)
	}
	for _, j := range c.jobs {
		switch {
		case !c.parts[j.part].held:
		case j.open > 0:
			held++
		case j.nPlaced+j.nDone < j.spec.Tasks:
			waiting++
		}
	}
	c.info("summary", "parts", parts, "machines_up", up, "machines_idle", idle, "tasks_on", on, "jobs", len(c.jobs), "jobs_waiting", waiting, "jobs_waiting_for_jobs", held, "revision", c.rev)
	told := map[string]int{}
	for _, id := range sorted(c.why) {
		j := c.jobs[id]
		if j == nil || told[j.spec.Team] >= 2 {
			continue
		}
		told[j.spec.Team]++
		c.info("job waits", "job", id, "team", j.spec.Team, "for_s", (c.now-j.from())/Second, "why", c.why[id])
	}
}
