package core

import (
	"cmp"
	"slices"

	"spurmoor/internal/sched"
	"spurmoor/internal/settings"
	"spurmoor/internal/wire"
)

// viewer shows one partition to the planner.
type viewer struct {
	*Core
	p     *partition
	view  *sched.View
	jobs  map[string]*job
	shown map[string]*sched.Job
	price []float64 // of the machines that each partition has
}

// view shows a partition to the planner.
func (c *Core) view(p *partition) (*sched.View, map[string]*job) {
	v := &viewer{Core: c, p: p, jobs: map[string]*job{}, shown: map[string]*sched.Job{}, price: make([]float64, len(c.partitions)),
		view: &sched.View{Now: c.now, Types: c.types, Teams: map[string]*sched.Team{}, Refused: map[sched.Kind]bool{}, Ops: &c.set.Ops, Aims: map[string][]settings.Objective{}}}
	v.addSettings()
	v.addJobs()
	for _, m := range c.machines {
		if m.typ != nil && m.rec.Cur >= 0 && m.rec.Cur < len(v.price) && !m.rec.Gone {
			v.price[m.rec.Cur] += m.typ.Price
		}
	}
	for _, m := range c.order {
		if m.typ != nil && !m.rec.Gone && !m.faulty && m.notice == 0 {
			v.addMachine(m)
		}
	}
	v.addRented()
	return v.view, v.jobs
}

// addSettings shows aims, teams and what the cloud refused of late.
func (v *viewer) addSettings() {
	for _, o := range v.set.Facts.Objectives {
		v.view.Aims[o.Class] = append(v.view.Aims[o.Class], o)
	}
	for _, t := range v.set.Facts.Teams {
		v.view.Teams[t.Name] = v.team(t.Name)
	}
	for k, until := range v.refused {
		if v.now < until {
			v.view.Refused[k] = true
		} else {
			delete(v.refused, k)
		}
	}
}

// addJobs shows the partition's jobs that may run.
func (v *viewer) addJobs() {
	for _, id := range sorted(v.Core.jobs) {
		j := v.Core.jobs[id]
		if j.partition != v.p.idx || j.over || j.mustNotRun() || j.openNeeds > 0 {
			continue
		}
		sj := v.jobView(j)
		restarting := j.spec.Kind == wire.Gang && j.nPlaced > 0 && !j.gathering()
		if v.now >= j.holdOff && !restarting {
			sj.Pending = len(j.waiting(v.now, v.mostToPlace(j)))
		}
		v.jobs[id], v.shown[id] = j, sj
		v.view.Jobs = append(v.view.Jobs, sj)
	}
}

// addMachine shows a machine if it is any use to the partition.
func (v *viewer) addMachine(m *machine) {
	sm := v.machineView(m)
	if to := v.reservedFor(m); to >= 0 {
		pr := v.reserved[m.name]
		if sj := v.shown[pr.Job.ID]; sj != nil {
			pr.Job = sj // the view's own
		}
		sm.Claim, sm.Reservation = "", &pr
		if m.rec.Cur != v.p.idx {
			if to == v.p.idx {
				// It is being emptied for us.
				sm.Foreign, sm.Free, sm.ReadyAt = true, sm.Total, max(v.now, pr.At)
				v.view.Machines = append(v.view.Machines, sm)
			}
			return
		}
	}
	if m.claim != "" && v.now > m.claimTo {
		m.claim, sm.Claim = "", ""
	}
	useful := false
	if m.rec.Cur != v.p.idx {
		useful = v.foreign(m, sm)
	} else {
		useful = v.own(m, sm)
	}
	if useful {
		v.view.Machines = append(v.view.Machines, sm)
	}
}

// foreign shows another partition's machine; it tells whether that is any use.
func (v *viewer) foreign(m *machine, sm *sched.Machine) bool {
	switch {
	case v.idleAbroad(m.name):
		sm.Borrowable, sm.ReadyAt = true, v.now+2*Second
	case m.rec.Home == v.p.idx && m.claim == "":
		// Lent out: ours again once its tasks have ended.
		v.uses(sm, m, v.shown)
		sm.ReadyAt = v.now + 2*Second
		for _, u := range sm.Uses {
			sm.ReadyAt = max(sm.ReadyAt, u.End)
		}
		sm.Foreign, sm.Lent, sm.Fair = true, true, 2*v.price[v.p.idx] < v.price[m.rec.Cur]
	case len(m.tasksOn) > 0:
		sm.Foreign, sm.ReadyAt = true, v.now+5*Second
		if m.claim != "" {
			sm.Free = sm.Total // it is being emptied for us
		}
		v.uses(sm, m, v.shown)
	default:
		return false
	}
	return true
}

// own shows a machine of the partition; it tells whether it has room, or will have.
func (v *viewer) own(m *machine, sm *sched.Machine) bool {
	if m.busy() || m.moveTo >= 0 {
		return false
	}
	for _, i := range m.images {
		sm.Images = append(sm.Images, i.name)
	}
	heard := m.ignoringSince == 0 && v.now < m.seenAt+v.lately() && !v.reportsMissing(m)
	sm.Usable = m.ready && heard
	switch {
	case sm.Usable:
	case m.upAt == 0 && !v.overdue(m):
		sm.ReadyAt = max(v.now+2*Second, m.bornAt+secs(m.typ.BootS))
	case m.upAt > 0 && heard:
		sm.ReadyAt = v.now + 3*Second
	default:
		return false
	}
	v.uses(sm, m, v.shown)
	return true
}

// addRented shows the machines that were asked for and are not recorded yet.
func (v *viewer) addRented() {
	kinds := make([]sched.Kind, 0, len(v.p.rents))
	for k := range v.p.rents {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b sched.Kind) int { return cmp.Compare(kindName(a).String(), kindName(b).String()) })
	for _, k := range kinds {
		t := v.typeOf[k.Type]
		if t == nil {
			continue
		}
		total := sched.ResOf(t.CPUs, t.GPUs, t.MemoryGB)
		for range v.p.rents[k] {
			v.view.Machines = append(v.view.Machines, &sched.Machine{Type: t, Zone: k.Zone, Spot: k.Spot, Total: total, Free: total, ReadyAt: v.now + secs(t.BootS)})
		}
	}
}

// jobView shows a job to the planner.
func (c *Core) jobView(j *job) *sched.Job {
	sj := &sched.Job{ID: j.id, Spec: &j.spec, Need: j.need, Tier: c.tier(j), At: j.from(), Due: c.urgent[j.id].due, InZone: map[string]int{}, Avoid: j.avoid,
		Deprioritized: c.deprioritized(j), Begun: j.begun()}
	for z, n := range j.zones {
		sj.InZone[z] = n
	}
	return sj
}

// machineView shows a machine to the planner, without what runs on it.
func (c *Core) machineView(m *machine) *sched.Machine {
	total := sched.ResOf(m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB)
	return &sched.Machine{Name: m.name, Type: m.typ, Zone: m.rec.Zone, Spot: m.rec.Spot, Total: total, Free: total.Add(m.used, -1), Claim: m.claim}
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

// team shows a team to the planner.
func (c *Core) team(name string) *sched.Team {
	for _, t := range c.set.Facts.Teams {
		if t.Name == name {
			return &sched.Team{Used: *c.usage[name], Guarantee: sched.ResOf(t.CPUs, t.GPUs, 0), Limit: sched.ResOf(t.CPUsMax, t.GPUsMax, 0)}
		}
	}
	return &sched.Team{}
}
