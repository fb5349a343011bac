package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
)

// workerLeaseMargin is added to a worker's lease to allow for the transit time of the answer
// that renews it.
const workerLeaseMargin = micros.Second / 2

// workerHandler answers workers' heartbeats, handles their replies to direct commands, and
// reconciles the reports in both with the recorded state.
type workerHandler struct {
	*coordination.Environment
	boots        *cluster.BootStatistics
	cache        *coordination.WatchCache
	cluster      *cluster.State
	instances    *provisioning.InstanceList
	manager      *planning.MachineManager
	storeLease   *coordination.StoreLease
	tasks        *cluster.TaskLifecycle
	trigger      *cluster.CycleTrigger
	reachability *coordination.WorkerReachability
}

func newWorkerHandler(
	env *coordination.Environment,
	boots *cluster.BootStatistics,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	instances *provisioning.InstanceList,
	manager *planning.MachineManager,
	lease *coordination.StoreLease,
	tasks *cluster.TaskLifecycle,
	trigger *cluster.CycleTrigger,
	reachability *coordination.WorkerReachability,
) *workerHandler {
	return &workerHandler{
		Environment: env, boots: boots, cache: cache, cluster: cluster, instances: instances, manager: manager,
		storeLease: lease, tasks: tasks, trigger: trigger, reachability: reachability,
	}
}

// handleHeartbeat answers a worker's heartbeat. Only the leader of the machine's partition
// answers 200, and only before its answer deadline: the answer renews the worker's lease, and
// so its tasks continue to run.
func (h *workerHandler) handleHeartbeat(request message.WorkerHeartbeat) {
	heartbeat := request.Heartbeat
	h.reachability.ObserveContact()
	if !h.cache.Synced {
		refuse(h.Environment, request.RequestID, refusalNotSynced)
		return
	}
	machine := h.cluster.Machines[heartbeat.Machine]
	if machine == nil {
		h.instances.ObserveUnknownWorker(heartbeat)
		redirect(h.Environment, request.RequestID, "")
		return
	}
	if !matchesRecord(machine, heartbeat) {
		refuse(h.Environment, request.RequestID, refusalMachineMismatch)
		return
	}
	if machine.Address == "" || machine.IsNewer(heartbeat) {
		machine.Address = heartbeat.Address
	}
	partition := h.cluster.LedPartition(machine)
	if partition == nil || !h.storeLease.MayAnswerFor(partition.RoleState) {
		redirect(h.Environment, request.RequestID, h.otherLeader(machine))
		return
	}
	if reason, ok := h.checkHeartbeat(machine, heartbeat); !ok {
		refuse(h.Environment, request.RequestID, reason)
		return
	}
	machine.LastHeartbeatAt = h.Now
	commands := h.reconcileHeartbeat(machine, heartbeat, true)
	h.extendWorkerLease(machine)
	response := api.HeartbeatResponse{FencingToken: h.cluster.FencingToken(machine), Commands: commands}
	grant := h.storeLease.CommandGrant(h.cluster.Partitions[machine.Record.Partition].RoleState)
	h.Answer(request.RequestID, message.StatusOK, leadership.NewOrder(grant, response))
}

// matchesRecord reports whether a heartbeat has the type, zone and market of the machine that
// was launched.
func matchesRecord(machine *cluster.Machine, heartbeat *api.Heartbeat) bool {
	record := &machine.Record
	return record.Type == heartbeat.Type && record.Zone == heartbeat.Zone && record.Spot == heartbeat.Spot
}

// extendWorkerLease records that a worker's lease may last for a full lease from now.
func (h *workerHandler) extendWorkerLease(machine *cluster.Machine) {
	machine.LeaseExpiresAt = max(machine.LeaseExpiresAt, h.Now+h.Settings.WorkerLease()+workerLeaseMargin)
}

// otherLeader returns the node of the other controller that leads a machine's partition, or
// "" if none is known. A controller without a valid lease on the store returns "", because
// its replica may be outdated. Otherwise two controllers that have lost the store redirect
// workers to each other until the workers' leases expire, in one case those of seven hundred
// machines.
func (h *workerHandler) otherLeader(machine *cluster.Machine) string {
	index := machine.Record.Partition
	known := index >= 0 && index < len(h.cluster.Partitions) && h.cluster.Partitions[index].Term > 0
	if !known || h.cluster.LedPartition(machine) != nil || !h.storeLease.Valid() {
		return ""
	}
	if node := h.cluster.Partitions[index].Claim.Node; node != h.Settings.Node {
		return node
	}
	return ""
}

// checkHeartbeat reports whether a heartbeat of a machine in a partition that we lead may be
// answered 200. If not, it returns the refusal.
func (h *workerHandler) checkHeartbeat(machine *cluster.Machine, heartbeat *api.Heartbeat) (refusal, bool) {
	switch {
	case h.mustLetLeaseExpire(machine):
		return refusalLeaseMustExpire, false
	case heartbeat.FencingToken > h.cluster.FencingToken(machine):
		// The replica is outdated, so a read of the store is requested.
		h.cache.ReadLatest(func(bool) {})
		return refusalNewerToken, false
	case !machine.IsNewer(heartbeat):
		return refusalStaleHeartbeat, false
	}
	return refusal{}, true
}

// mustLetLeaseExpire reports whether a machine must lose its lease because of a job that was
// cancelled longer ago than the answer window. This is so if a direct start of one of the
// job's tasks on the machine may still be carried out: the start is unanswered, and the
// fencing token has not been raised since, which needs the store. All other tasks that must
// stop are told so with each answer that renews the lease.
func (h *workerHandler) mustLetLeaseExpire(machine *cluster.Machine) bool {
	token := h.cluster.FencingToken(machine)
	for _, id := range machine.TaskIDs {
		job := h.cluster.Jobs[id.Job]
		task := job.Task(id.Index)
		mayStillStart := !task.Observed && task.DirectStartToken > 0 && task.DirectStartToken >= token
		if mayStillStart && job.MustNotRun() && h.Now > job.StopRequiredSince+h.Settings.AnswerWindow() {
			return true
		}
	}
	return false
}
