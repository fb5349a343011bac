package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// requestPlanWithin wants a cycle no later than d from now.
func (c *Controller) requestPlanWithin(d micros.Micros) {
	if at := c.now + d; c.requestedCycleAt == 0 || at < c.requestedCycleAt {
		c.requestedCycleAt = at
	}
}

// runSchedulingCycle ranks and places for every partition that we hold: every cycle_s, and
// early when something arrived or ended.
func (c *Controller) runSchedulingCycle() {
	if !c.synced || c.now < c.nextCycleAt && (c.requestedCycleAt == 0 || c.now < c.requestedCycleAt) {
		return
	}
	if c.now < c.earliestPlanAt {
		return // an early cycle is not a cycle for each report
	}
	c.nextCycleAt, c.requestedCycleAt = c.now+micros.FromSeconds(c.settings.Operators.CycleIntervalS), 0
	c.earliestPlanAt = c.now + minPlanInterval(len(c.machines), len(c.jobs))
	c.machineRequests = nil
	c.blockedReasons, c.expectedEnds = map[string]string{}, map[string]micros.Micros{}
	if len(c.machineTypes) == 0 {
		return
	}
	c.computeUrgencies()
	c.planReservations()
	for _, p := range c.partitions {
		if p.Leads() {
			c.planPartition(p)
		}
	}
}

// minPlanInterval is the least time between cycles: it grows with what a plan looks
// at, so that planning takes a bounded share of the processor.
func minPlanInterval(machines, jobs int) micros.Micros {
	return micros.Second/10 + micros.Micros(machines)*micros.Second/2500 + micros.Micros(jobs)*micros.Second/2500
}

// planPartition makes and carries out one partition's plan.
func (c *Controller) planPartition(p *partition) {
	v, jobs := c.snapshotFor(p)
	plan := scheduler.MakePlan(v)
	c.bindTasks(plan.Bindings, jobs)
	c.preemptTasks(plan.Preemptions)
	for _, r := range plan.ScaleOuts {
		c.scaleOut(p, r.Kind, r.Count)
	}
	c.requestMachines(p, plan, jobs)
	p.hasBlockedJobs = len(plan.BlockedReasons) > 0
	for id, why := range plan.BlockedReasons {
		c.blockedReasons[id] = why
	}
	for id, end := range plan.ExpectedEnds {
		if jobs[id] != nil {
			c.expectedEnds[id] = end
		}
	}
}

// bindTasks records the starts of a plan, to be committed.
func (c *Controller) bindTasks(starts []scheduler.Binding, jobs map[string]*job) {
	next, gangAttempt := map[string][]int{}, map[string]uint64{}
	for _, s := range starts {
		j := jobs[s.Job.ID]
		if _, ok := next[j.id]; !ok {
			next[j.id] = j.placeable(c.now, c.maxTasksPerPlan(j))
			if j.spec.Kind == api.Gang {
				gangAttempt[j.id] = j.lastAttempt()
				if !j.isReassembling() {
					gangAttempt[j.id]++
				}
				j.startUncommitted = true
			}
		}
		n := next[j.id][0]
		next[j.id] = next[j.id][1:]
		attempt := uint64(1)
		if t := j.task(n); t != nil {
			attempt = t.attempt + 1
		}
		if j.spec.Kind == api.Gang {
			attempt = gangAttempt[j.id]
		}
		c.changeTask(j, n, taskRecord{taskPlaced, attempt, s.Machine.Name})
		c.logDebug("task placed", "job", j.id, "task", n, "attempt", attempt, "machine", s.Machine.Name, "waited_s", (c.now - j.eligibleAt()).WholeSeconds())
		if m := c.machines[s.Machine.Name]; m.claimedBy == j.id {
			m.claimedBy = ""
		}
	}
}

// claimDuration is how long a machine is kept for the job that it is emptied for.
const claimDuration = 40 * micros.Second

// preemptTasks has tasks stopped where a plan says so, and the machines kept for the
// jobs that they are stopped for.
func (c *Controller) preemptTasks(evictions []scheduler.Preemption) {
	for _, e := range evictions {
		m := c.machines[e.Machine.Name]
		again := m.claimedBy == e.For.ID
		m.claimedBy, m.claimExpiresAt, m.claimGuaranteed = e.For.ID, c.now+claimDuration, e.WithinGuarantee
		if again {
			continue
		}
		if e.Machine.OtherPartition {
			c.logInfo("machine asked for", "for", e.For.ID, "machine", m.name, "partition", m.record.Partition, "tasks", len(e.Victims))
			continue
		}
		c.logInfo("room made", "for", e.For.ID, "machine", m.name, "tasks", len(e.Victims))
		for _, u := range e.Victims {
			j := c.jobs[u.Job.ID]
			c.requestTaskStop(j, j.task(u.TaskIndex), "room for "+e.For.ID)
		}
	}
}

// maxMachineRequests bounds what is asked of the others at a time, so that one message holds it;
// what is still wanted is asked with the next plan.
const maxMachineRequests = 500

// requestMachines asks the other partitions for machines of theirs that the partition needs.
func (c *Controller) requestMachines(p *partition, plan *scheduler.Plan, jobs map[string]*job) {
	for _, m := range plan.Borrow {
		if len(c.machineRequests) >= maxMachineRequests {
			break
		}
		rec := c.machines[m.Name].record
		c.machineRequests = append(c.machineRequests, peer.MachineRequest{Machine: m.Name, Partition: p.index, Reclaim: rec.HomePartition == p.index})
	}
	for _, m := range c.machinesByName {
		// Asked again until it comes: a message may be lost.
		if m.claimedBy != "" && m.record.Partition != p.index && jobs[m.claimedBy] != nil && len(c.machineRequests) < maxMachineRequests {
			c.machineRequests = append(c.machineRequests, peer.MachineRequest{Machine: m.name, Partition: p.index, Tier: api.Tier(jobs[m.claimedBy].spec.Priority), InheritedTier: c.effectiveTier(jobs[m.claimedBy]), Guaranteed: m.claimGuaranteed})
		}
	}
	if m := c.chooseSpare(p, jobs, plan.BlockedReasons); m != nil {
		c.machineRequests = append(c.machineRequests, peer.MachineRequest{Machine: m.name, Partition: p.index, Spare: true})
	}
	if len(c.machineRequests) > 0 {
		c.requestBroadcast()
		c.handleMachineRequests(c.machineRequests)
	}
}

func (j *job) lastAttempt() uint64 {
	var last uint64
	for _, ch := range j.chunks {
		for i := range ch {
			last = max(last, ch[i].attempt)
		}
	}
	return last
}
