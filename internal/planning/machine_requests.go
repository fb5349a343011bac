package planning

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// HandleMachineRequests handles requests of other partitions for machines of partitions
// that this controller leads. Where that is permitted, it transfers a machine at once, or
// schedules the transfer of a machine that still has tasks.
func (l *MachineLender) HandleMachineRequests(requests []peer.MachineRequest) {
	for _, request := range requests {
		machine := l.cluster.Machines[request.Machine]
		if machine == nil || l.cluster.LedPartition(machine) == nil || !l.isForOtherPartition(machine, request) {
			continue
		}
		if l.isLendable(machine) {
			l.registry.Transfer(machine, request.Partition)
		} else if l.mayScheduleTransfer(machine) {
			l.scheduleTransfer(machine, request)
		}
	}
}

// isForOtherPartition reports whether a request comes from an existing partition that is
// not the machine's own.
func (l *MachineLender) isForOtherPartition(machine *cluster.Machine, request peer.MachineRequest) bool {
	exists := request.Partition >= 0 && request.Partition < len(l.cluster.Partitions)
	return exists && request.Partition != machine.Record.Partition
}

// mayScheduleTransfer reports whether a machine that still has tasks may be scheduled for
// transfer to another partition: it is healthy, and not yet reserved, claimed by its own
// partition, or scheduled for transfer.
func (l *MachineLender) mayScheduleTransfer(machine *cluster.Machine) bool {
	if machine.TransferToPartition != noPartition || !machine.TokenConfirmed || !staysInService(machine) {
		return false
	}
	return !l.reservations.isReserved(machine) && !l.claimedByOwnPartition(machine)
}

// scheduleTransfer schedules the transfer of a machine with tasks to another partition,
// if that is permitted. A spare or reclaimed machine is transferred once its tasks have
// ended by themselves. For a job of sufficient priority its tasks are preempted.
func (l *MachineLender) scheduleTransfer(machine *cluster.Machine, request peer.MachineRequest) {
	switch {
	case request.Spare:
		l.LogInfo("spare machine transfer scheduled",
			logkey.Machine, machine.Name,
			logkey.ToPartition, request.Partition,
			logkey.Tasks, len(machine.TaskIDs))
		machine.TransferToPartition, machine.PreemptForTransfer = request.Partition, false
	case request.Reclaim && machine.Record.HomePartition == request.Partition:
		l.LogInfo("lent machine reclaimed",
			logkey.Machine, machine.Name,
			logkey.HomePartition, request.Partition)
		machine.TransferToPartition, machine.PreemptForTransfer = request.Partition, false
	case request.Tier > 0 && l.mayPreemptAll(machine, request):
		l.LogInfo("machine transfer scheduled",
			logkey.Machine, machine.Name,
			logkey.ToPartition, request.Partition,
			logkey.Tasks, len(machine.TaskIDs),
			logkey.Tier, request.Tier,
			logkey.Guaranteed, request.Guaranteed)
		machine.TransferToPartition, machine.PreemptForTransfer = request.Partition, true
	}
}

// mayPreemptAll reports whether all tasks on a machine may be preempted for a request. Tasks
// of a lower tier may be preempted. Tasks of the same tier that did not start recently may be
// preempted if their teams keep their guarantees without them and the team of the requesting
// job is within its own. Preemptions that the protocol permits but that cost more than they
// gain are rejected.
func (l *MachineLender) mayPreemptAll(machine *cluster.Machine, request peer.MachineRequest) bool {
	preempted := map[string]scheduler.Resources{} // by team, of tasks of the same tier
	for job, task := range tasksOn(l.cluster, machine) {
		if l.isOutranked(job, task, request) {
			continue
		}
		if !request.Guaranteed || l.urgencies.effectiveTier(job) > request.Tier || l.view.startedRecently(task) {
			return false // stopping a task of the same tier that started recently costs more than it gains
		}
		team := job.Spec.Team
		preempted[team] = preempted[team].AddScaled(job.Request, 1)
		if !l.view.teamQuota(team).KeepsGuaranteeWithout(preempted[team]) {
			return false
		}
	}
	return true
}

// isOutranked reports whether a task may be preempted for a request because of its tier
// alone. A tier that the requesting job inherited from one that depends on it preempts
// only tasks of arrays that did not start recently. Without this limit, gangs that a
// pipeline needs preempt other gangs of their own class again and again.
func (l *MachineLender) isOutranked(job *cluster.Job, task *cluster.Task, request peer.MachineRequest) bool {
	tier := l.urgencies.effectiveTier(job)
	if tier < request.Tier {
		return true
	}
	return tier < request.InheritedTier && job.Spec.Kind == api.KindArray && !l.view.startedRecently(task)
}
