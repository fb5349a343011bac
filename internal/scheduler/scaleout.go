package scheduler

import (
	"math"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// ReasonNothingToLaunch is why a job waits that nothing can be rented for.
const ReasonNothingToLaunch = "no room, and no machine to rent for it"

// demand borrows or rents for what neither runs nor fits soon. Room is dealt
// out in rank order: what is free or boots, then what ends before a rented
// machine would be up, or early enough for a stated deadline.
func (p *planner) demand(blocked []*Job) {
	d := &demand{planner: p, rent: map[InstanceKind]int{}, virtual: slices.Clone(p.Machines), borrowed: map[*Machine]bool{}}
	// Without anything to rent, room is dealt out as far ahead as a rented
	// machine would take twice; what is beyond that waits by the queue's length.
	for i := range p.MachineTypes {
		d.far = max(d.far, p.Now+micros.FromSeconds(2*p.MachineTypes[i].BootS))
	}
	for _, m := range p.Machines {
		if !m.OtherPartition {
			d.own = d.own.Add(m.Total, 1)
		}
	}
	for _, j := range blocked {
		if !j.Deprioritized {
			d.serve(j)
		}
	}
	for _, k := range d.order {
		p.plan.ScaleOuts = append(p.plan.ScaleOuts, ScaleOut{k, d.rent[k]})
	}
}

// demand is what is to be had for the blocked jobs of a plan.
type demand struct {
	*planner
	rent     map[InstanceKind]int // machines to rent
	order    []InstanceKind       // of the kinds to rent
	total    int                  // machines to rent in all
	virtual  []*Machine           // all machines, with those to be rented
	borrowed map[*Machine]bool
	own      Resources     // of the partition's machines
	far      micros.Micros // how far ahead room is dealt out
	queue    micros.Micros // how long what finds no room keeps the partition busy
}

// serve finds room for what a job lacks, now or soon, or rents it.
func (d *demand) serve(j *Job) {
	if j.Spec.OneZone && j.blocked > 1 {
		j.zone = d.rentZone(j)
	}
	left := j.blocked
	if j.Spec.Kind == api.Array {
		left = min(left, d.most(tasksToServe))
	} // a gang or service needs room for all
	kind, typ := d.cheapest(j, left, d.rent)
	for _, pass := range []dealing{roomNow, roomSoon} {
		for _, m := range d.virtual {
			if left == 0 {
				break
			}
			left -= d.deal(j, m, left, pass, d.limit(j, m, typ))
		}
	}
	for left > 0 && typ != nil && d.total < d.most(machinesToRent) {
		left -= d.rentFor(j, kind, typ, left)
		kind, typ = d.cheapest(j, left, d.rent)
	}
	if left > 0 {
		d.enqueue(j, left)
	}
}

// limit is until when a job may wait for room on a machine, typ being what would
// be rented for it.
func (d *demand) limit(j *Job, m *Machine, typ *api.MachineType) micros.Micros {
	if typ == nil {
		return d.far
	}
	return max(d.Now+micros.FromSeconds(typ.BootS), d.latest(j, m.Type))
}

// dealing is which room is dealt out.
type dealing int

const (
	roomNow  dealing = iota // free, or on a machine that boots
	roomSoon                // where a task ends first
)

// deal counts on a machine's room for up to left tasks of a job, and gives for how
// many.
func (d *demand) deal(j *Job, m *Machine, left int, pass dealing, limit micros.Micros) int {
	if pass == roomSoon && m.freeing > limit || !d.serves(j, m) {
		return 0
	}
	dealt := 0
	for dealt < left && j.perZone(m.Zone) > 0 && (pass == roomSoon || m.Free.Fits(j.Request)) {
		at := m.roomAt(j.Request, d.Now)
		if at > limit || at == math.MaxInt64 {
			if pass == roomSoon {
				m.freeing = at
			}
			break
		}
		if (m.Borrowable || m.LentOut) && !d.borrowed[m] {
			d.borrowed[m] = true
			d.plan.Borrow = append(d.plan.Borrow, m)
		}
		m.Free = m.Free.Add(j.Request, -1)
		end := at + micros.FromSeconds(j.Spec.EstimateS) + d.fetch(j, m.Type)
		m.use(Allocation{Job: j, TaskIndex: -1, Request: j.Request, ExpectedEnd: end})
		d.ends(j, end)
		dealt++
	}
	return dealt
}

// roomAt is when a machine is expected to have room, and to be back if it is lent.
func (m *Machine) roomAt(need Resources, now micros.Micros) micros.Micros {
	at := m.freeAt(need, now)
	if m.LentOut && at < math.MaxInt64 {
		at = max(at, m.ReadyAt)
	}
	return at
}

// rentBatch is how many machines are rented by one request.
const rentBatch = 50

// rentFor rents machines for up to left tasks of a job, and gives for how many.
func (d *demand) rentFor(j *Job, kind InstanceKind, typ *api.MachineType, left int) int {
	full := ResourcesOf(typ.CPUs, typ.GPUs, typ.MemoryGB)
	fit := full.Multiples(j.Request)
	n := min((left+fit-1)/fit, d.most(machinesToRent)-d.total, max(1, rentBatch-d.rent[kind]%rentBatch))
	if d.rent[kind] == 0 {
		d.order = append(d.order, kind)
	}
	d.rent[kind] += n
	d.total += n
	boot := d.Now + micros.FromSeconds(typ.BootS)
	end := boot + micros.FromSeconds(j.Spec.EstimateS) + d.fetch(j, typ)
	d.ends(j, end)
	served := 0
	for range n {
		m := &Machine{Type: typ, Zone: kind.Zone, Spot: kind.Spot, Total: full, Free: full, ReadyAt: boot}
		for k := min(left-served, fit); k > 0; k-- {
			m.Free = m.Free.Add(j.Request, -1)
			m.use(Allocation{Job: j, TaskIndex: -1, Request: j.Request, ExpectedEnd: end})
			served++
		}
		d.virtual = append(d.virtual, m)
	}
	d.plan.BlockedReasons[j.ID] = "waits for a rented machine to boot"
	return served
}

// enqueue reckons with so many tasks of a job behind all that was served before.
func (d *demand) enqueue(j *Job, left int) {
	work := micros.Micros(left) * micros.FromSeconds(j.Spec.EstimateS)
	d.queue += max(work*micros.Micros(j.Request.GPU)/micros.Micros(max(1, d.own.GPU)), work*micros.Micros(j.Request.CPU)/micros.Micros(max(1, d.own.CPU)))
	d.ends(j, d.Now+d.queue+micros.FromSeconds(j.Spec.EstimateS))
	d.plan.BlockedReasons[j.ID] = ReasonNothingToLaunch
}

// serves tells whether a machine may be counted on for a job's later tasks.
func (p *planner) serves(j *Job, m *Machine) bool {
	// Exception: home jobs that wait do not always reclaim, and a borrower's
	// work is stopped for them only where PROTOCOL's preemption permits it;
	// else the machine comes back as its tasks end. Where all partitions are
	// overloaded it only moved machines, and their work, in circles.
	if m.LentOut && !m.BorrowerOverShare && !p.guaranteed(j) {
		return false
	}
	if m.Reservation != nil {
		return m.Reservation.Job == j
	}
	if m.OtherPartition && !m.LentOut && m.ClaimedBy != j.ID || !p.couldRun(j, m) {
		return false
	}
	return j.Spec.Kind != api.Gang || m.Free.Fits(j.Request) || // else its own mates wait there for it
		!slices.ContainsFunc(m.Allocations, func(u Allocation) bool { return u.Job == j && u.TaskIndex >= 0 })
}

// couldRun tells whether a job's next task may be on a machine at all: its kind is
// allowed, no other job has a claim to it, and the job did not fail there.
func (p *planner) couldRun(j *Job, m *Machine) bool {
	if m.ClaimedBy != "" && m.ClaimedBy != j.ID || j.FailedMachines[m.Name] || j.perZone(m.Zone) <= 0 {
		return false
	}
	return Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot)
}

