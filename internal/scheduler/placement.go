package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// perZone is how many more of the job's tasks a zone may take.
func (j *Job) perZone(zone string) int {
	if j.zone != "" && zone != j.zone {
		return 0
	}
	if j.Spec.OneZone {
		for z, n := range j.TasksPerZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if j.Spec.Spread {
		return (j.Spec.Tasks+1)/2 - j.TasksPerZone[zone]
	}
	return j.Spec.Tasks
}

// usable tells whether the machine may take a task of the job now.
func (p *planner) usable(j *Job, m *Machine) bool {
	if !m.Schedulable || !m.Free.Fits(j.Request) || m.Borrowable || m.OtherPartition || j.FailedMachines[m.Name] ||
		!Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) || (m.ClaimedBy != "" && m.ClaimedBy != j.ID) || p.cached && !m.HasImage(j.Spec.Image) {
		return false
	}
	if at, ok := p.reserved[m]; ok && p.resFor[m] != j {
		end := p.Now + micros.FromSeconds(j.Spec.EstimateS)
		if !m.HasImage(j.Spec.Image) {
			end += p.fetch(j, m.Type)
		}
		return j.Spec.Kind != api.Service && end <= at
	}
	return true
}

func (p *planner) put(j *Job, m *Machine) {
	m.Free = m.Free.Add(j.Request, -1)
	if m.ClaimedBy == j.ID {
		m.ClaimedBy = "" // it has what it was emptied for: the rest of the room is for all
	}
	j.TasksPerZone[m.Zone]++
	j.PendingTasks--
	if t := p.Quotas[j.Spec.Team]; t != nil {
		t.Used = t.Used.Add(j.Request, 1)
	}
	end := p.Now + micros.FromSeconds(j.Spec.EstimateS)
	if !m.HasImage(j.Spec.Image) {
		end += p.fetch(j, m.Type)
	}
	m.use(Allocation{Job: j, TaskIndex: -1, Request: j.Request, ExpectedEnd: end})
	if !m.HasImage(j.Spec.Image) {
		m.CachedImages = append(slices.Clip(m.CachedImages), j.Spec.Image) // fetched once for all
	}
	p.ends(j, end)
	p.plan.Bindings = append(p.plan.Bindings, Binding{j, m})
}

// place starts what fits of a job and tells how many tasks lack room.
func (p *planner) place(j *Job) int {
	want := min(j.PendingTasks, p.limitAllows(j))
	if j.Spec.Kind == api.Gang && want < j.PendingTasks || want == 0 {
		p.plan.BlockedReasons[j.ID] = "the team's limit is used up"
		if t := p.Quotas[j.Spec.Team]; t != nil && j.Spec.Kind == api.Gang && !j.Deprioritized && t.reserved == (Resources{}) {
			// Exception: what a team's limit leaves is reserved like machines, for
			// the first of its gangs. Single tasks of the team took each piece as it
			// came, and its gangs waited for minutes, or for ever.
			t.reserved = t.reserved.Add(j.Request, int64(j.PendingTasks))
		}
		return 0
	}
	if j.Spec.Kind == api.Gang {
		if p.placeGang(j) {
			return 0
		}
		p.plan.BlockedReasons[j.ID] = "no room for the whole gang at once"
		return j.PendingTasks
	}
	if j.Spec.Kind == api.Array {
		want = p.fill(j, want)
	} else {
		for m := p.pick(j); m != nil && want > 0; want-- {
			p.put(j, m)
			m = p.pick(j)
		}
	}
	if want > 0 {
		p.plan.BlockedReasons[j.ID] = "no machine with room that the job may use"
	}
	return want
}

