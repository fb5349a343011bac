package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// ownTier is a job's tier without what was lent to it.
func (j *Job) ownTier() int { return j.Spec.Priority.Tier() }

// lentMay tells whether a priority that was lent to j may stop u: tasks of
// arrays only, that run for a while. Gangs that a pipeline needed put out others
// of their own sort, one of them ten times.
func (j *Job) lentMay(u Allocation) bool {
	return u.Job.Tier < j.Tier && u.Job.Spec.Kind == api.Array && !u.StartedRecently
}

// mayStop tells whether PROTOCOL permits stopping u for j.
func (p *planner) mayStop(j *Job, u Allocation) bool {
	if u.Job == nil || u.TaskIndex < 0 {
		return false
	}
	if u.Job.Tier < j.ownTier() || j.lentMay(u) {
		return true
	}
	if u.Job.Tier > j.ownTier() {
		return false // permitted within a guarantee, but it costs more than it serves
	}
	if u.StartedRecently || u.Job.score > j.score {
		return false // it would take the room again in the next cycle, and so on
	}
	mine, theirs := p.Quotas[j.Spec.Team], p.Quotas[u.Job.Spec.Team]
	return mine != nil && theirs != nil && mine != theirs && mine.inGuarantee(j.Request, int64(j.PendingTasks)) && theirs.KeepsGuaranteeWithout(u.Request)
}

func (p *planner) guaranteed(j *Job) bool {
	t := p.Quotas[j.Spec.Team]
	return t != nil && t.inGuarantee(j.Request, int64(j.blocked))
}

func (t *Quota) inGuarantee(need Resources, n int64) bool {
	g := t.Guaranteed
	if g.CPU == 0 && g.GPU == 0 {
		return false
	}
	u := t.Used.Add(need, n)
	return (g.CPU == 0 || u.CPU <= g.CPU) && (g.GPU == 0 || u.GPU <= g.GPU)
}

// KeepsGuaranteeWithout tells whether a team has its whole guarantee even without need.
func (t *Quota) KeepsGuaranteeWithout(need Resources) bool {
	g := t.Guaranteed
	if g.CPU == 0 && g.GPU == 0 {
		return false
	}
	return (g.CPU == 0 || t.Used.CPU-need.CPU >= g.CPU) && (g.GPU == 0 || t.Used.GPU-need.GPU >= g.GPU)
}

// bound is how many of something one pass deals with: so many at least, and one for so
// many machines. The next pass goes on where this one ended.
type bound struct{ least, machinesEach int }

// Bounds of one pass.
var (
	gangsToReserve = bound{32, 64}  // blocked gangs that reserve, best first
	jobsToEvict    = bound{16, 128} // blocked jobs that may have others stopped for them
	machinesToAsk  = bound{32, 64}  // machines that are emptied or asked for
	machinesToRent = bound{150, 16}
	tasksToServe   = bound{400, 4} // of one array that room is found for, or rented
)

// most gives a bound for the machines that there are.
func (p *planner) most(b bound) int { return max(b.least, len(p.Machines)/b.machinesEach) }

// clearing is what emptying a machine for a job costs.
type clearing struct {
	m    *Machine
	uses []Allocation
	lost micros.Micros
	fits int
}

// evict stops tasks for blocked jobs: the machines whose emptying loses the
// least work, unless room is expected soon anyway. A gang gets all it needs
// claimed at once, free machines included, in one zone where it must be.
func (p *planner) evict(blocked []*Job) {
	machines, jobs := 0, 0
	taken := map[*Machine]bool{}
	for _, j := range blocked {
		if jobs >= p.most(jobsToEvict) || machines >= p.most(machinesToAsk) {
			break
		}
		if j.Deprioritized || !p.mayStopAny(j) || p.hasReservation(j) {
			continue
		}
		soon := p.roomAt(j, taken)
		if soon < p.Now+micros.FromSeconds(j.Spec.CheckpointSaveS+10) {
			continue
		}
		jobs++
		set := p.clearings(j, taken)
		if !p.worthwhile(j, set, soon) {
			continue
		}
		for _, c := range set {
			taken[c.m] = true
			if c.m.ClaimedBy == j.ID {
				continue
			}
			machines++
			p.plan.Preemptions = append(p.plan.Preemptions, Preemption{j, c.m, c.uses, p.guaranteed(j)})
		}
	}
}

// roomAt is when a job has room without anything being stopped for it. What others
// have reserved does not count: several gangs once waited for the same machine, each
// sure that it would be free soon.
func (p *planner) roomAt(j *Job, taken map[*Machine]bool) micros.Micros {
	_, soon := p.soonestSet(j, func(m *Machine) bool {
		ours := !m.Borrowable && (!m.OtherPartition || m.ClaimedBy == j.ID)
		return ours && !taken[m] && (p.resFor[m] == nil || p.resFor[m] == j)
	})
	return soon
}

