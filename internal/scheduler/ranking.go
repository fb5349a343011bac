package scheduler

import (
	"cmp"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// rank sorts the jobs by the design's weighted sum.
func (p *planner) rank() {
	r := p.newRanking()
	for _, j := range p.Jobs {
		j.score = r.score(j)
	}
	slices.SortStableFunc(p.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.EligibleAt, b.EligibleAt), cmp.Compare(a.ID, b.ID))
	})
}

// Amounts that put a job before or behind all others whatever its terms say.
const (
	dueBonus       = 2
	depriorPenalty = 100
)

// ranking is what the scores of a plan's jobs have in common.
type ranking struct {
	*planner
	total   Resources // of the partition's machines
	zones   int
	backlog float64
	typical float64                         // work of the average array that waits
	usable  map[InstanceKind]int            // machines, those with room if there are any
	cached  map[string]map[InstanceKind]int // of those with an image
}

func (p *planner) newRanking() *ranking {
	r := &ranking{planner: p, usable: map[InstanceKind]int{}, cached: map[string]map[InstanceKind]int{}}
	// Readiness is the share of machines with the image among those that have
	// room now, of any if none has.
	hasRoom := func(m *Machine) bool { return m.Schedulable && m.Free.GPU > 0 && m.Free.CPU > 0 }
	room := slices.ContainsFunc(p.Machines, hasRoom)
	zones := map[string]bool{}
	running, queued := 0.0, 0.0
	for _, m := range p.Machines {
		if m.Schedulable && !room || hasRoom(m) {
			r.addCached(m)
		}
		zones[m.Zone] = true
		r.total = r.total.Add(m.Total, 1)
		for _, u := range m.Allocations {
			running += float64(max(0, u.ExpectedEnd-p.Now))
		}
	}
	for _, j := range p.Jobs {
		queued += float64(j.PendingTasks) * j.Spec.EstimateS * float64(micros.Second)
	}
	r.zones = len(zones)
	r.backlog = 1
	if running > 0 {
		r.backlog = math.Min(1, queued/running)
	}
	r.typical = p.typicalDrain(r.total)
	return r
}

// addCached counts a usable machine and the images that it has.
func (r *ranking) addCached(m *Machine) {
	k := m.kind()
	r.usable[k]++
	for _, i := range m.CachedImages {
		if r.cached[i] == nil {
			r.cached[i] = map[InstanceKind]int{}
		}
		r.cached[i][k]++
	}
}

// score is a job's weighted sum, less what the exceptions take off.
func (r *ranking) score(j *Job) float64 {
	w := r.Operators.Weights
	wait := math.Log(1 + max(0, r.Now-j.EligibleAt).Seconds()/r.Operators.ReferenceWaitS)
	score := w.Priority*float64(j.Tier) + w.Wait*wait + w.Deficit*r.deficit(j) +
		w.ZoneFit*r.zoneFit(j) + w.Readiness*r.readiness(j) + w.Backlog*r.backlog
	score -= r.Operators.LatePenalty * r.outOfReach(j)
	score -= r.Operators.LargePenalty * r.backlog * r.large(j, r.total, r.typical)
	if j.Spec.Kind != api.Array && r.due(j) {
		score += dueBonus
	}
	if j.Deprioritized {
		// Exception: a high-tier job that fails on every machine would
		// top each cycle and take room first.
		score -= depriorPenalty
	}
	return score
}

// deficit is how much of its target share a job's team lacks. The target is its
// guarantee; without one, an equal share of the partition.
func (r *ranking) deficit(j *Job) float64 {
	t := r.Quotas[j.Spec.Team]
	if t == nil {
		return 0
	}
	target, used := float64(t.Guaranteed.GPU), float64(t.Used.GPU)
	if target == 0 {
		target, used = float64(t.Guaranteed.CPU), float64(t.Used.CPU)
	}
	if target == 0 {
		target, used = float64(r.total.CPU)/float64(max(1, len(r.Quotas))), float64(t.Used.CPU)
	}
	if target <= 0 {
		return 0
	}
	return math.Max(0, target-used) / target
}

