package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// AdvanceReservation says for which job a machine is kept until it is empty, and when
// the last of that job's machines should be.
type AdvanceReservation struct {
	Job     *Job
	ReadyAt micros.Micros
}

// ReserveInAdvance deals machines of all partitions out to the gangs that are due, oldest
// first: to each those of one zone, where it must be in one, that empty
// soonest. Exception: a partition seldom holds eight machines of a zone, nothing may
// be stopped for work of the same tier, and so the largest gangs waited until
// the rest was done. Every controller works it out for itself from the replica
// and keeps to it with its own machines; none has to ask. When they asked for
// machines one by one, several gangs of eight each held some, waited for the
// rest, and none began. A gang accepted after old is promised nothing that it can
// have at once or by stopping what is of a lower tier, nor a single machine: it
// has that sooner by itself.
func ReserveInAdvance(now, old micros.Micros, machines []*Machine, due []*Job) map[string]AdvanceReservation {
	due = slices.Clone(due)
	// The larger a gang, the longer its machines take to empty.
	rank := func(j *Job) micros.Micros { return j.EligibleAt - micros.Micros(j.Spec.Tasks)*5*micros.Second }
	slices.SortFunc(due, func(a, b *Job) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
	promised := map[string]AdvanceReservation{}
	for _, j := range due {
		free := func(m *Machine) bool { _, taken := promised[m.Name]; return !taken }
		best := soonestEmpty(j, now, machines, free)
		if best == nil {
			continue
		}
		last := best[len(best)-1].at
		if j.EligibleAt > old && (len(best) == 1 || last <= now+PreemptionTime) {
			continue
		}
		for _, s := range best {
			promised[s.m.Name] = AdvanceReservation{j, last}
		}
	}
	return promised
}

// soonestEmpty is the machines that empty soonest for all of a gang, in one zone
// where it must be in one; nil where there are not enough.
func soonestEmpty(j *Job, now micros.Micros, machines []*Machine, free func(m *Machine) bool) []slot {
	byZone := map[string][]slot{}
	for _, m := range machines {
		if !free(m) || !m.Total.Fits(j.Request) || j.FailedMachines[m.Name] || j.perZone(m.Zone) <= 0 ||
			!Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) {
			continue
		}
		at := m.emptyAt(j, now)
		if at == math.MaxInt64 {
			continue
		}
		z := ""
		if j.Spec.OneZone {
			z = m.Zone
		}
		byZone[z] = append(byZone[z], slot{m, at})
	}
	var best []slot
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[z]
		slices.SortStableFunc(list, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
		left := j.PendingTasks
		for i, s := range list {
			if left -= s.m.Total.Multiples(j.Request); left > 0 {
				continue
			}
			if best == nil || s.at < best[len(best)-1].at {
				best = list[:i+1]
			}
			break
		}
	}
	return best
}

// emptyAt is when nothing that a job must wait for should run on the machine
// any more: what is of a lower tier can be stopped for it.
func (m *Machine) emptyAt(j *Job, now micros.Micros) micros.Micros {
	at := now
	if !m.Schedulable {
		at = max(now, m.ReadyAt)
	}
	for _, u := range m.Allocations {
		switch {
		case u.Job != nil && u.Job.Tier < j.ownTier():
			at = max(at, min(u.ExpectedEnd, now+PreemptionTime))
		case u.Job != nil && u.Job.Spec.Kind == api.Service:
			return math.MaxInt64
		default:
			at = max(at, u.ExpectedEnd)
		}
	}
	return at
}

// PreemptionTime is about how long it takes to stop what runs on a machine.
const PreemptionTime = 12 * micros.Second
