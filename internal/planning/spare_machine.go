package planning

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// A spare machine is requested for a job that has not started after 1/spareAfterDivisor of
// begin_within_s.
const spareAfterDivisor = 6

// chooseSpare returns a machine of another partition that has room for a waiting job for
// which nothing can be launched. It returns nil if no job needs one, or if there is none.
// The machine is to be transferred once its tasks have ended, one machine at a time.
//
// A machine belongs to one partition, so the room beside another partition's tasks is of
// no use to this one. Without spare machines, a team within its limit waits for two
// minutes beside such room in a small, full cluster.
func (c *SchedulingCycle) chooseSpare(
	partition *cluster.Partition, jobs map[string]*cluster.Job, blockedReasons map[string]string,
) *cluster.Machine {
	job := c.oldestJobNeedingSpare(jobs, blockedReasons)
	if job == nil {
		partition.RequestedSpare = ""
		return nil
	}
	requested := c.cluster.Machines[partition.RequestedSpare]
	if requested != nil && c.mayRequestSpare(requested, partition, job) {
		return requested // its tasks are still ending
	}
	spare := c.soonestEmptySpare(partition, job)
	if spare == nil {
		partition.RequestedSpare = ""
		return nil
	}
	partition.RequestedSpare = spare.Name
	c.LogInfo("spare machine requested",
		logkey.ForJob, job.ID,
		logkey.Machine, spare.Name,
		logkey.Partition, spare.Record.Partition,
		logkey.Tasks, len(spare.TaskIDs))
	return spare
}

// oldestJobNeedingSpare returns the job that was accepted first of those that need a spare
// machine and for which nothing can be launched, or nil if there is none.
func (c *SchedulingCycle) oldestJobNeedingSpare(
	jobs map[string]*cluster.Job, blockedReasons map[string]string,
) *cluster.Job {
	var oldest *cluster.Job
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		job := jobs[id]
		if blockedReasons[id] != scheduler.ReasonNothingToLaunch || !c.needsSpare(job) {
			continue
		}
		if oldest == nil || job.AcceptedAt < oldest.AcceptedAt {
			oldest = job
		}
	}
	return oldest
}

// needsSpare reports whether a job has waited long enough to get a spare machine without
// starting, and a single machine would let a task of it start.
func (c *SchedulingCycle) needsSpare(job *cluster.Job) bool {
	oneMachineHelps := job.Spec.Kind == api.KindArray || job.Spec.Tasks == 1
	if !oneMachineHelps || job.HasStarted() || c.tasks.IsDeprioritized(job) {
		return false
	}
	wait := micros.FromSeconds(c.Settings.Operators.BeginWithinS / spareAfterDivisor)
	return c.Now > job.EligibleAt()+wait
}

// soonestEmptySpare returns the machine with room for one of the job's tasks that is
// expected to be empty first, or nil if there is none.
func (c *SchedulingCycle) soonestEmptySpare(partition *cluster.Partition, job *cluster.Job) *cluster.Machine {
	var soonest *cluster.Machine
	var soonestEnd micros.Micros
	for _, machine := range c.cluster.MachinesByName {
		if !c.mayRequestSpare(machine, partition, job) {
			continue
		}
		schedulerMachine := c.view.schedulerMachine(machine)
		if !schedulerMachine.Free.Fits(job.Request) {
			continue
		}
		c.view.addAllocations(schedulerMachine, machine, nil)
		end := c.Now
		for _, allocation := range schedulerMachine.Allocations {
			end = max(end, allocation.ExpectedEnd)
		}
		if soonest == nil || end < soonestEnd {
			soonest, soonestEnd = machine, end
		}
	}
	return soonest
}

// mayRequestSpare reports whether a machine belongs to another partition and may be
// requested as a spare machine for a job.
func (c *SchedulingCycle) mayRequestSpare(machine *cluster.Machine, partition *cluster.Partition, job *cluster.Job) bool {
	if machine.Record.Partition == partition.Index || machine.MachineType == nil || machine.Record.MarkedForDeletion {
		return false
	}
	if machine.ClaimedBy != "" || job.FailedMachines[machine.Name] || c.reservations.isReserved(machine) {
		return false
	}
	return scheduler.ConstraintsAllow(&job.Spec, machine.Record.Type, machine.Record.Zone, machine.Record.Spot)
}
