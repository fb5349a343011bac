package planning

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// HandleMachineRequests transfers the machines that other partitions request, or promises
// them, where we lead their partitions and that is permitted.
func (l *MachineLending) HandleMachineRequests(requests []peer.MachineRequest) {
	for _, request := range requests {
		machine := l.cluster.Machines[request.Machine]
		if machine == nil || l.cluster.LedPartition(machine) == nil || !l.isForOtherPartition(machine, request) {
			continue
		}
		if l.isLendable(machine) {
			l.registry.TransferMachine(machine, request.Partition)
		} else if l.isPromisable(machine) {
			l.promiseMachine(machine, request)
		}
	}
}

// isForOtherPartition tells whether a request is of a partition that exists and is not the
// machine's own.
func (l *MachineLending) isForOtherPartition(machine *cluster.Machine, request peer.MachineRequest) bool {
	exists := request.Partition >= 0 && request.Partition < len(l.cluster.Partitions)
	return exists && request.Partition != machine.Record.Partition
}

// isPromisable tells whether a machine of ours with tasks may be promised to another
// partition: it is in good order and nobody has a right to it.
func (l *MachineLending) isPromisable(machine *cluster.Machine) bool {
	if machine.MoveToPartition != noPartition || !machine.TokenConfirmed || !staysInService(machine) {
		return false
	}
	return !l.reservations.isReserved(machine) && !l.claimedByOwnPartition(machine)
}

// promiseMachine promises a machine with tasks to another partition, if that is permitted:
// as a spare or reclaimed one it goes once its tasks have ended by themselves, for a job of
// enough priority they are preempted.
func (l *MachineLending) promiseMachine(machine *cluster.Machine, request peer.MachineRequest) {
	switch {
	case request.Spare:
		l.LogInfo("spare machine promised",
			logkey.Machine, machine.Name,
			logkey.ToPartition, request.Partition,
			logkey.Tasks, len(machine.TaskIDs))
		machine.MoveToPartition, machine.PreemptForMove = request.Partition, false
	case request.Reclaim && machine.Record.HomePartition == request.Partition:
		l.LogInfo("lent machine reclaimed",
			logkey.Machine, machine.Name,
			logkey.HomePartition, request.Partition)
		machine.MoveToPartition, machine.PreemptForMove = request.Partition, false
	case request.Tier > 0 && l.mayPreemptAll(machine, request):
		l.LogInfo("machine promised",
			logkey.Machine, machine.Name,
			logkey.ToPartition, request.Partition,
			logkey.Tasks, len(machine.TaskIDs),
			logkey.Tier, request.Tier,
			logkey.Guaranteed, request.Guaranteed)
		machine.MoveToPartition, machine.PreemptForMove = request.Partition, true
	}
}

// mayPreemptAll tells whether PROTOCOL's preemption permits stopping all of a machine's
// tasks for a request: they are of a lower tier, or of the same and their teams keep their
// guarantees without them, while the requesting job's team is within its own.
func (l *MachineLending) mayPreemptAll(machine *cluster.Machine, request peer.MachineRequest) bool {
	preempted := map[string]scheduler.Resources{} // by team, of tasks of the same tier
	for job, task := range tasksOn(l.cluster, machine) {
		if l.isOutranked(job, task, request) {
			continue
		}
		if !request.Guaranteed || l.urgencies.effectiveTier(job) > request.Tier || l.view.startedRecently(task) {
			return false // one of the same tier that started lately costs more than it serves
		}
		team := job.Spec.Team
		preempted[team] = preempted[team].Add(job.Request, 1)
		if !l.view.schedulerTeam(team).KeepsGuaranteeWithout(preempted[team]) {
			return false
		}
	}
	return true
}

// isOutranked tells whether a task may be preempted for a request by tier alone. A tier
// that the requesting job inherited from one that depends on it stops only tasks of arrays
// that did not start lately: without that bound gangs that a pipeline named preempted
// others of their own class again and again.
func (l *MachineLending) isOutranked(job *cluster.Job, task *cluster.Task, request peer.MachineRequest) bool {
	tier := l.urgencies.effectiveTier(job)
	if tier < request.Tier {
		return true
	}
	return tier < request.InheritedTier && job.Spec.Kind == api.Array && !l.view.startedRecently(task)
}