// hasReservation tells whether machines are kept for a job.
func (p *planner) hasReservation(j *Job) bool {
	return slices.ContainsFunc(p.Machines, func(m *Machine) bool { return m.Reservation != nil && m.Reservation.Job == j })
}

// worthwhile tells whether a job gains more by emptying machines than is lost,
// where it would else have room soon.
func (p *planner) worthwhile(j *Job, set []clearing, soon micros.Micros) bool {
	var lost micros.Micros
	equal := false
	for _, c := range set {
		lost += c.lost
		equal = equal || slices.ContainsFunc(c.uses, func(u Allocation) bool { return u.Job.Tier >= j.ownTier() })
	}
	if !equal {
		return true
	}
	if lost > soon-p.Now {
		return false // more work would be lost than wait saved
	}
	inTime := j.Deadline.WithinS > 0 && soon < math.MaxInt64 && soon+micros.FromSeconds(j.Spec.EstimateS) <= j.Deadline.Latest()
	return j.Tier <= j.ownTier() || !inTime // what it was lent for may be in time all the same
}

// mayStopAny tells whether PROTOCOL might permit stopping anything for j.
func (p *planner) mayStopAny(j *Job) bool {
	return j.Tier > 1 || p.guaranteed(j)
}

// clearings is the machines that cost least to empty for a whole gang, or for
// one task of another job; nil where there are not enough.
func (p *planner) clearings(j *Job, taken map[*Machine]bool) []clearing {
	need := 1
	if j.Spec.Kind == api.Gang {
		need = j.PendingTasks
	}
	byZone := map[string][]clearing{}
	for _, m := range p.Machines {
		if taken[m] || !p.clearable(j, m) {
			continue
		}
		c, ok := p.clearing(j, m, need)
		if !ok || c.fits == 0 {
			continue
		}
		z := ""
		if j.Spec.OneZone {
			z = m.Zone
		}
		byZone[z] = append(byZone[z], c)
	}
	var best []clearing
	var least micros.Micros = math.MaxInt64
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		if set, lost := cheapestSet(byZone[z], need); set != nil && lost < least {
			best, least = set, lost
		}
	}
	return best
}

// clearable tells whether a machine may be emptied for a job.
func (p *planner) clearable(j *Job, m *Machine) bool {
	if !m.Schedulable && !m.OtherPartition && m.ClaimedBy != j.ID || m.Borrowable || !m.Total.Fits(j.Request) || !p.couldRun(j, m) {
		return false
	}
	at, reserved := p.reserved[m]
	return !reserved || p.resFor[m] == j || at == math.MaxInt64
}

// clearing works out what emptying a machine for up to need tasks of a job costs;
// false: it can't be emptied.
func (p *planner) clearing(j *Job, m *Machine, need int) (clearing, bool) {
	if m.ClaimedBy == j.ID {
		return clearing{m: m, fits: m.Total.Multiples(j.Request)}, true
	}
	c := clearing{m: m}
	free := m.Free
	uses := slices.Clone(m.Allocations)
	slices.SortStableFunc(uses, func(a, b Allocation) int { return cmp.Compare(a.LostWork, b.LostWork) })
	for _, u := range uses {
		if free.Multiples(j.Request) >= need && !m.OtherPartition {
			break
		}
		if u.Stopping || p.mayStop(j, u) {
			free = free.Add(u.Request, 1)
			c.lost += u.LostWork
			c.uses = append(c.uses, u)
		}
	}
	if m.OtherPartition {
		if len(c.uses) < len(uses) || len(uses) == 0 {
			// It moves only empty; and one that is empty but not offered
			// is being kept for another job: two partitions took it from
			// each other, stopping what it ran each time.
			return clearing{}, false
		}
		c.lost += 5 * micros.Second
	}
	c.fits = free.Multiples(j.Request)
	return c, true
}

// cheapestSet is the machines of a list that cost least for need tasks, and what
// they cost; nil where there are not enough.
func cheapestSet(list []clearing, need int) ([]clearing, micros.Micros) {
	slices.SortStableFunc(list, func(a, b clearing) int {
		return cmp.Compare(a.lost/micros.Micros(a.fits), b.lost/micros.Micros(b.fits))
	})
	lost := micros.Micros(0)
	for i, c := range list {
		lost += c.lost
		if need -= c.fits; need <= 0 {
			return list[:i+1], lost
		}
	}
	return nil, 0
}
