// Package planning shows the cluster to the scheduler, carries its plans out, and looks
// after the machines of the partitions that this controller leads.
//
// It is pure: it does no input or output, reads no clock and starts no goroutine.
package planning

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/scheduler"
)

// SchedulingCycle plans for the partitions that we lead, and carries the plans out.
type SchedulingCycle struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cache        *coordination.WatchCache
	catalog      *cluster.MachineCatalog
	cluster      *cluster.State
	lending      *MachineLending
	peers        *coordination.PeerTracker
	provisioning *provisioning.Provisioner
	reservations *ReservationPlanner
	tasks        *cluster.TaskLifecycle
	trigger      *cluster.CycleTrigger
	urgencies    *UrgencyIndex
	view         *SchedulerView

	nextCycleAt     micros.Micros
	earliestPlanAt  micros.Micros            // none before this time
	BlockedReasons  map[string]string        // by job, of the last plans
	ExpectedEnds    map[string]micros.Micros // by job, of the last plans
	MachineRequests []peer.MachineRequest    // to other partitions' leaders
}

// NewSchedulingCycle makes a scheduling cycle.
func NewSchedulingCycle(env *coordination.Environment, boots *cluster.BootStatistics, cache *coordination.WatchCache, catalog *cluster.MachineCatalog, cluster *cluster.State,
	lending *MachineLending, peers *coordination.PeerTracker, provisioning *provisioning.Provisioner, reservations *ReservationPlanner, tasks *cluster.TaskLifecycle,
	trigger *cluster.CycleTrigger, urgencies *UrgencyIndex, view *SchedulerView) *SchedulingCycle {
	return &SchedulingCycle{Environment: env, boots: boots, cache: cache, catalog: catalog, cluster: cluster, lending: lending,
		peers: peers, provisioning: provisioning, reservations: reservations, tasks: tasks, trigger: trigger,
		urgencies: urgencies, view: view, BlockedReasons: map[string]string{}}
}

