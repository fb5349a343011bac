// Package planning prepares the scheduler's input, carries out its plans, and manages the
// machines of the partitions that this controller leads.
//
// It is pure: it does no input or output, reads no clock and starts no goroutine.
package planning

import (
	"maps"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/scheduler"
)

// SchedulingCycle makes and carries out the plans for the partitions that this controller
// leads.
type SchedulingCycle struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cache        *coordination.WatchCache
	catalog      *provisioning.MachineCatalog
	cluster      *cluster.State
	lender       *MachineLender
	peers        *coordination.PeerTracker
	provisioner  *provisioning.Provisioner
	reservations *ReservationPlanner
	tasks        *cluster.TaskLifecycle
	trigger      *cluster.CycleTrigger
	urgencies    *UrgencyIndex
	view         *SchedulerView

	nextCycleAt     micros.Micros
	earliestCycleAt micros.Micros            // no cycle runs before this, even if one is triggered
	BlockedReasons  map[string]string        // by job ID, from the latest plans
	ExpectedEnds    map[string]micros.Micros // by job ID, from the latest plans
	MachineRequests []peer.MachineRequest    // from the latest plans, to the leaders of other partitions
}

// NewSchedulingCycle returns a scheduling cycle whose first run is due as soon as the
// watch cache is synced.
func NewSchedulingCycle(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	cache *coordination.WatchCache,
	catalog *provisioning.MachineCatalog,
	state *cluster.State,
	lender *MachineLender,
	peers *coordination.PeerTracker,
	provisioner *provisioning.Provisioner,
	reservations *ReservationPlanner,
	tasks *cluster.TaskLifecycle,
	trigger *cluster.CycleTrigger,
	urgencies *UrgencyIndex,
	view *SchedulerView,
) *SchedulingCycle {
	return &SchedulingCycle{
		Environment:    env,
		boots:          boots,
		cache:          cache,
		catalog:        catalog,
		cluster:        state,
		lender:         lender,
		peers:          peers,
		provisioner:    provisioner,
		reservations:   reservations,
		tasks:          tasks,
		trigger:        trigger,
		urgencies:      urgencies,
		view:           view,
		BlockedReasons: map[string]string{},
	}
}

const (
	// baseCycleInterval and cycleIntervalPerItem determine the minimum time between two
	// cycles.
	baseCycleInterval    = micros.Second / 10
	cycleIntervalPerItem = 400 * micros.Microsecond // for each machine and each job
)

// minCycleInterval returns the minimum time between two cycles. It grows with the number
// of machines and jobs that a plan covers, so that planning uses a bounded share of the
// processor.
func minCycleInterval(machines, jobs int) micros.Micros {
	return baseCycleInterval + micros.Micros(machines+jobs)*cycleIntervalPerItem
}

// RunIfDue plans for every partition that this controller leads. A cycle is due at the
// interval that the operators set, or earlier if one was triggered, but never sooner than
// the minimum interval after the last cycle. Nothing is planned before the replica and
// the catalog are complete.
func (c *SchedulingCycle) RunIfDue() {
	due := c.Now >= c.nextCycleAt || c.trigger.Due()
	if !c.cache.Synced || !due || c.Now < c.earliestCycleAt {
		return
	}
	c.nextCycleAt = c.Now + micros.FromSeconds(c.Settings.Operators.CycleS)
	c.trigger.Clear()
	c.earliestCycleAt = c.Now + minCycleInterval(len(c.cluster.Machines), len(c.cluster.Jobs))
	c.MachineRequests = nil
	c.BlockedReasons = map[string]string{}
	c.ExpectedEnds = map[string]micros.Micros{}
	if len(c.catalog.MachineTypes) == 0 {
		return
	}
	c.urgencies.computeUrgencies()
	c.reservations.planReservations()
	for _, partition := range c.cluster.Partitions {
		if partition.Leads() {
			c.planPartition(partition)
		}
	}
}

// planPartition makes and carries out the plan of one partition.
func (c *SchedulingCycle) planPartition(partition *cluster.Partition) {
	snapshot, jobs := c.buildSnapshot(partition)
	plan := scheduler.MakePlan(snapshot)
	c.bindTasks(plan.Bindings, jobs)
	c.preemptTasks(plan.Preemptions)
	for _, scaleOut := range plan.ScaleOuts {
		c.provisioner.ScaleOut(partition, scaleOut.Kind, scaleOut.Count)
	}
	c.requestMachines(partition, plan, jobs)
	c.recordPlanResults(partition, plan, jobs)
}

// recordPlanResults records why jobs of the partition are blocked, and when its jobs are
// expected to end.
func (c *SchedulingCycle) recordPlanResults(partition *cluster.Partition, plan *scheduler.Plan, jobs map[string]*cluster.Job) {
	partition.HasBlockedJobs = len(plan.BlockedReasons) > 0
	maps.Copy(c.BlockedReasons, plan.BlockedReasons)
	for id, end := range plan.ExpectedEnds {
		if jobs[id] != nil {
			c.ExpectedEnds[id] = end
		}
	}
}
