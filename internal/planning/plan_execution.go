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
	// MaxMachineRequests limits the requests to other partitions that are made at a time,
	// so that they fit into one message. The next plan requests what is still needed.
	MaxMachineRequests = 500
)

// taskQueue holds the tasks of a job that a plan places, in order.
type taskQueue struct {
	job         *cluster.Job
	pending     []int
	gangAttempt api.Attempt // the same for all tasks of a gang; 0: not a gang
}

// newTaskQueue returns the queue of a job's tasks that may be placed now. It marks the
// start of a gang as uncommitted. All tasks of a gang get the same attempt: a new one,
// unless replacements complete a gang that does not run yet.
func (c *SchedulingCycle) newTaskQueue(job *cluster.Job) *taskQueue {
	queue := &taskQueue{job: job, pending: job.PlaceableTasks(c.Now, c.tasks.MaxTasksPerCycle(job))}
	if job.Spec.Kind == api.KindGang {
		queue.gangAttempt = job.LastAttempt()
		if !job.IsReassembling() {
			queue.gangAttempt++
		}
		job.StartUncommitted = true
	}
	return queue
}

// next removes the next task to place from the queue, and returns its index and attempt.
func (q *taskQueue) next() (index int, attempt api.Attempt) {
	index = q.pending[0]
	q.pending = q.pending[1:]
	if q.job.Spec.Kind == api.KindGang {
		return index, q.gangAttempt
	}
	if task := q.job.Task(index); task != nil {
		return index, task.Attempt + 1
	}
	return index, 1
}

// bindTasks places tasks as a plan says. They are started only after their placement is
// committed.
func (c *SchedulingCycle) bindTasks(bindings []scheduler.Binding, jobs map[string]*cluster.Job) {
	queues := map[string]*taskQueue{}
	for _, binding := range bindings {
		job := jobs[binding.Job.ID]
		queue := queues[job.ID]
		if queue == nil {
			queue = c.newTaskQueue(job)
			queues[job.ID] = queue
		}
		c.placeTasks(job, queue, binding)
	}
}

// placeTasks places the next tasks of a job on a machine, and ends the job's claim on that
// machine.
func (c *SchedulingCycle) placeTasks(job *cluster.Job, queue *taskQueue, binding scheduler.Binding) {
	machine := c.cluster.Machines[binding.Machine.Name]
	first := queue.pending[0]
	for range binding.Tasks {
		index, attempt := queue.next()
		c.cluster.ChangeTask(job, index, cluster.TaskRecord{State: records.TaskPlaced, Attempt: attempt, Machine: machine.Name})
	}
	c.LogDebug("tasks placed",
		logkey.Job, job.ID,
		logkey.Task, first,
		logkey.Tasks, binding.Tasks,
		logkey.Attempt, job.Task(first).Attempt,
		logkey.Machine, machine.Name,
		logkey.WaitedS, (c.Now - job.EligibleAt()).WholeSeconds())
	if machine.ClaimedBy == job.ID {
		machine.ClaimedBy = ""
	}
}

// preemptTasks stops tasks as a plan says, and claims their machines for the jobs that
// need them. If the same job has already claimed a machine, the claim is only extended. A
// machine of another partition is requested instead (requestMachines).
func (c *SchedulingCycle) preemptTasks(preemptions []scheduler.Preemption) {
	for _, preemption := range preemptions {
		machine := c.cluster.Machines[preemption.Machine.Name]
		claimedBefore := machine.ClaimedBy == preemption.ForJob.ID
		machine.ClaimedBy = preemption.ForJob.ID
		machine.ClaimExpiresAt = c.Now + claimDuration
		machine.ClaimGuaranteed = preemption.WithinGuarantee
		switch {
		case claimedBefore:
		case preemption.Machine.HeldByOtherPartition:
			c.LogInfo("machine requested",
				logkey.ForJob, preemption.ForJob.ID,
				logkey.Machine, machine.Name,
				logkey.Partition, machine.Record.Partition,
				logkey.Tasks, len(preemption.Victims))
		default:
			c.stopVictims(preemption)
		}
	}
}

// stopVictims requests the stop of the tasks that a plan preempts on one machine.
func (c *SchedulingCycle) stopVictims(preemption scheduler.Preemption) {
	c.LogInfo("tasks preempted",
		logkey.ForJob, preemption.ForJob.ID,
		logkey.Machine, preemption.Machine.Name,
		logkey.Tasks, len(preemption.Victims))
	for _, victim := range preemption.Victims {
		job := c.cluster.Jobs[victim.Job.ID]
		c.tasks.RequestStop(job, job.Task(victim.TaskIndex), "preempted for "+preemption.ForJob.ID)
	}
}

// requestMachines requests the machines of other partitions that a partition needs. The
// requests are broadcast to all other controllers; those for machines of this controller
// are handled here.
func (c *SchedulingCycle) requestMachines(partition *cluster.Partition, plan *scheduler.Plan, jobs map[string]*cluster.Job) {
	c.requestMachinesToBorrow(partition, plan.MachinesToBorrow)
	c.requestClaimedMachines(partition, jobs)
	if spare := c.chooseSpare(partition, jobs, plan.BlockedReasons); spare != nil {
		c.MachineRequests = append(c.MachineRequests, peer.MachineRequest{
			Machine:   spare.Name,
			Partition: partition.Index,
			Spare:     true,
		})
	}
	if len(c.MachineRequests) > 0 {
		c.peers.RequestBroadcast()
		c.lender.HandleMachineRequests(c.MachineRequests)
	}
}

// requestMachinesToBorrow requests the machines that a plan borrows: idle machines, and
// machines whose home is the partition, which are reclaimed.
func (c *SchedulingCycle) requestMachinesToBorrow(partition *cluster.Partition, machines []*scheduler.Machine) {
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

// requestClaimedMachines requests the machines of other partitions that jobs of the
// partition have claimed. Each plan repeats the requests until the machines arrive, since
// a message may be lost.
func (c *SchedulingCycle) requestClaimedMachines(partition *cluster.Partition, jobs map[string]*cluster.Job) {
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
