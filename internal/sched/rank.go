package sched

import (
	"cmp"
	"math"
	"slices"

	"spurmoor/internal/wire"
)

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
	typical := p.typicalDrain(part)
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
		j.score = w.Priority*float64(j.Tier) + w.Wait*wait + w.Deficit*deficit +
			w.ZoneFit*fit + w.Readiness*readiness + w.Backlog*backlog
		j.score -= p.Ops.LatePenalty * p.outOfReach(j)
		j.score -= p.Ops.LargePenalty * backlog * p.large(j, part, typical)
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
	if j.Spec.EstimateS <= 0 {
		return 0
	}
	age := float64(p.Now-j.At) / float64(Second)
	lost, n := 0, 0
	count := func(late bool) {
		if n++; late {
			lost++
		}
	}
	for _, a := range p.Aims[j.Spec.Class] {
		switch a.Kind {
		case "wait":
			count(!j.Begun && age > a.WithinS)
		case "finished":
			count(age+j.Spec.EstimateS > a.WithinS)
		case "deadline":
			if j.Due.S == 0 {
				count(false)
			}
		}
	}
	// The deadline's aims are those of the class of the job that has it.
	for _, a := range p.Aims[j.Due.Class] {
		if a.Kind == "deadline" {
			count(float64(p.Now-j.Due.At)/float64(Second)+j.Spec.EstimateS+j.Due.After > a.Times*j.Due.S)
		}
	}
	return float64(lost) / math.Max(1, float64(n))
}

// drain is how long the whole part would be busy with what waits of a job, in
// seconds.
func (j *Job) drain(part Res) float64 {
	share := 0.0
	for _, r := range [][2]int64{{j.Need.CPU, part.CPU}, {j.Need.GPU, part.GPU}, {j.Need.Mem, part.Mem}} {
		if r[1] > 0 {
			share = math.Max(share, float64(int64(j.Pending)*r[0])/float64(r[1]))
		}
	}
	return share * j.Spec.EstimateS
}

// typicalDrain is that of the average array that waits.
func (p *planner) typicalDrain(part Res) float64 {
	sum, n := 0.0, 0.0
	for _, j := range p.Jobs {
		if j.Spec.Kind == wire.Array && j.Pending > 0 {
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
func (p *planner) large(j *Job, part Res, typical float64) float64 {
	if j.Spec.Kind != wire.Array || typical <= 0 {
		return 0
	}
	waited := float64(p.Now-j.At) / float64(Second) / (4 * p.Ops.BeginWithinS)
	return math.Min(1, j.drain(part)/(2.5*typical)) * math.Max(0, 1-waited)
}