// RunSchedulingCycle ranks and places for every partition that we hold: every cycle_s, and
// early when something arrived or ended.
func (y *SchedulingCycle) RunSchedulingCycle() {
	if !y.cache.Synced || y.Now < y.nextCycleAt && !y.trigger.Due() {
		return
	}
	if y.Now < y.earliestPlanAt {
		return // an early cycle is not a cycle for each report
	}
	y.nextCycleAt = y.Now + micros.FromSeconds(y.Settings.Operators.CycleIntervalS)
	y.trigger.Clear()
	y.earliestPlanAt = y.Now + minPlanInterval(len(y.cluster.Machines), len(y.cluster.Jobs))
	y.MachineRequests = nil
	y.BlockedReasons, y.ExpectedEnds = map[string]string{}, map[string]micros.Micros{}
	if len(y.catalog.MachineTypes) == 0 {
		return
	}
	y.urgencies.computeUrgencies()
	y.reservations.planReservations()
	for _, p := range y.cluster.Partitions {
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
func (y *SchedulingCycle) planPartition(p *cluster.Partition) {
	v, jobs := y.snapshotFor(p)
	plan := scheduler.MakePlan(v)
	y.bindTasks(plan.Bindings, jobs)
	y.preemptTasks(plan.Preemptions)
	for _, r := range plan.ScaleOuts {
		y.provisioning.ScaleOut(p, r.Kind, r.Count)
	}
	y.requestMachines(p, plan, jobs)
	p.HasBlockedJobs = len(plan.BlockedReasons) > 0
	for id, why := range plan.BlockedReasons {
		y.BlockedReasons[id] = why
	}
	for id, end := range plan.ExpectedEnds {
		if jobs[id] != nil {
			y.ExpectedEnds[id] = end
		}
	}
}

// bindTasks records the starts of a plan, to be committed.
func (y *SchedulingCycle) bindTasks(starts []scheduler.Binding, jobs map[string]*cluster.Job) {
	next, gangAttempt := map[string][]int{}, map[string]uint64{}
	for _, s := range starts {
		j := jobs[s.Job.ID]
		if _, ok := next[j.ID]; !ok {
			next[j.ID] = j.Placeable(y.Now, y.tasks.MaxTasksPerPlan(j))
			if j.Spec.Kind == api.Gang {
				gangAttempt[j.ID] = j.LastAttempt()
				if !j.IsReassembling() {
					gangAttempt[j.ID]++
				}
				j.StartUncommitted = true
			}
		}
		n := next[j.ID][0]
		next[j.ID] = next[j.ID][1:]
		attempt := uint64(1)
		if t := j.Task(n); t != nil {
			attempt = t.Attempt + 1
		}
		if j.Spec.Kind == api.Gang {
			attempt = gangAttempt[j.ID]
		}
		y.cluster.ChangeTask(j, n, cluster.TaskRecord{State: cluster.TaskPlaced, Attempt: attempt, Machine: s.Machine.Name})
		y.LogDebug("task placed", logkey.Job, j.ID, logkey.Task, n, logkey.Attempt, attempt, logkey.Machine, s.Machine.Name, logkey.WaitedS, (y.Now - j.EligibleAt()).WholeSeconds())
		if m := y.cluster.Machines[s.Machine.Name]; m.ClaimedBy == j.ID {
			m.ClaimedBy = ""
		}
	}
}

// claimDuration is how long a machine is kept for the job that it is emptied for.
const claimDuration = 40 * micros.Second

// preemptTasks has tasks stopped where a plan says so, and the machines kept for the
// jobs that they are stopped for.
func (y *SchedulingCycle) preemptTasks(evictions []scheduler.Preemption) {
	for _, e := range evictions {
		m := y.cluster.Machines[e.Machine.Name]
		again := m.ClaimedBy == e.For.ID
		m.ClaimedBy, m.ClaimExpiresAt, m.ClaimGuaranteed = e.For.ID, y.Now+claimDuration, e.WithinGuarantee
		if again {
			continue
		}
		if e.Machine.HeldByOtherPartition {
			y.LogInfo("machine requested", logkey.ForJob, e.For.ID, logkey.Machine, m.Name, logkey.Partition, m.Record.Partition, logkey.Tasks, len(e.Victims))
			continue
		}
		y.LogInfo("tasks preempted", logkey.ForJob, e.For.ID, logkey.Machine, m.Name, logkey.Tasks, len(e.Victims))
		for _, u := range e.Victims {
			j := y.cluster.Jobs[u.Job.ID]
			y.tasks.RequestTaskStop(j, j.Task(u.TaskIndex), "preempted for "+e.For.ID)
		}
	}
}

// MaxMachineRequests bounds what is asked of the others at a time, so that one message holds it;
// what is still wanted is asked with the next plan.
const MaxMachineRequests = 500

// requestMachines asks the other partitions for machines of theirs that the partition needs.
func (y *SchedulingCycle) requestMachines(p *cluster.Partition, plan *scheduler.Plan, jobs map[string]*cluster.Job) {
	for _, m := range plan.MachinesToBorrow {
		if len(y.MachineRequests) >= MaxMachineRequests {
			break
		}
		rec := y.cluster.Machines[m.Name].Record
		y.MachineRequests = append(y.MachineRequests, peer.MachineRequest{Machine: m.Name, Partition: p.Index, Reclaim: rec.HomePartition == p.Index})
	}
	for _, m := range y.cluster.MachinesByName {
		// Asked again until it comes: a message may be lost.
		if m.ClaimedBy != "" && m.Record.Partition != p.Index && jobs[m.ClaimedBy] != nil && len(y.MachineRequests) < MaxMachineRequests {
			y.MachineRequests = append(y.MachineRequests, peer.MachineRequest{Machine: m.Name, Partition: p.Index, Tier: jobs[m.ClaimedBy].Spec.Priority.Tier(), InheritedTier: y.urgencies.effectiveTier(jobs[m.ClaimedBy]), Guaranteed: m.ClaimGuaranteed})
		}
	}
	if m := y.chooseSpare(p, jobs, plan.BlockedReasons); m != nil {
		y.MachineRequests = append(y.MachineRequests, peer.MachineRequest{Machine: m.Name, Partition: p.Index, Spare: true})
	}
	if len(y.MachineRequests) > 0 {
		y.peers.RequestBroadcast()
		y.lending.HandleMachineRequests(y.MachineRequests)
	}
}