// fill puts an array's tasks singly into free room, in the order of pick, and
// tells how many found none.
func (p *planner) fill(j *Job, want int) int {
	type choice struct {
		m   *Machine
		key [4]int64
	}
	var list []choice
	for _, m := range p.Machines {
		if p.usable(j, m) && j.perZone(m.Zone) > 0 {
			list = append(list, choice{m, p.key(j, m)})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int { return slices.Compare(a.key[:], b.key[:]) })
	for _, c := range list {
		for want > 0 && c.m.Free.Fits(j.Request) && j.perZone(c.m.Zone) > 0 {
			p.put(j, c.m)
			want--
		}
	}
	return want
}

// key orders the machines for a task: services spread over zones, array
// tasks fill: cheap kinds first, then a cached image, then the tightest room.
func (p *planner) key(j *Job, m *Machine) [4]int64 {
	var k [4]int64
	if j.Spec.Kind == api.Service {
		k[0] = int64(j.TasksPerZone[m.Zone])
	}
	if !m.HasImage(j.Spec.Image) {
		k[1] = p.fetch(j, m.Type).WholeSeconds()
	}
	if !m.Spot {
		k[1] += 4
	}
	left := m.Free.Add(j.Request, -1)
	k[2], k[3] = left.GPU, left.CPU
	return k
}

// limitAllows is how many more tasks the team's limit limitAllows.
func (p *planner) limitAllows(j *Job) int {
	t := p.Quotas[j.Spec.Team]
	if t == nil {
		return 0
	}
	n := j.PendingTasks
	left := t.Limit.Add(t.Used, -1).Add(t.reserved, -1)
	if t.Limit.CPU > 0 && j.Request.CPU > 0 {
		n = min(n, int(max(0, left.CPU)/j.Request.CPU))
	}
	if t.Limit.GPU > 0 && j.Request.GPU > 0 {
		n = min(n, int(max(0, left.GPU)/j.Request.GPU))
	}
	return n
}

// pick chooses a machine for one task.
func (p *planner) pick(j *Job) *Machine {
	var best *Machine
	var key [4]int64
	for _, m := range p.Machines {
		if !p.usable(j, m) || j.perZone(m.Zone) <= 0 {
			continue
		}
		if k := p.key(j, m); best == nil || slices.Compare(k[:], key[:]) < 0 {
			best, key = m, k
		}
	}
	return best
}

// placeGang puts a whole gang on the smallest set of machines in the fewest
// zones, or nothing.
func (p *planner) placeGang(j *Job) bool {
	byZone := map[string][]*Machine{}
	var zones []string
	for _, m := range p.Machines {
		if p.usable(j, m) {
			if byZone[m.Zone] == nil {
				zones = append(zones, m.Zone)
			}
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	slices.Sort(zones)
	room := map[string]int{}
	for z, ms := range byZone {
		slices.SortStableFunc(ms, func(a, b *Machine) int {
			cached := func(m *Machine) int {
				if m.HasImage(j.Spec.Image) {
					return 0
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.Free.Multiples(j.Request), a.Free.Multiples(j.Request)), cmp.Compare(cached(a), cached(b)),
				cmp.Compare(a.Type.Price, b.Type.Price))
		})
		for _, m := range ms {
			room[z] += m.Free.Multiples(j.Request)
		}
		room[z] = min(room[z], j.perZone(z))
	}
	// The zone with the most room first: fewest zones; among those that hold
	// it all, the fewest machines.
	slices.SortStableFunc(zones, func(a, b string) int {
		ra, rb := min(room[a], j.PendingTasks), min(room[b], j.PendingTasks)
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(span(byZone[a], j), span(byZone[b], j)), cmp.Compare(a, b))
	})
	var set []*Machine
	left := j.PendingTasks
	for _, z := range zones {
		take := min(left, room[z])
		left -= take
		for _, m := range byZone[z] {
			for n := m.Free.Multiples(j.Request); n > 0 && take > 0; n-- {
				set = append(set, m)
				take--
			}
		}
		if left == 0 || j.Spec.OneZone {
			break
		}
	}
	if left > 0 {
		return false
	}
	for _, m := range set {
		p.put(j, m)
	}
	return true
}

// span is how many of the machines, in order, the gang takes.
func span(ms []*Machine, j *Job) int {
	left := j.PendingTasks
	for i, m := range ms {
		if left -= m.Free.Multiples(j.Request); left <= 0 {
			return i + 1
		}
	}
	return math.MaxInt32
}

// use adds a task and keeps the order of their ends.
func (m *Machine) use(u Allocation) {
	m.sortUses()
	at, _ := slices.BinarySearchFunc(m.Allocations, u.ExpectedEnd, func(o Allocation, end micros.Micros) int { return cmp.Compare(o.ExpectedEnd, end) })
	m.Allocations = slices.Insert(m.Allocations, at, u)
}

func (m *Machine) sortUses() {
	if !m.byEnd {
		m.byEnd = true
		m.Allocations = slices.Clone(m.Allocations)
		slices.SortStableFunc(m.Allocations, func(a, b Allocation) int { return cmp.Compare(a.ExpectedEnd, b.ExpectedEnd) })
	}
}

// freeAt is when the machine is expected to have room for need.
func (m *Machine) freeAt(need Resources, now micros.Micros) micros.Micros {
	if !m.Total.Fits(need) {
		return math.MaxInt64
	}
	at := now
	if !m.Schedulable {
		at = max(now, m.ReadyAt)
	}
	free := m.Free
	if free.Fits(need) {
		return at
	}
	m.sortUses()
	for _, u := range m.Allocations {
		if u.Job != nil && u.Job.Spec.Kind == api.Service {
			continue
		}
		free = free.Add(u.Request, 1)
		if free.Fits(need) {
			return max(at, u.ExpectedEnd)
		}
	}
	return math.MaxInt64
}

type slot struct {
	m  *Machine
	at micros.Micros
}

// soonestSet is the machines freeing soonest for all of a job's tasks, in one
// zone where the job must stay in one, and when the last of them is free.
func (p *planner) soonestSet(j *Job, able func(m *Machine) bool) ([]slot, micros.Micros) {
	byZone := map[string][]slot{}
	for _, m := range p.Machines {
		if !able(m) || !p.couldRun(j, m) {
			continue
		}
		if at := m.freeAt(j.Request, p.Now); at < math.MaxInt64 {
			z := ""
			if j.Spec.OneZone {
				z = m.Zone
			}
			byZone[z] = append(byZone[z], slot{m, at})
		}
	}
	var best []slot
	var soonest micros.Micros = math.MaxInt64
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		if set := soonestOf(byZone[z], j); set != nil && set[len(set)-1].at < soonest {
			best, soonest = set, set[len(set)-1].at
		}
	}
	return best, soonest
}

// soonestOf is the first of the slots, by time, that hold all of a job's tasks; all
// of them where they do not, unless the job must stay in one zone.
func soonestOf(slots []slot, j *Job) []slot {
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	left := j.PendingTasks
	for i, s := range slots {
		if left -= max(1, s.m.Total.Multiples(j.Request)); left <= 0 {
			return slots[:i+1]
		}
	}
	if j.Spec.OneZone {
		return nil
	}
	return slots
}

// reserve holds the machines freeing soonest for the top blocked job.
func (p *planner) reserve(j *Job) {
	set, at := p.soonestSet(j, func(m *Machine) bool {
		_, taken := p.reserved[m]
		return !m.Borrowable && !m.OtherPartition && (!taken || m.Reservation != nil && m.Reservation.Job == j)
	})
	if j.Spec.Kind == api.Gang {
		p.gangs++
	}
	for _, s := range set {
		p.reserved[s.m] = at
		p.resFor[s.m] = j
	}
}
