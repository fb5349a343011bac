// Package planning shows the cluster to the scheduler, carries its plans out, and looks
// after the machines of the partitions that this controller leads.
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

// SchedulingCycle plans for the partitions that we lead, and carries the plans out.
type SchedulingCycle struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cache        *coordination.WatchCache
	catalog      *provisioning.MachineCatalog
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
	earliestPlanAt  micros.Micros            // no cycle before this, whatever triggers one
	BlockedReasons  map[string]string        // by job, of the last plans
	ExpectedEnds    map[string]micros.Micros // by job, of the last plans
	MachineRequests []peer.MachineRequest    // to other partitions' leaders
}

// NewSchedulingCycle makes a scheduling cycle.
func NewSchedulingCycle(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	cache *coordination.WatchCache,
	catalog *provisioning.MachineCatalog,
	state *cluster.State,
	lending *MachineLending,
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
		lending:        lending,
		peers:          peers,
		provisioning:   provisioner,
		reservations:   reservations,
		tasks:          tasks,
		trigger:        trigger,
		urgencies:      urgencies,
		view:           view,
		BlockedReasons: map[string]string{},
	}
}

const (
	// basePlanInterval and planIntervalPerItem give the least time between two cycles.
	basePlanInterval    = micros.Second / 10
	planIntervalPerItem = 400 * micros.Microsecond // for each machine and each job
)

// minPlanInterval is the least time between two cycles: it grows with what a plan goes
// through, so that planning takes a bounded share of the processor.
func minPlanInterval(machines, jobs int) micros.Micros {
	return basePlanInterval + micros.Micros(machines+jobs)*planIntervalPerItem
}

// RunSchedulingCycle plans for every partition that we lead, as often as the operators set,
// and earlier when something was triggered, but no sooner than the least interval after
// the last cycle. Nothing is planned before the replica and the catalog are complete.
func (c *SchedulingCycle) RunSchedulingCycle() {
	due := c.Now >= c.nextCycleAt || c.trigger.Due()
	if !c.cache.Synced || !due || c.Now < c.earliestPlanAt {
		return
	}
	c.nextCycleAt = c.Now + micros.FromSeconds(c.Settings.Operators.CycleS)
	c.trigger.Clear()
	c.earliestPlanAt = c.Now + minPlanInterval(len(c.cluster.Machines), len(c.cluster.Jobs))
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

// planPartition makes one partition's plan and carries it out.
func (c *SchedulingCycle) planPartition(partition *cluster.Partition) {
	snapshot, jobs := c.snapshotFor(partition)
	plan := scheduler.MakePlan(snapshot)
	c.bindTasks(plan.Bindings, jobs)
	c.preemptTasks(plan.Preemptions)
	for _, scaleOut := range plan.ScaleOuts {
		c.provisioning.ScaleOut(partition, scaleOut.Kind, scaleOut.Count)
	}
	c.requestMachines(partition, plan, jobs)
	c.noteOutlook(partition, plan, jobs)
}

// noteOutlook keeps what a plan says of the jobs that wait, and of when jobs will end.
func (c *SchedulingCycle) noteOutlook(partition *cluster.Partition, plan *scheduler.Plan, jobs map[string]*cluster.Job) {
	partition.HasBlockedJobs = len(plan.BlockedReasons) > 0
	maps.Copy(c.BlockedReasons, plan.BlockedReasons)
	for id, end := range plan.ExpectedEnds {
		if jobs[id] != nil {
			c.ExpectedEnds[id] = end
		}
	}
}
