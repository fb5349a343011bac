package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// chooseSpare is a machine of another partition with room for a job of ours that nothing can
// be rented for, and of which nothing has begun after a sixth of begin_within_s.
// A machine has one holder, so room beside another partition's tasks is no use to us: in
// a small, full cluster a team under its limit waited for two minutes beside it.
// It is asked for to be given when its tasks have ended; one at a time.
func (c *Controller) chooseSpare(p *partition, jobs map[string]*job, why map[string]string) *machine {
	first := c.oldestWithoutScaleOut(jobs, why)
	if first == nil {
		p.requestedSpare = ""
		return nil
	}
	if m := c.machines[p.requestedSpare]; m != nil && c.mayRequestSpare(m, p, first) {
		return m // what was asked for goes on emptying
	}
	var best *machine
	var soonest micros.Micros
	for _, m := range c.machinesByName {
		if !c.mayRequestSpare(m, p, first) {
			continue
		}
		sm := c.schedulerMachine(m)
		if !sm.Free.Fits(first.request) {
			continue
		}
		c.addAllocations(sm, m, nil)
		end := c.now
		for _, u := range sm.Allocations {
			end = max(end, u.ExpectedEnd)
		}
		if best == nil || end < soonest {
			best, soonest = m, end
		}
	}
	p.requestedSpare = ""
	if best != nil {
		p.requestedSpare = best.name
		c.logInfo("spare machine asked for", "for", first.id, "machine", best.name, "partition", best.record.Partition, "tasks", len(best.taskIDs))
	}
	return best
}

// oldestWithoutScaleOut is the job that has waited longest of those that a single
// machine would help, and for which nothing can be rented.
func (c *Controller) oldestWithoutScaleOut(jobs map[string]*job, why map[string]string) *job {
	var first *job
	for _, id := range sortedKeys(jobs) {
		j := jobs[id]
		single := j.spec.Kind == api.Array || j.spec.Tasks == 1
		if why[id] != scheduler.ReasonNothingToLaunch || !single || j.hasStarted() || c.deprioritized(j) {
			continue
		}
		if c.now > j.eligibleAt()+micros.FromSeconds(c.settings.Operators.BeginWithinS/6) && (first == nil || j.acceptedAt < first.acceptedAt) {
			first = j
		}
	}
	return first
}

// mayRequestSpare tells whether a machine of another partition may be asked for, for a job.
func (c *Controller) mayRequestSpare(m *machine, p *partition, j *job) bool {
	if m.record.Partition == p.index || m.machineType == nil || m.record.Condemned || m.claimedBy != "" || j.failedMachines[m.name] || c.reservedForPartition(m) >= 0 {
		return false
	}
	return scheduler.Allowed(&j.spec, m.record.Type, m.record.Zone, m.record.Spot)
}

// maxIdleOffers bounds what is offered at a time: a message to another controller holds it.
const maxIdleOffers = 400

// idleOffers lists machines of ours that another partition may borrow. Where there are more
// than are offered, each kind has its turn: offered by name alone, four thousand idle
// machines of one type would hide the few of another that a gang waits for.
func (c *Controller) idleOffers() []peer.IdleMachine {
	kinds := map[scheduler.InstanceKind][]peer.IdleMachine{}
	var order []scheduler.InstanceKind
	for _, m := range c.machinesByName {
		if !c.isLendable(m) || c.now <= m.idleSince+micros.Second/3 {
			continue
		}
		k := scheduler.InstanceKind{Type: m.record.Type, Zone: m.record.Zone, Spot: m.record.Spot}
		if kinds[k] == nil {
			order = append(order, k)
		}
		kinds[k] = append(kinds[k], peer.IdleMachine{Machine: m.name})
	}
	return interleaveKinds(kinds, order, maxIdleOffers)
}

// interleaveKinds takes one of each kind in turn, so many in all at the most.
func interleaveKinds(kinds map[scheduler.InstanceKind][]peer.IdleMachine, order []scheduler.InstanceKind, most int) []peer.IdleMachine {
	var list []peer.IdleMachine
	for turn := 0; len(list) < most; turn++ {
		before := len(list)
		for _, k := range order {
			if turn < len(kinds[k]) && len(list) < most {
				list = append(list, kinds[k][turn])
			}
		}
		if len(list) == before {
			break
		}
	}
	return list
}