// zoneFit is 1 less the share of the zones that a job needs.
func (r *ranking) zoneFit(j *Job) float64 {
	if r.zones == 0 {
		return 0.5
	}
	need := 1
	if j.Spec.Spread && j.Spec.Tasks > 1 {
		need = 2
	}
	return math.Max(0, 1-float64(need)/float64(r.zones))
}

// readiness is the share of the machines a job may use that have its image.
func (r *ranking) readiness(j *Job) float64 {
	ready, could := 0, 0
	for k, n := range r.usable {
		if Allowed(j.Spec, k.Type, k.Zone, k.Spot) {
			could += n
			ready += r.cached[j.Spec.Image][k]
		}
	}
	if could == 0 {
		return 0
	}
	return float64(ready) / float64(could)
}

// due tells whether a job has not begun though half of the time is over within
// which every job should have.
func (p *planner) due(j *Job) bool {
	return !j.Started && !j.Deprioritized && float64(p.Now-j.EligibleAt) > p.Operators.BeginWithinS/2*float64(micros.Second)
}

// outOfReach is the share of the stated aims of the job's class that it can
// no longer meet. Exception: in an overload, wait alone would rank first those
// that are late already, and so make everyone late.
func (p *planner) outOfReach(j *Job) float64 {
	if j.Spec.EstimateS <= 0 {
		return 0
	}
	age := (p.Now - j.EligibleAt).Seconds()
	lost, n := 0, 0
	count := func(late bool) {
		if n++; late {
			lost++
		}
	}
	for _, a := range p.Objectives[j.Spec.Class] {
		switch a.Kind {
		case "wait":
			count(!j.Started && age > a.WithinS)
		case "finished":
			count(age+j.Spec.EstimateS > a.WithinS)
		case "deadline":
			if j.Deadline.WithinS == 0 {
				count(false)
			}
		}
	}
	// The deadline's aims are those of the class of the job that has it.
	for _, a := range p.Objectives[j.Deadline.Class] {
		if a.Kind == "deadline" {
			count((p.Now-j.Deadline.SubmittedAt).Seconds()+j.Spec.EstimateS+j.Deadline.DownstreamS > a.DeadlineFactor*j.Deadline.WithinS)
		}
	}
	return float64(lost) / math.Max(1, float64(n))
}

// drain is how long the whole partition would be busy with what waits of a job, in
// seconds.
func (j *Job) drain(part Resources) float64 {
	share := 0.0
	for _, r := range [][2]int64{{j.Request.CPU, part.CPU}, {j.Request.GPU, part.GPU}, {j.Request.Mem, part.Mem}} {
		if r[1] > 0 {
			share = math.Max(share, float64(int64(j.PendingTasks)*r[0])/float64(r[1]))
		}
	}
	return share * j.Spec.EstimateS
}

// typicalDrain is that of the average array that waits.
func (p *planner) typicalDrain(part Resources) float64 {
	sum, n := 0.0, 0.0
	for _, j := range p.Jobs {
		if j.Spec.Kind == api.Array && j.PendingTasks > 0 {
			sum += j.drain(part)
			n++
		}
	}
	return sum / math.Max(1, n)
}

// large is how much an array asks for, from 0 to 1 for two and a half times the
// average of those that wait; it fades with the job's own wait. Exception: where
// more waits than fits, what is served in the order of its arrival is late for
// all; where those that ask for least go first, most are in time.
func (p *planner) large(j *Job, part Resources, typical float64) float64 {
	if j.Spec.Kind != api.Array || typical <= 0 {
		return 0
	}
	waited := (p.Now - j.EligibleAt).Seconds() / (4 * p.Operators.BeginWithinS)
	return math.Min(1, j.drain(part)/(2.5*typical)) * math.Max(0, 1-waited)
}
