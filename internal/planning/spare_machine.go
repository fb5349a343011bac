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

// spareAfterDivisor: a spare machine is requested for a job of which nothing has begun
// after 1/spareAfterDivisor of begin_within_s.
const spareAfterDivisor = 6

// chooseSpare chooses a machine of another partition with room for a job of ours that has
// waited and that nothing can be launched for; nil: none is wanted, or there is none. It is
// requested to be given when its tasks have ended, one machine at a time. A machine has one
// partition, so room beside another partition's tasks is no use to us: in a small, full
// cluster a team under its limit waited for two minutes beside it.
func (c *SchedulingCycle) chooseSpare(
	partition *cluster.Partition, jobs map[string]*cluster.Job, blockedReasons map[string]string,
) *cluster.Machine {
	job := c.oldestWithoutScaleOut(jobs, blockedReasons)
	if job == nil {
		partition.RequestedSpare = ""
		return nil
	}
	requested := c.cluster.Machines[partition.RequestedSpare]
	if requested != nil && c.mayRequestSpare(requested, partition, job) {
		return requested // it goes on emptying
	}
	spare := c.soonestSpare(partition, job)
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

// oldestWithoutScaleOut gives the job that has waited longest of those that a single
// machine would help, and that nothing can be launched for; nil: there is none.
func (c *SchedulingCycle) oldestWithoutScaleOut(
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

// needsSpare tells whether a job has waited for long enough to get a spare machine, and a
// single one would help it.
func (c *SchedulingCycle) needsSpare(job *cluster.Job) bool {
	oneMachineHelps := job.Spec.Kind == api.Array || job.Spec.Tasks == 1
	if !oneMachineHelps || job.HasStarted() || c.tasks.Deprioritized(job) {
		return false
	}
	wait := micros.FromSeconds(c.Settings.Operators.BeginWithinS / spareAfterDivisor)
	return c.Now > job.EligibleAt()+wait
}

// soonestSpare gives the machine with room for a job's task that is expected to be empty
// first; nil: there is none.
func (c *SchedulingCycle) soonestSpare(partition *cluster.Partition, job *cluster.Job) *cluster.Machine {
	var soonest *cluster.Machine
	var soonestEnd micros.Micros
	for _, machine := range c.cluster.MachinesByName {
		if !c.mayRequestSpare(machine, partition, job) {
			continue
		}
		shown := c.view.schedulerMachine(machine)
		if !shown.Free.Fits(job.Request) {
			continue
		}
		c.view.addAllocations(shown, machine, nil)
		end := c.Now
		for _, allocation := range shown.Allocations {
			end = max(end, allocation.ExpectedEnd)
		}
		if soonest == nil || end < soonestEnd {
			soonest, soonestEnd = machine, end
		}
	}
	return soonest
}

// mayRequestSpare tells whether a machine of another partition may be requested for a job.
func (c *SchedulingCycle) mayRequestSpare(machine *cluster.Machine, partition *cluster.Partition, job *cluster.Job) bool {
	if machine.Record.Partition == partition.Index || machine.MachineType == nil || machine.Record.Condemned {
		return false
	}
	if machine.ClaimedBy != "" || job.FailedMachines[machine.Name] || c.reservations.isReserved(machine) {
		return false
	}
	return scheduler.Allowed(&job.Spec, machine.Record.Type, machine.Record.Zone, machine.Record.Spot)
}