// latest is when a task must start there at the latest to be early enough for
// what its owner expects.
func (p *planner) latest(j *Job, t *api.MachineType) micros.Micros {
	if j.Deadline.WithinS <= 0 {
		return 0
	}
	return j.Deadline.Latest() - micros.FromSeconds(1.2*j.Spec.EstimateS) - p.fetch(j, t)
}

// rentZone is the one zone that all of a job's machines are to be in: where
// most of them are free or boot already and the rest may be had. Renting each where
// it was cheapest left gangs with half their machines in each of two zones,
// returned as idle and rented again without end.
func (p *planner) rentZone(j *Job) string {
	has := map[string]int{}
	for _, m := range p.Machines {
		if !m.OtherPartition && !j.FailedMachines[m.Name] && Allowed(j.Spec, m.Type.Name, m.Zone, m.Spot) && j.perZone(m.Zone) > 0 {
			has[m.Zone] += m.Free.Multiples(j.Request)
		}
	}
	best, most := "", -1
	for i := range p.MachineTypes {
		t := &p.MachineTypes[i]
		if !ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB).Fits(j.Request) {
			continue
		}
		for _, z := range t.Zones {
			n := min(has[z], j.blocked)
			if n < j.blocked && !p.rentable(j, t.Name, z) || j.perZone(z) <= 0 {
				continue
			}
			if n > most || n == most && z < best {
				best, most = z, n
			}
		}
	}
	return best
}

