package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// schedulingCycle plans for the partitions that we lead, and carries the plans out.
type schedulingCycle struct {
	*environment
	boots        *bootStatistics
	cache        *watchCache
	catalog      *machineCatalog
	cluster      *clusterState
	lending      *machineLending
	peers        *peerTracker
	provisioning *provisioner
	reservations *reservationPlanner
	tasks        *taskLifecycle
	trigger      *cycleTrigger
	urgencies    *urgencyIndex
	view         *schedulerView

	nextCycleAt     micros.Micros
	earliestPlanAt  micros.Micros            // none before this time
	blockedReasons  map[string]string        // by job, of the last plans
	expectedEnds    map[string]micros.Micros // by job, of the last plans
	machineRequests []peer.MachineRequest    // to other partitions' leaders
}

func newSchedulingCycle(env *environment, boots *bootStatistics, cache *watchCache, catalog *machineCatalog, cluster *clusterState,
	lending *machineLending, peers *peerTracker, provisioning *provisioner, reservations *reservationPlanner, tasks *taskLifecycle,
	trigger *cycleTrigger, urgencies *urgencyIndex, view *schedulerView) *schedulingCycle {
	return &schedulingCycle{environment: env, boots: boots, cache: cache, catalog: catalog, cluster: cluster, lending: lending,
		peers: peers, provisioning: provisioning, reservations: reservations, tasks: tasks, trigger: trigger,
		urgencies: urgencies, view: view, blockedReasons: map[string]string{}}
}

// runSchedulingCycle ranks and places for every partition that we hold: every cycle_s, and
// early when something arrived or ended.
func (y *schedulingCycle) runSchedulingCycle() {
	if !y.cache.synced || y.now < y.nextCycleAt && (y.trigger.requestedCycleAt == 0 || y.now < y.trigger.requestedCycleAt) {
		return
	}
	if y.now < y.earliestPlanAt {
		return // an early cycle is not a cycle for each report
	}
	y.nextCycleAt, y.trigger.requestedCycleAt = y.now+micros.FromSeconds(y.settings.Operators.CycleIntervalS), 0
	y.earliestPlanAt = y.now + minPlanInterval(len(y.cluster.machines), len(y.cluster.jobs))
	y.machineRequests = nil
	y.blockedReasons, y.expectedEnds = map[string]string{}, map[string]micros.Micros{}
	if len(y.catalog.machineTypes) == 0 {
		return
	}
	y.urgencies.computeUrgencies()
	y.reservations.planReservations()
	for _, p := range y.cluster.partitions {
		if p.Leads() {
			y.planPartition(p)
		}
	}
}

// minPlanInterval is the least time between cycles: it grows with what a plan looks
// at, so that planning takes a bounded share of the processor.
func minPlanInterval(machines, jobs int) micros.Micros {
	return micros.Second/10 + micros.Micros(machines)*micros.Second/2500 + micros.Micros(jobs)*micros.Second/2500
}

// planPartition makes and carries out one partition's plan.
func (y *schedulingCycle) planPartition(p *partition) {
	v, jobs := y.snapshotFor(p)
	plan := scheduler.MakePlan(v)
	y.bindTasks(plan.Bindings, jobs)
	y.preemptTasks(plan.Preemptions)
	for _, r := range plan.ScaleOuts {
		y.provisioning.scaleOut(p, r.Kind, r.Count)
	}
	y.requestMachines(p, plan, jobs)
	p.hasBlockedJobs = len(plan.BlockedReasons) > 0
	for id, why := range plan.BlockedReasons {
		y.blockedReasons[id] = why
	}
	for id, end := range plan.ExpectedEnds {
		if jobs[id] != nil {
			y.expectedEnds[id] = end
		}
	}
}

// bindTasks records the starts of a plan, to be committed.
func (y *schedulingCycle) bindTasks(starts []scheduler.Binding, jobs map[string]*job) {
	next, gangAttempt := map[string][]int{}, map[string]uint64{}
	for _, s := range starts {
		j := jobs[s.Job.ID]
		if _, ok := next[j.id]; !ok {
			next[j.id] = j.placeable(y.now, y.tasks.maxTasksPerPlan(j))
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
		y.cluster.changeTask(j, n, taskRecord{state: taskPlaced, attempt: attempt, machine: s.Machine.Name})
		y.logDebug("task placed", "job", j.id, "task", n, "attempt", attempt, "machine", s.Machine.Name, "waited_s", (y.now - j.eligibleAt()).WholeSeconds())
		if m := y.cluster.machines[s.Machine.Name]; m.claimedBy == j.id {
			m.claimedBy = ""
		}
	}
}

// claimDuration is how long a machine is kept for the job that it is emptied for.
const claimDuration = 40 * micros.Second

// preemptTasks has tasks stopped where a plan says so, and the machines kept for the
// jobs that they are stopped for.
func (y *schedulingCycle) preemptTasks(evictions []scheduler.Preemption) {
	for _, e := range evictions {
		m := y.cluster.machines[e.Machine.Name]
		again := m.claimedBy == e.For.ID
		m.claimedBy, m.claimExpiresAt, m.claimGuaranteed = e.For.ID, y.now+claimDuration, e.WithinGuarantee
		if again {
			continue
		}
		if e.Machine.OtherPartition {
			y.logInfo("machine asked for", "for", e.For.ID, "machine", m.name, "partition", m.record.Partition, "tasks", len(e.Victims))
			continue
		}
		y.logInfo("room made", "for", e.For.ID, "machine", m.name, "tasks", len(e.Victims))
		for _, u := range e.Victims {
			j := y.cluster.jobs[u.Job.ID]
			y.tasks.requestTaskStop(j, j.task(u.TaskIndex), "room for "+e.For.ID)
		}
	}
}

// maxMachineRequests bounds what is asked of the others at a time, so that one message holds it;
// what is still wanted is asked with the next plan.
const maxMachineRequests = 500

// requestMachines asks the other partitions for machines of theirs that the partition needs.
func (y *schedulingCycle) requestMachines(p *partition, plan *scheduler.Plan, jobs map[string]*job) {
	for _, m := range plan.Borrow {
		if len(y.machineRequests) >= maxMachineRequests {
			break
		}
		rec := y.cluster.machines[m.Name].record
		y.machineRequests = append(y.machineRequests, peer.MachineRequest{Machine: m.Name, Partition: p.index, Reclaim: rec.HomePartition == p.index})
	}
	for _, m := range y.cluster.machinesByName {
		// Asked again until it comes: a message may be lost.
		if m.claimedBy != "" && m.record.Partition != p.index && jobs[m.claimedBy] != nil && len(y.machineRequests) < maxMachineRequests {
			y.machineRequests = append(y.machineRequests, peer.MachineRequest{Machine: m.name, Partition: p.index, Tier: api.Tier(jobs[m.claimedBy].spec.Priority), InheritedTier: y.urgencies.effectiveTier(jobs[m.claimedBy]), Guaranteed: m.claimGuaranteed})
		}
	}
	if m := y.chooseSpare(p, jobs, plan.BlockedReasons); m != nil {
		y.machineRequests = append(y.machineRequests, peer.MachineRequest{Machine: m.name, Partition: p.index, Spare: true})
	}
	if len(y.machineRequests) > 0 {
		y.peers.requestBroadcast()
		y.lending.handleMachineRequests(y.machineRequests)
	}
}
