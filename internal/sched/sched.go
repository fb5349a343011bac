// Package sched decides what runs where: the design's weighted ranking,
// rank-order placement with a reservation and backfill, the choice of whom to
// stop, and the demand for machines. It is pure: a View in, a Plan out.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spurmoor/internal/settings"
	"spurmoor/internal/wire"
)

// Second is one second in the whole microseconds that all times are in.
const Second int64 = 1_000_000

// Res is an amount of resources, in thousandths.
type Res struct{ CPU, GPU, Mem int64 }

// ResOf turns the wire's decimal amounts into thousandths.
func ResOf(cpus, gpus, mem float64) Res {
	m := func(v float64) int64 { return int64(math.Round(v * 1000)) }
	return Res{m(cpus), m(gpus), m(mem)}
}

// Add gives r + k·o.
func (r Res) Add(o Res, k int64) Res {
	return Res{r.CPU + k*o.CPU, r.GPU + k*o.GPU, r.Mem + k*o.Mem}
}

// Fits tells whether o fits into r.
func (r Res) Fits(o Res) bool { return o.CPU <= r.CPU && o.GPU <= r.GPU && o.Mem <= r.Mem }

// Times tells how often o fits into r.
func (r Res) Times(o Res) int {
	n := int64(1 << 30)
	for _, p := range [][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return int(n)
}

// Use is a task on a machine.
type Use struct {
	Job     *Job
	Index   int
	Need    Res
	End     int64 // expected, by the owner's estimate
	Lost    int64 // work lost if it is stopped now
	Leaving bool  // told to stop already
	New     bool  // started so lately that stopping it undoes the start
}

// Machine is a machine of the part.
type Machine struct {
	Name       string
	Type       *wire.MachineType
	Zone       string
	Spot       bool
	Total      Res
	Free       Res
	Usable     bool  // may be given tasks now
	ReadyAt    int64 // of a booting machine: when it is expected
	Borrowable bool  // another part's idle machine: may be asked for
	Foreign    bool  // another part's, at work: may be asked for if all its tasks may be stopped
	Lent       bool  // ours by home, at work for another part
	Fair       bool  // of a Lent one: its borrower uses far more than we do
	Claim      string
	Promised   *Promised // to a gang that is due, of whatever part
	Images     []string  // in its cache, or being fetched
	Uses       []Use
	byEnd      bool // Uses are in the order of their ends, and the plan's own
	freeing    int64
}

// Has tells whether the machine need not fetch an image.
func (m *Machine) Has(image string) bool { return slices.Contains(m.Images, image) }

// Job is an unfinished job of the part.
type Job struct {
	ID      string
	Spec    *wire.Job
	Need    Res
	At      int64 // accepted
	Pending int   // tasks to place, those held back by a back-off not counted
	InZone  map[string]int
	Avoid   map[string]bool // machines
	Begun   bool            // some of its tasks were started
	Deprior bool            // failing everywhere: it must not take room first
	score   float64
	zone    string // where its machines are to be rented, if all in one
	blocked int
}

// Team is a team's share of the part.
type Team struct {
	Used, Guarantee, Limit Res // a zero amount in Limit or Guarantee: none
}

// Kind is a thing to rent.
type Kind struct {
	Type string
	Zone string
	Spot bool
}

// View is what a plan is made from.
type View struct {
	Now      int64
	Types    []wire.MachineType
	Machines []*Machine
	Jobs     []*Job
	Teams    map[string]*Team
	Refused  map[Kind]bool
	Ops      *settings.Operators
	Aims     map[string][]settings.Objective // by class
}

func (m *Machine) kind() Kind { return Kind{m.Type.Name, m.Zone, m.Spot} }

// Start puts one task of a job on a machine.
type Start struct {
	Job     *Job
	Machine *Machine
}

// Eviction stops tasks so that a job gets their machine.
type Eviction struct {
	For        *Job
	Machine    *Machine
	Uses       []Use
	Guaranteed bool // its team has a claim to it by its guarantee
}

// Rental is a demand for machines.
type Rental struct {
	Kind  Kind
	Count int
}

// Plan is what to do.
type Plan struct {
	Starts    []Start
	Evictions []Eviction
	Rentals   []Rental
	Borrow    []*Machine
	Why       map[string]string // job → why it waits
	Ends      map[string]int64  // job → when its last task should end, by the estimates
}

type planner struct {
	*View
	plan     Plan
	types    map[string]*wire.MachineType
	reserved map[*Machine]int64
	resFor   map[*Machine]*Job
	held     map[Kind]int
	gangs    int // that reserved
	blocked  []*Job
	cached   bool // only room where the image need not be fetched
}

// Make plans one cycle.
func Make(v *View) *Plan {
	p := &planner{View: v, types: map[string]*wire.MachineType{}, reserved: map[*Machine]int64{}, resFor: map[*Machine]*Job{}, held: map[Kind]int{}}
	p.plan.Why, p.plan.Ends = map[string]string{}, map[string]int64{}
	for _, m := range v.Machines {
		p.held[m.kind()]++
		if m.Promised != nil {
			p.reserved[m], p.resFor[m] = m.Promised.At, m.Promised.Job
		}
		for _, u := range m.Uses {
			if u.Job != nil {
				p.ends(u.Job, u.End)
			}
		}
	}
	for i := range v.Types {
		p.types[v.Types[i].Name] = &v.Types[i]
	}
	p.rank()
	for _, j := range p.Jobs {
		// Exception: no job is lost to being late. An array that has not begun
		// when half of that time is over has its first task placed before all else.
		if j.Spec.Kind == wire.Array && p.due(j) && min(j.Pending, p.admits(j)) > 0 {
			p.fill(j, 1)
		}
	}
	// Exception: of the arrays only the first in rank takes room where its image
	// must be fetched first; the others do after all had their turn. Where more
	// waits than fits, a fifth of the room went on fetching.
	first := true
	var rest []*Job
	for _, j := range p.Jobs {
		if j.Pending == 0 {
			continue
		}
		if j.Spec.Kind == wire.Array && !first {
			p.cached = true
			p.place(j)
			p.cached = false
			rest = append(rest, j)
			continue
		}
		first = first && j.Spec.Kind != wire.Array
		p.try(j)
	}
	for _, j := range rest {
		if j.Pending > 0 {
			p.try(j)
		}
	}
	p.evict(p.blocked)
	p.demand(p.blocked)
	return &p.plan
}

// try places a job; what finds no room blocks it.
func (p *planner) try(j *Job) {
	left := p.place(j)
	if left == 0 {
		return
	}
	j.blocked = left
	// Exception: besides the top blocked job every gang reserves, up to a
	// bound. Room for it comes up or frees piece by piece, and smaller jobs
	// took each piece as it came: gangs waited for minutes for machines that
	// the demand had counted as theirs.
	if !j.Deprior && (len(p.blocked) == 0 || j.Spec.Kind == wire.Gang && p.gangs < reserveGangs) {
		p.reserve(j)
	}
	p.blocked = append(p.blocked, j)
}

// Allowed tells whether a job may run on this type, zone and kind at all.
func Allowed(j *wire.Job, typ, zone string, spot bool) bool {
	return (j.Types == nil || slices.Contains(j.Types, typ)) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

func (p *planner) fetch(j *Job, t *wire.MachineType) int64 {
	if t == nil || t.FetchGBs <= 0 {
		return 0
	}
	return int64(j.Spec.ImageGB / t.FetchGBs * float64(Second))
}

func (p *planner) ends(j *Job, at int64) {
	p.plan.Ends[j.ID] = max(p.plan.Ends[j.ID], at)
}

// rank sorts the jobs by the design's weighted sum.
func (p *planner) rank() {
	w := p.Ops.Weights
	var queued, running float64
	zones := map[string]bool{}
	var part Res
	// Readiness is the share of machines with the image among those that have
	// room now, of any if none has.
	usable, cached := map[Kind]int{}, map[string]map[Kind]int{}
	room := slices.ContainsFunc(p.Machines, func(m *Machine) bool { return m.Usable && m.Free.GPU > 0 && m.Free.CPU > 0 })
	for _, m := range p.Machines {
		if m.Usable && (!room || m.Free.GPU > 0 && m.Free.CPU > 0) {
			k := m.kind()
			usable[k]++
			for _, i := range m.Images {
				if cached[i] == nil {
					cached[i] = map[Kind]int{}
				}
				cached[i][k]++
			}
		}
		zones[m.Zone] = true
		part = part.Add(m.Total, 1)
		for _, u := range m.Uses {
			running += float64(max(0, u.End-p.Now))
		}
	}
	for _, j := range p.Jobs {
		queued += float64(j.Pending) * j.Spec.EstimateS * float64(Second)
	}
	backlog := 1.0
	if running > 0 {
		backlog = math.Min(1, queued/running)
	}
	for _, j := range p.Jobs {
		wait := math.Log(1 + float64(max(0, p.Now-j.At))/float64(Second)/p.Ops.ReferenceWaitS)
		deficit := 0.0
		if t := p.Teams[j.Spec.Team]; t != nil {
			target, used := float64(t.Guarantee.GPU), float64(t.Used.GPU)
			if target == 0 {
				target, used = float64(t.Guarantee.CPU), float64(t.Used.CPU)
			}
			if target == 0 {
				target, used = float64(part.CPU)/float64(max(1, len(p.Teams))), float64(t.Used.CPU)
			}
			if target > 0 {
				deficit = math.Max(0, target-used) / target
			}
		}
		fit := 0.5
		if n := len(zones); n > 0 {
			need := 1
			if j.Spec.Spread && j.Spec.Tasks > 1 {
				need = 2
			}
			fit = math.Max(0, 1-float64(need)/float64(n))
		}
		ready, could := 0, 0
		for k, n := range usable {
			if Allowed(j.Spec, k.Type, k.Zone, k.Spot) {
				could += n
				ready += cached[j.Spec.Image][k]
			}
		}
		readiness := 0.0
		if could > 0 {
			readiness = float64(ready) / float64(could)
		}
		j.score = w.Priority*float64(wire.Tier(j.Spec.Priority)) + w.Wait*wait + w.Deficit*deficit +
			w.ZoneFit*fit + w.Readiness*readiness + w.Backlog*backlog
		j.score -= p.Ops.LatePenalty * p.outOfReach(j)
		if j.Spec.Kind != wire.Array && p.due(j) {
			j.score += 2
		}
		if j.Deprior {
			// Exception: a high-tier job that fails on every machine would
			// top each cycle and take room first.
			j.score -= 100
		}
	}
	slices.SortStableFunc(p.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
}

// due tells whether a job has not begun though half of the time is over within
// which every job should have.
func (p *planner) due(j *Job) bool {
	return !j.Begun && !j.Deprior && float64(p.Now-j.At) > p.Ops.BeginWithinS/2*float64(Second)
}

// outOfReach is the share of the stated aims of the job's class that it can
// no longer meet. Exception: in an overload, wait alone would rank first those
// that are late already, and so make everyone late.
func (p *planner) outOfReach(j *Job) float64 {
	aims := p.Aims[j.Spec.Class]
	if len(aims) == 0 || j.Spec.EstimateS <= 0 {
		return 0
	}
	age := float64(p.Now-j.At) / float64(Second)
	lost := 0
	for _, a := range aims {
		late := false
		switch a.Kind {
		case "wait":
			late = !j.Begun && age > a.WithinS
		case "finished":
			late = age+j.Spec.EstimateS > a.WithinS
		case "deadline":
			late = j.Spec.DeadlineS > 0 && age+j.Spec.EstimateS > a.Times*j.Spec.DeadlineS
		}
		if late {
			lost++
		}
	}
	return float64(lost) / float64(len(aims))
}

// perZone is how many more of the job's tasks a zone may take.
func (j *Job) perZone(zone string) int {
	if j.zone != "" && zone != j.zone {
		return 0
	}
	if j.Spec.OneZone {
		for z, n := range j.InZone {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if j.Spec.Spread {
		return (j.Spec.Tasks+1)/2 - j.InZone[zone]
	}
	return j.Spec.Tasks
}

// usable tells whether the machine may take a task of the job now.
func (p *planner) usable(j *Job, m *Machine) bool {
	if !m.Usable || !m.Free.Fits(j.Need) || m.Borrowable || m.Foreign || j.Avoid[m.Name] ||
		!Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) || (m.Claim != "" && m.Claim != j.ID) || p.cached && !m.Has(j.Spec.Image) {
		return false
	}
	if at, ok := p.reserved[m]; ok && p.resFor[m] != j {
		end := p.Now + int64(j.Spec.EstimateS*float64(Second))
		if !m.Has(j.Spec.Image) {
			end += p.fetch(j, m.Type)
		}
		return j.Spec.Kind != wire.Daemon && end <= at
	}
	return true
}

func (p *planner) put(j *Job, m *Machine) {
	m.Free = m.Free.Add(j.Need, -1)
	j.InZone[m.Zone]++
	j.Pending--
	if t := p.Teams[j.Spec.Team]; t != nil {
		t.Used = t.Used.Add(j.Need, 1)
	}
	end := p.Now + int64(j.Spec.EstimateS*float64(Second))
	if !m.Has(j.Spec.Image) {
		end += p.fetch(j, m.Type)
	}
	m.use(Use{Job: j, Index: -1, Need: j.Need, End: end})
	if !m.Has(j.Spec.Image) {
		m.Images = append(slices.Clip(m.Images), j.Spec.Image) // fetched once for all
	}
	p.ends(j, end)
	p.plan.Starts = append(p.plan.Starts, Start{j, m})
}

// place starts what fits of a job and tells how many tasks lack room.
func (p *planner) place(j *Job) int {
	want := min(j.Pending, p.admits(j))
	if j.Spec.Kind == wire.Gang && want < j.Pending || want == 0 {
		p.plan.Why[j.ID] = "the team's limit is used up"
		return 0
	}
	if j.Spec.Kind == wire.Gang {
		if p.placeGang(j) {
			return 0
		}
		p.plan.Why[j.ID] = "no room for the whole gang at once"
		return j.Pending
	}
	if j.Spec.Kind == wire.Array {
		want = p.fill(j, want)
	} else {
		for m := p.pick(j); m != nil && want > 0; want-- {
			p.put(j, m)
			m = p.pick(j)
		}
	}
	if want > 0 {
		p.plan.Why[j.ID] = "no machine with room that the job may use"
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
		for want > 0 && c.m.Free.Fits(j.Need) && j.perZone(c.m.Zone) > 0 {
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
	if j.Spec.Kind == wire.Daemon {
		k[0] = int64(j.InZone[m.Zone])
	}
	if !m.Has(j.Spec.Image) {
		k[1] = p.fetch(j, m.Type) / Second
	}
	if !m.Spot {
		k[1] += 4
	}
	left := m.Free.Add(j.Need, -1)
	k[2], k[3] = left.GPU, left.CPU
	return k
}

// admits is how many more tasks the team's limit admits.
func (p *planner) admits(j *Job) int {
	t := p.Teams[j.Spec.Team]
	if t == nil {
		return 0
	}
	n := j.Pending
	if t.Limit.CPU > 0 && j.Need.CPU > 0 {
		n = min(n, int(max(0, t.Limit.CPU-t.Used.CPU)/j.Need.CPU))
	}
	if t.Limit.GPU > 0 && j.Need.GPU > 0 {
		n = min(n, int(max(0, t.Limit.GPU-t.Used.GPU)/j.Need.GPU))
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
				if m.Has(j.Spec.Image) {
					return 0
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.Free.Times(j.Need), a.Free.Times(j.Need)), cmp.Compare(cached(a), cached(b)),
				cmp.Compare(a.Type.Price, b.Type.Price))
		})
		for _, m := range ms {
			room[z] += m.Free.Times(j.Need)
		}
		room[z] = min(room[z], j.perZone(z))
	}
	// The zone with the most room first: fewest zones; among those that hold
	// it all, the fewest machines.
	slices.SortStableFunc(zones, func(a, b string) int {
		ra, rb := min(room[a], j.Pending), min(room[b], j.Pending)
		return cmp.Or(cmp.Compare(rb, ra), cmp.Compare(span(byZone[a], j), span(byZone[b], j)), cmp.Compare(a, b))
	})
	var set []*Machine
	left := j.Pending
	for _, z := range zones {
		take := min(left, room[z])
		left -= take
		for _, m := range byZone[z] {
			for n := m.Free.Times(j.Need); n > 0 && take > 0; n-- {
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
	left := j.Pending
	for i, m := range ms {
		if left -= m.Free.Times(j.Need); left <= 0 {
			return i + 1
		}
	}
	return math.MaxInt32
}

// use adds a task and keeps the order of their ends.
func (m *Machine) use(u Use) {
	m.sortUses()
	at, _ := slices.BinarySearchFunc(m.Uses, u.End, func(o Use, end int64) int { return cmp.Compare(o.End, end) })
	m.Uses = slices.Insert(m.Uses, at, u)
}

func (m *Machine) sortUses() {
	if !m.byEnd {
		m.byEnd = true
		m.Uses = slices.Clone(m.Uses)
		slices.SortStableFunc(m.Uses, func(a, b Use) int { return cmp.Compare(a.End, b.End) })
	}
}

// freeAt is when the machine is expected to have room for need.
func (m *Machine) freeAt(need Res, now int64) int64 {
	if !m.Total.Fits(need) {
		return math.MaxInt64
	}
	at := now
	if !m.Usable {
		at = max(now, m.ReadyAt)
	}
	free := m.Free
	if free.Fits(need) {
		return at
	}
	m.sortUses()
	for _, u := range m.Uses {
		if u.Job != nil && u.Job.Spec.Kind == wire.Daemon {
			continue
		}
		free = free.Add(u.Need, 1)
		if free.Fits(need) {
			return max(at, u.End)
		}
	}
	return math.MaxInt64
}

type slot struct {
	m  *Machine
	at int64
}

// soonestSet is the machines freeing soonest for all of a job's tasks, in one
// zone where the job must stay in one, and when the last of them is free.
func (p *planner) soonestSet(j *Job, able func(m *Machine) bool) ([]slot, int64) {
	byZone := map[string][]slot{}
	for _, m := range p.Machines {
		if !able(m) || j.Avoid[m.Name] || j.perZone(m.Zone) <= 0 || m.Claim != "" && m.Claim != j.ID ||
			!Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) {
			continue
		}
		if at := m.freeAt(j.Need, p.Now); at < math.MaxInt64 {
			z := ""
			if j.Spec.OneZone {
				z = m.Zone
			}
			byZone[z] = append(byZone[z], slot{m, at})
		}
	}
	var best []slot
	var soonest int64 = math.MaxInt64
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		slots := byZone[z]
		slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
		left := j.Pending
		for i, s := range slots {
			if left -= max(1, s.m.Total.Times(j.Need)); left > 0 && (i < len(slots)-1 || j.Spec.OneZone) {
				continue
			}
			if s.at < soonest {
				best, soonest = slots[:i+1], s.at
			}
			break
		}
	}
	return best, soonest
}

// reserve holds the machines freeing soonest for the top blocked job.
func (p *planner) reserve(j *Job) {
	set, at := p.soonestSet(j, func(m *Machine) bool {
		_, taken := p.reserved[m]
		return !m.Borrowable && !m.Foreign && (!taken || m.Promised != nil && m.Promised.Job == j)
	})
	if j.Spec.Kind == wire.Gang {
		p.gangs++
	}
	for _, s := range set {
		p.reserved[s.m] = at
		p.resFor[s.m] = j
	}
}

// mayStop tells whether PROTOCOL permits stopping u for j.
func (p *planner) mayStop(j *Job, u Use) bool {
	if u.Job == nil || u.Index < 0 {
		return false
	}
	if wire.Tier(u.Job.Spec.Priority) < wire.Tier(j.Spec.Priority) {
		return true
	}
	if wire.Tier(u.Job.Spec.Priority) > wire.Tier(j.Spec.Priority) {
		return false // permitted within a guarantee, but it costs more than it serves
	}
	if u.New || u.Job.score > j.score {
		return false // it would take the room again in the next cycle, and so on
	}
	mine, theirs := p.Teams[j.Spec.Team], p.Teams[u.Job.Spec.Team]
	return mine != nil && theirs != nil && mine != theirs && mine.inGuarantee(j.Need, int64(j.Pending)) && theirs.Beyond(u.Need)
}

func (p *planner) guaranteed(j *Job) bool {
	t := p.Teams[j.Spec.Team]
	return t != nil && t.inGuarantee(j.Need, int64(j.blocked))
}

func (t *Team) inGuarantee(need Res, n int64) bool {
	g := t.Guarantee
	if g.CPU == 0 && g.GPU == 0 {
		return false
	}
	u := t.Used.Add(need, n)
	return (g.CPU == 0 || u.CPU <= g.CPU) && (g.GPU == 0 || u.GPU <= g.GPU)
}

// Beyond tells whether a team has its whole guarantee even without need.
func (t *Team) Beyond(need Res) bool {
	g := t.Guarantee
	if g.CPU == 0 && g.GPU == 0 {
		return false
	}
	return (g.CPU == 0 || t.Used.CPU-need.CPU >= g.CPU) && (g.GPU == 0 || t.Used.GPU-need.GPU >= g.GPU)
}

// Bounds of one pass: so many blocked jobs, best first, may have others
// stopped for them, and so many machines are asked for; the next cycle goes on
// where this one ended.
const (
	reserveGangs = 32
	evictJobs    = 16
	evictMost    = 32
	rentMost     = 150
	blockedMost  = 400
)

// clearing is what emptying a machine for a job costs.
type clearing struct {
	m    *Machine
	uses []Use
	lost int64
	fits int
}

// evict stops tasks for blocked jobs: the machines whose emptying loses the
// least work, unless room is expected soon anyway. A gang gets all it needs
// claimed at once, free machines included, in one zone where it must be.
func (p *planner) evict(blocked []*Job) {
	machines, jobs := 0, 0
	taken := map[*Machine]bool{}
	for _, j := range blocked {
		if jobs >= evictJobs || machines >= evictMost {
			break
		}
		if j.Deprior || !p.mayStopAny(j) {
			continue
		}
		if slices.ContainsFunc(p.Machines, func(m *Machine) bool { return m.Promised != nil && m.Promised.Job == j }) {
			continue
		}
		// What others have reserved does not count: several gangs once waited
		// for the same machine, each sure that it would be free soon.
		_, soon := p.soonestSet(j, func(m *Machine) bool {
			return !m.Borrowable && (!m.Foreign || m.Claim == j.ID) && !taken[m] && (p.resFor[m] == nil || p.resFor[m] == j)
		})
		if soon < p.Now+int64((j.Spec.SaveS+10)*float64(Second)) {
			continue
		}
		jobs++
		set := p.clearings(j, taken)
		var least int64
		equal := false
		for _, c := range set {
			least += c.lost
			equal = equal || slices.ContainsFunc(c.uses, func(u Use) bool { return wire.Tier(u.Job.Spec.Priority) >= wire.Tier(j.Spec.Priority) })
		}
		if equal && least > soon-p.Now {
			continue // more work would be lost than wait saved
		}
		for _, c := range set {
			taken[c.m] = true
			if c.m.Claim == j.ID {
				continue
			}
			machines++
			p.plan.Evictions = append(p.plan.Evictions, Eviction{j, c.m, c.uses, p.guaranteed(j)})
		}
	}
}

// mayStopAny tells whether PROTOCOL might permit stopping anything for j.
func (p *planner) mayStopAny(j *Job) bool {
	return wire.Tier(j.Spec.Priority) > 1 || p.guaranteed(j)
}

// clearings is the machines that cost least to empty for a whole gang, or for
// one task of another job; nil where there are not enough.
func (p *planner) clearings(j *Job, taken map[*Machine]bool) []clearing {
	need := 1
	if j.Spec.Kind == wire.Gang {
		need = j.Pending
	}
	byZone := map[string][]clearing{}
	for _, m := range p.Machines {
		if !m.Usable && !m.Foreign && m.Claim != j.ID || m.Borrowable || m.Claim != "" && m.Claim != j.ID || taken[m] || !m.Total.Fits(j.Need) ||
			j.Avoid[m.Name] || j.perZone(m.Zone) <= 0 || !Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) {
			continue
		}
		if at, ok := p.reserved[m]; ok && p.resFor[m] != j && at < math.MaxInt64 {
			continue
		}
		c := clearing{m: m}
		free := m.Free
		if m.Claim != j.ID {
			uses := slices.Clone(m.Uses)
			slices.SortStableFunc(uses, func(a, b Use) int { return cmp.Compare(a.Lost, b.Lost) })
			for _, u := range uses {
				if free.Times(j.Need) >= need && !m.Foreign {
					break
				}
				if u.Leaving || p.mayStop(j, u) {
					free = free.Add(u.Need, 1)
					c.lost += u.Lost
					c.uses = append(c.uses, u)
				}
			}
			if m.Foreign {
				if len(c.uses) < len(uses) || len(uses) == 0 {
					// It moves only empty; and one that is empty but not offered
					// is being kept for another job: two parts took it from
					// each other, stopping what it ran each time.
					continue
				}
				c.lost += 5 * Second
			}
		} else {
			free = m.Total
		}
		if c.fits = free.Times(j.Need); c.fits > 0 {
			z := ""
			if j.Spec.OneZone {
				z = m.Zone
			}
			byZone[z] = append(byZone[z], c)
		}
	}
	var best []clearing
	var least int64 = math.MaxInt64
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[z]
		slices.SortStableFunc(list, func(a, b clearing) int { return cmp.Compare(a.lost/int64(a.fits), b.lost/int64(b.fits)) })
		left, lost := need, int64(0)
		for i, c := range list {
			lost += c.lost
			if left -= c.fits; left <= 0 {
				if lost < least {
					best, least = list[:i+1], lost
				}
				break
			}
		}
	}
	return best
}

// demand borrows or rents for what neither runs nor fits soon. Room is dealt
// out in rank order: what is free or boots, then what ends before a rented
// machine would be up, or early enough for a stated deadline.
func (p *planner) demand(blocked []*Job) {
	rent := map[Kind]int{}
	var order []Kind
	virtual := slices.Clone(p.Machines)
	borrowed := map[*Machine]bool{}
	total := 0
	// Without anything to rent, room is dealt out as far ahead as a rented
	// machine would take twice; what is beyond that waits by the queue's length.
	var far int64
	for i := range p.Types {
		far = max(far, p.Now+int64(2*p.Types[i].BootS*float64(Second)))
	}
	var gpus, cpus, queue int64
	for _, m := range p.Machines {
		if !m.Foreign {
			gpus, cpus = gpus+m.Total.GPU, cpus+m.Total.CPU
		}
	}
	for _, j := range blocked {
		if j.Deprior {
			continue
		}
		if j.Spec.OneZone && j.blocked > 1 {
			j.zone = p.rentZone(j)
		}
		left := min(j.blocked, blockedMost)
		kind, typ := p.cheapest(j, left, rent)
		for pass := range 2 {
			for _, m := range virtual {
				if left == 0 {
					break
				}
				limit := far
				if typ != nil {
					limit = max(p.Now+int64(typ.BootS*float64(Second)), p.latest(j, m.Type))
				}
				if pass == 0 && !m.Free.Fits(j.Need) || pass == 1 && m.freeing > limit || !p.serves(j, m) {
					continue
				}
				for left > 0 && j.perZone(m.Zone) > 0 {
					at := m.freeAt(j.Need, p.Now)
					if m.Lent && at < math.MaxInt64 {
						at = max(at, m.ReadyAt)
					}
					if at > limit || at == math.MaxInt64 || pass == 0 && !m.Free.Fits(j.Need) {
						if pass == 1 {
							m.freeing = at
						}
						break
					}
					if (m.Borrowable || m.Lent) && !borrowed[m] {
						borrowed[m] = true
						p.plan.Borrow = append(p.plan.Borrow, m)
					}
					m.Free = m.Free.Add(j.Need, -1)
					end := at + int64(j.Spec.EstimateS*float64(Second)) + p.fetch(j, m.Type)
					m.use(Use{Job: j, Index: -1, Need: j.Need, End: end})
					p.ends(j, end)
					left--
				}
			}
		}
		for left > 0 && typ != nil && total < rentMost {
			full := ResOf(typ.CPUs, typ.GPUs, typ.MemoryGB)
			fit := full.Times(j.Need)
			n := min((left+fit-1)/fit, rentMost-total, max(1, 50-rent[kind]%50))
			if rent[kind] == 0 {
				order = append(order, kind)
			}
			rent[kind] += n
			total += n
			boot := p.Now + int64(typ.BootS*float64(Second))
			end := boot + int64(j.Spec.EstimateS*float64(Second)) + p.fetch(j, typ)
			p.ends(j, end)
			for range n {
				m := &Machine{Type: typ, Zone: kind.Zone, Spot: kind.Spot, Total: full, Free: full, ReadyAt: boot}
				for k := min(left, fit); k > 0; k-- {
					m.Free = m.Free.Add(j.Need, -1)
					m.use(Use{Job: j, Index: -1, Need: j.Need, End: end})
					left--
				}
				virtual = append(virtual, m)
			}
			p.plan.Why[j.ID] = "waits for a rented machine to boot"
			kind, typ = p.cheapest(j, left, rent)
		}
		for ; left > 0; left = 0 {
			work := int64(left) * int64(j.Spec.EstimateS*float64(Second))
			queue += max(work*j.Need.GPU/max(1, gpus), work*j.Need.CPU/max(1, cpus))
			p.ends(j, p.Now+queue+int64(j.Spec.EstimateS*float64(Second)))
			p.plan.Why[j.ID] = "no room, and no machine to rent for it"
		}
	}
	p.rentals(rent, order)
}

// serves tells whether a machine may be counted on for a job's later tasks.
func (p *planner) serves(j *Job, m *Machine) bool {
	// Exception: home jobs that wait do not always reclaim, and a borrower's
	// work is stopped for them only where PROTOCOL's preemption permits it;
	// else the machine comes back as its tasks end. Where all parts are
	// overloaded it only moved machines, and their work, in circles.
	if m.Lent && !m.Fair && !p.guaranteed(j) {
		return false
	}
	if m.Promised != nil {
		return m.Promised.Job == j
	}
	if m.Foreign && !m.Lent && m.Claim != j.ID || m.Claim != "" && m.Claim != j.ID || j.Avoid[m.Name] || j.perZone(m.Zone) <= 0 || !Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) {
		return false
	}
	return j.Spec.Kind != wire.Gang || m.Free.Fits(j.Need) || // else its own mates wait there for it
		!slices.ContainsFunc(m.Uses, func(u Use) bool { return u.Job == j && u.Index >= 0 })
}

// latest is when a task must start there at the latest to be early enough for
// what its owner expects.
func (p *planner) latest(j *Job, t *wire.MachineType) int64 {
	if j.Spec.DeadlineS <= 0 {
		return 0
	}
	return j.At + int64((j.Spec.DeadlineS-1.2*j.Spec.EstimateS)*float64(Second)) - p.fetch(j, t)
}

// rentals puts what is to be rented into the plan, in the order of its demand.
func (p *planner) rentals(rent map[Kind]int, order []Kind) {
	for _, k := range order {
		p.plan.Rentals = append(p.plan.Rentals, Rental{k, rent[k]})
	}
}

// rentZone is the one zone that all of a job's machines are to be in: where
// most of them are free or boot already and the rest may be had. Renting each where
// it was cheapest left gangs with half their machines in each of two zones,
// returned as idle and rented again without end.
func (p *planner) rentZone(j *Job) string {
	has := map[string]int{}
	for _, m := range p.Machines {
		if !m.Foreign && !j.Avoid[m.Name] && Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) && j.perZone(m.Zone) > 0 {
			has[m.Zone] += m.Free.Times(j.Need)
		}
	}
	best, most := "", -1
	for i := range p.Types {
		t := &p.Types[i]
		if !ResOf(t.CPUs, t.GPUs, t.MemoryGB).Fits(j.Need) {
			continue
		}
		for _, z := range t.Zones {
			open := false
			for _, spot := range []bool{true, false} {
				open = open || Allowed(j.Spec, t.Name, z, spot) && !p.Refused[Kind{t.Name, z, spot}]
			}
			n := min(has[z], j.blocked)
			if (open || n == j.blocked) && j.perZone(z) > 0 && (n > most || n == most && z < best) {
				best, most = z, n
			}
		}
	}
	return best
}

