package sched

import (
	"math"
	"slices"

	"spurmoor/internal/wire"
)

// NothingToRent is why a job waits that nothing can be rented for.
const NothingToRent = "no room, and no machine to rent for it"

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
			p.plan.Why[j.ID] = NothingToRent
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
	if j.Due.S <= 0 {
		return 0
	}
	return j.Due.Latest() - int64(1.2*j.Spec.EstimateS*float64(Second)) - p.fetch(j, t)
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
	if typ != nil && perTask[best] > p.ceiling(j)*floor {
		return best, nil
	}
	return best, typ
}

// ceiling is how many times the price of the cheapest kind that a job may use
// is paid for it. Dear kinds are for jobs that have waited long.
func (p *planner) ceiling(j *Job) float64 {
	base := p.Ops.PriceCeiling
	if p.idleTime(j) {
		base = math.Min(base, p.Ops.IdlePriceCeiling)
	}
	waited := float64(p.Now-j.At) / float64(Second)
	return base * (1 + waited/p.Ops.CeilingGrowthS)
}

// idleTime tells whether a job is idle-time work: of the lowest priority,
// without a deadline, and of a class for which the settings state no objective.
// Such a job runs where there is room, or on cheap machines rented for it.
func (p *planner) idleTime(j *Job) bool {
	return j.Tier <= wire.Tier(wire.BestEffort) && j.Due.S == 0 && len(p.Aims[j.Spec.Class]) == 0
}