// rentable tells whether machines of a type may be had in a zone for a job.
func (p *planner) rentable(j *Job, typ, zone string) bool {
	for _, spot := range []bool{true, false} {
		if Allowed(j.Spec, typ, zone, spot) && !p.UnavailableKinds[InstanceKind{typ, zone, spot}] {
			return true
		}
	}
	return false
}

// spotSurcharge is what is added to the price of spot machines, for some of the
// work is lost with those that are taken.
const spotSurcharge = 1.1

// cheapest chooses what to rent: the lowest price for each task that the
// machine would hold of this demand.
func (p *planner) cheapest(j *Job, n int, asked map[InstanceKind]int) (InstanceKind, *api.MachineType) {
	var best InstanceKind
	var typ *api.MachineType
	least, floor, price := math.Inf(1), math.Inf(1), 0.0
	for i := range p.MachineTypes {
		t := &p.MachineTypes[i]
		fit := ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB).Multiples(j.Request)
		if fit == 0 {
			continue
		}
		for _, k := range p.kinds(j, t) {
			machine := t.Price
			if k.Spot {
				machine = t.SpotPrice * spotSurcharge
			}
			perTask := machine / float64(fit)
			floor = min(floor, perTask)
			if p.UnavailableKinds[k] {
				continue
			}
			overhead := (t.BootS + p.fetch(j, t).Seconds() + j.Spec.EstimateS) / max(1, j.Spec.EstimateS)
			// Of equals, one that this plan rents already: fewer requests.
			cost := machine*overhead/float64(min(fit, n)) + float64(p.held[k])*1e-6
			if asked[k] > 0 {
				cost -= 1e-3
			}
			if cost < least {
				best, typ, least, price = k, t, cost, perTask
			}
		}
	}
	if typ != nil && price > p.ceiling(j)*floor {
		return best, nil
	}
	return best, typ
}

// kinds lists the kinds of a type that a job may use.
func (p *planner) kinds(j *Job, t *api.MachineType) []InstanceKind {
	var list []InstanceKind
	for _, z := range t.Zones {
		for _, spot := range []bool{true, false} {
			if Allowed(j.Spec, t.Name, z, spot) && j.perZone(z) > 0 {
				list = append(list, InstanceKind{t.Name, z, spot})
			}
		}
	}
	return list
}

// ceiling is how many times the price of the cheapest kind that a job may use
// is paid for it. Dear kinds are for jobs that have waited long.
func (p *planner) ceiling(j *Job) float64 {
	base := p.Operators.PriceCeiling
	if p.idleTime(j) {
		base = math.Min(base, p.Operators.IdlePriceCeiling)
	}
	waited := (p.Now - j.EligibleAt).Seconds()
	return base * (1 + waited/p.Operators.CeilingGrowthS)
}

// idleTime tells whether a job is idle-time work: of the lowest priority,
// without a deadline, and of a class for which the settings state no objective.
// Such a job runs where there is room, or on cheap machines rented for it.
func (p *planner) idleTime(j *Job) bool {
	return j.Tier <= api.PriorityBestEffort.Tier() && j.Deadline.WithinS == 0 && len(p.Objectives[j.Spec.Class]) == 0
}