// cheapest chooses what to rent: the lowest price for each task that the
// machine would hold of this demand.
func (p *planner) cheapest(j *Job, n int, asked map[Kind]int) (Kind, *wire.MachineType) {
	var best Kind
	var typ *wire.MachineType
	least, floor := math.Inf(1), math.Inf(1)
	perTask := map[Kind]float64{}
	for i := range p.Types {
		t := &p.Types[i]
		fit := ResOf(t.CPUs, t.GPUs, t.MemoryGB).Times(j.Need)
		if fit == 0 {
			continue
		}
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				k := Kind{t.Name, z, spot}
				if !Allowed(j.Spec, t.Name, z, spot) || j.perZone(z) <= 0 {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice * 1.1 // some of the work is lost with a taken machine
				}
				perTask[k] = price / float64(fit)
				floor = min(floor, perTask[k])
				if p.Refused[k] {
					continue
				}
				overhead := (t.BootS + float64(p.fetch(j, t))/float64(Second) + j.Spec.EstimateS) / max(1, j.Spec.EstimateS)
				// Of equals, one that this plan rents already: fewer requests.
				cost := price*overhead/float64(min(fit, n)) + float64(p.held[k])*1e-6
				if asked[k] > 0 {
					cost -= 1e-3
				}
				if cost < least {
					best, typ, least = k, t, cost
				}
			}
		}
	}
	// Dear kinds are for those that have waited long.
	ceiling := p.Ops.PriceCeiling * (1 + float64(p.Now-j.At)/float64(Second)/p.Ops.CeilingGrowthS)
	if typ != nil && perTask[best] > ceiling*floor {
		return best, nil
	}
	return best, typ
}