func (c *Controller) isLendable(m *machine) bool {
	return c.ledPartition(m) != nil && m.tokenConfirmed && c.reservedForPartition(m) < 0 && c.isEmptyAndCommitted(m) && m.allTasksEnded() && !m.recordChangePending() && !m.record.Condemned && !m.quarantined &&
		m.interruptionAt == 0 && !c.claimedByOwnPartition(m) && m.ignoringSince == 0 && c.now < m.lastSeenAt+c.contactTimeout()
}

// isBorrowable tells whether a machine of another partition may be borrowed.
func (c *Controller) isBorrowable(name string) bool {
	m := c.machines[name]
	if c.ledPartition(m) != nil {
		return c.isLendable(m) && c.now > m.idleSince+micros.Second/3
	}
	for _, h := range c.peers {
		if c.now < h.lastHeartbeatAt+3*micros.Second && h.idleMachines[name] {
			return true
		}
	}
	return false
}

// claimedByOwnPartition tells whether a job of the machine's own partition has a claim on it.
func (c *Controller) claimedByOwnPartition(m *machine) bool {
	j := c.jobs[m.claimedBy]
	return j != nil && j.partition == m.record.Partition
}

// mayPreemptAll tells whether PROTOCOL's preemption permits stopping all of a
// machine's tasks for what asks: they are of a lower tier, or of its own and
// their teams keep their guarantees without them and the asker's is within its.
func (c *Controller) mayPreemptAll(m *machine, a peer.MachineRequest) bool {
	without := map[string]scheduler.Resources{}
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		tier := c.effectiveTier(j)
		if tier < a.Tier || tier < a.InheritedTier && j.spec.Kind == api.Array && !c.startedRecently(j.task(id.index)) {
			continue
		}
		if tier > a.Tier || c.startedRecently(j.task(id.index)) {
			return false // permitted within a guarantee, but it costs more than it serves
		}
		without[j.spec.Team] = without[j.spec.Team].Add(j.request, 1)
		if team := c.schedulerTeam(j.spec.Team); !a.Guaranteed || !team.KeepsGuaranteeWithout(without[j.spec.Team]) {
			return false
		}
	}
	return true
}

// handleMachineRequests moves the machines that others ask for, where we hold them.
func (c *Controller) handleMachineRequests(asks []peer.MachineRequest) {
	for _, a := range asks {
		m := c.machines[a.Machine]
		if m == nil || c.ledPartition(m) == nil || m.record.Partition == a.Partition || a.Partition < 0 || a.Partition >= len(c.partitions) {
			continue
		}
		if c.isLendable(m) {
			c.transferMachine(m, a.Partition)
		} else if c.isMovable(m) {
			c.promiseMachine(m, a)
		}
	}
}

// isMovable tells whether a machine with tasks may be set aside for another partition.
func (c *Controller) isMovable(m *machine) bool {
	if m.moveToPartition >= 0 || !m.tokenConfirmed || m.record.Condemned || m.quarantined || m.interruptionAt > 0 {
		return false
	}
	return c.reservedForPartition(m) < 0 && !c.claimedByOwnPartition(m)
}

// promiseMachine sets a machine with tasks aside for another partition, if that is permitted.
func (c *Controller) promiseMachine(m *machine, a peer.MachineRequest) {
	switch {
	case a.Spare:
		c.logInfo("spare machine is given once it is empty", "machine", m.name, "to", a.Partition, "tasks", len(m.taskIDs))
		m.moveToPartition, m.preemptForMove = a.Partition, false
	case a.Reclaim && m.record.HomePartition == a.Partition:
		c.logInfo("lent machine reclaimed", "machine", m.name, "home", a.Partition)
		m.moveToPartition, m.preemptForMove = a.Partition, false
	case a.Tier > 0 && c.mayPreemptAll(m, a):
		c.logInfo("machine yielded", "machine", m.name, "to", a.Partition, "tasks", len(m.taskIDs), "tier", a.Tier, "guaranteed", a.Guaranteed)
		m.moveToPartition, m.preemptForMove = a.Partition, true
	}
}

// transferMachine moves an empty machine to another partition.
func (c *Controller) transferMachine(m *machine, to int) {
	if m.recordChangePending() || m.record.Condemned || !c.isEmptyAndCommitted(m) || to == m.record.Partition || to < 0 || to >= len(c.partitions) {
		return
	}
	c.logInfo("machine lent", "machine", m.name, "from", m.record.Partition, "to", to, "home", m.record.HomePartition)
	m.transferTo = to
	c.requestRecordChange(m, transferRecord)
}
