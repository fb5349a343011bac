package planning

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

const (
	// claimDuration is how long a machine is kept for the job that it is emptied for.
	claimDuration = 40 * micros.Second
	// MaxMachineRequests bounds what is requested of other partitions at a time, so that
	// one message holds it; what is still wanted is requested with the next plan.
	MaxMachineRequests = 500
)

// taskQueue gives the tasks of a job that a plan places, one after the other.
type taskQueue struct {
	job         *cluster.Job
	pending     []int
	gangAttempt api.Attempt // of all tasks of a gang; 0: not a gang
}

// newTaskQueue starts placing tasks of a job. All tasks of a gang get the same attempt: a
// new one, unless replacements complete a gang that has not begun to run.
func (c *SchedulingCycle) newTaskQueue(job *cluster.Job) *taskQueue {
	queue := &taskQueue{job: job, pending: job.Placeable(c.Now, c.tasks.MaxTasksPerCycle(job))}
	if job.Spec.Kind == api.Gang {
		queue.gangAttempt = job.LastAttempt()
		if !job.IsReassembling() {
			queue.gangAttempt++
		}
		job.StartUncommitted = true
	}
	return queue
}

// next gives the next task to place and its attempt.
func (q *taskQueue) next() (index int, attempt api.Attempt) {
	index = q.pending[0]
	q.pending = q.pending[1:]
	if q.job.Spec.Kind == api.Gang {
		return index, q.gangAttempt
	}
	if task := q.job.Task(index); task != nil {
		return index, task.Attempt + 1
	}
	return index, 1
}

// bindTasks places tasks as a plan says, to be committed before they are started.
func (c *SchedulingCycle) bindTasks(bindings []scheduler.Binding, jobs map[string]*cluster.Job) {
	queues := map[string]*taskQueue{}
	for _, binding := range bindings {
		job := jobs[binding.Job.ID]
		queue := queues[job.ID]
		if queue == nil {
			queue = c.newTaskQueue(job)
			queues[job.ID] = queue
		}
		index, attempt := queue.next()
		c.bindTask(job, index, attempt, binding.Machine.Name)
	}
}

// bindTask places a task on a machine, which ends the job's claim on it.
func (c *SchedulingCycle) bindTask(job *cluster.Job, index int, attempt api.Attempt, machineName string) {
	c.cluster.ChangeTask(job, index, cluster.TaskRecord{State: records.TaskPlaced, Attempt: attempt, Machine: machineName})
	c.LogDebug("task placed",
		logkey.Job, job.ID,
		logkey.Task, index,
		logkey.Attempt, attempt,
		logkey.Machine, machineName,
		logkey.WaitedS, (c.Now - job.EligibleAt()).WholeSeconds())
	if machine := c.cluster.Machines[machineName]; machine.ClaimedBy == job.ID {
		machine.ClaimedBy = ""
	}
}

// preemptTasks stops tasks as a plan says, and has their machines kept for the jobs that
// they are stopped for. A machine that is emptied for its job already is only kept for
// longer; one of another partition is requested (requestMachines).
func (c *SchedulingCycle) preemptTasks(preemptions []scheduler.Preemption) {
	for _, preemption := range preemptions {
		machine := c.cluster.Machines[preemption.Machine.Name]
		claimedBefore := machine.ClaimedBy == preemption.For.ID
		machine.ClaimedBy = preemption.For.ID
		machine.ClaimExpiresAt = c.Now + claimDuration
		machine.ClaimGuaranteed = preemption.WithinGuarantee
		switch {
		case claimedBefore:
		case preemption.Machine.HeldByOtherPartition:
			c.LogInfo("machine requested",
				logkey.ForJob, preemption.For.ID,
				logkey.Machine, machine.Name,
				logkey.Partition, machine.Record.Partition,
				logkey.Tasks, len(preemption.Victims))
		default:
			c.stopVictims(preemption)
		}
	}
}

// stopVictims has the tasks stopped that a plan preempts on a machine.
func (c *SchedulingCycle) stopVictims(preemption scheduler.Preemption) {
	c.LogInfo("tasks preempted",
		logkey.ForJob, preemption.For.ID,
		logkey.Machine, preemption.Machine.Name,
		logkey.Tasks, len(preemption.Victims))
	for _, victim := range preemption.Victims {
		job := c.cluster.Jobs[victim.Job.ID]
		c.tasks.RequestTaskStop(job, job.Task(victim.TaskIndex), "preempted for "+preemption.For.ID)
	}
}

// requestMachines requests machines of other partitions that a partition needs. Requests
// are heard by all controllers, this one among them.
func (c *SchedulingCycle) requestMachines(partition *cluster.Partition, plan *scheduler.Plan, jobs map[string]*cluster.Job) {
	c.requestIdle(partition, plan.MachinesToBorrow)
	c.requestClaimed(partition, jobs)
	if spare := c.chooseSpare(partition, jobs, plan.BlockedReasons); spare != nil {
		c.MachineRequests = append(c.MachineRequests, peer.MachineRequest{
			Machine:   spare.Name,
			Partition: partition.Index,
			Spare:     true,
		})
	}
	if len(c.MachineRequests) > 0 {
		c.peers.RequestBroadcast()
		c.lending.HandleMachineRequests(c.MachineRequests)
	}
}

// requestIdle requests the machines that a plan borrows: idle ones, and those of the
// partition by home, which are reclaimed.
func (c *SchedulingCycle) requestIdle(partition *cluster.Partition, machines []*scheduler.Machine) {
	for _, machine := range machines {
		if len(c.MachineRequests) >= MaxMachineRequests {
			return
		}
		record := c.cluster.Machines[machine.Name].Record
		c.MachineRequests = append(c.MachineRequests, peer.MachineRequest{
			Machine:   machine.Name,
			Partition: partition.Index,
			Reclaim:   record.HomePartition == partition.Index,
		})
	}
}

// requestClaimed requests the machines that jobs of the partition have a claim on, with
// each plan until they come, for a message may be lost.
func (c *SchedulingCycle) requestClaimed(partition *cluster.Partition, jobs map[string]*cluster.Job) {
	for _, machine := range c.cluster.MachinesByName {
		if len(c.MachineRequests) >= MaxMachineRequests {
			return
		}
		job := jobs[machine.ClaimedBy]
		if job == nil || machine.Record.Partition == partition.Index {
			continue
		}
		c.MachineRequests = append(c.MachineRequests, peer.MachineRequest{
			Machine:       machine.Name,
			Partition:     partition.Index,
			Tier:          job.Spec.Priority.Tier(),
			InheritedTier: c.urgencies.effectiveTier(job),
			Guaranteed:    machine.ClaimGuaranteed,
		})
	}
}
