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

// workerLeaseMargin is added to a worker's lease for the way of the answer that renews it.
const workerLeaseMargin = micros.Second / 2

// workerHandler answers workers' heartbeats, takes in their replies to direct commands,
// and reconciles what both say with what is recorded.
type workerHandler struct {
	*coordination.Environment
	boots       *cluster.BootStatistics
	cache       *coordination.WatchCache
	cluster     *cluster.State
	instances   *provisioning.InstanceList
	manager     *planning.MachineManager
	storeLease  *coordination.StoreLease
	tasks       *cluster.TaskLifecycle
	trigger     *cluster.CycleTrigger
	workerReach *coordination.WorkerReach
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
	reach *coordination.WorkerReach,
) *workerHandler {
	return &workerHandler{
		Environment: env, boots: boots, cache: cache, cluster: cluster, instances: instances, manager: manager,
		storeLease: lease, tasks: tasks, trigger: trigger, workerReach: reach,
	}
}

// handleHeartbeat answers a worker. Only the leader of its machine's partition, within its
// answer deadline, answers 200: that renews the worker's lease, and with it its tasks run on.
func (h *workerHandler) handleHeartbeat(request message.WorkerHeartbeat) {
	heartbeat := request.Heartbeat
	h.workerReach.ObserveWorkerContact()
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
	if !isRecordedAs(machine, heartbeat) {
		refuse(h.Environment, request.RequestID, refusalOtherMachine)
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
	if why, ok := h.checkHeartbeat(machine, heartbeat); !ok {
		refuse(h.Environment, request.RequestID, why)
		return
	}
	machine.LastHeartbeatAt = h.Now
	commands := h.reconcileHeartbeat(machine, heartbeat, true)
	h.extendWorkerLease(machine)
	response := api.HeartbeatResponse{FencingToken: h.cluster.FencingToken(machine), Commands: commands}
	grant := h.storeLease.CommandGrant(h.cluster.Partitions[machine.Record.Partition].RoleState)
	h.Answer(request.RequestID, message.StatusOK, leadership.NewOrder(grant, response))
}

// isRecordedAs tells whether a heartbeat comes from a machine like the one that was launched.
func isRecordedAs(machine *cluster.Machine, heartbeat *api.Heartbeat) bool {
	record := &machine.Record
	return record.Type == heartbeat.Type && record.Zone == heartbeat.Zone && record.Spot == heartbeat.Spot
}

// extendWorkerLease notes that a worker's lease may last until a full lease from now.
func (h *workerHandler) extendWorkerLease(machine *cluster.Machine) {
	machine.LeaseExpiresAt = max(machine.LeaseExpiresAt, h.Now+h.Settings.WorkerLease()+workerLeaseMargin)
}

// otherLeader names the other controller that leads a machine's partition; "" if none is
// known. Only a controller whose lease on the store holds names one: two that had lost the
// store sent workers to each other, by what each knew last, until the leases of seven
// hundred machines had expired.
func (h *workerHandler) otherLeader(machine *cluster.Machine) string {
	index := machine.Record.Partition
	known := index >= 0 && index < len(h.cluster.Partitions) && h.cluster.Partitions[index].Term > 0
	if !known || h.cluster.LedPartition(machine) != nil || !h.storeLease.LeaseValid() {
		return ""
	}
	if node := h.cluster.Partitions[index].Claim.Node; node != h.Settings.Node {
		return node
	}
	return ""
}

// checkHeartbeat tells whether a heartbeat of a machine of ours may be answered 200; if
// not, it gives the refusal.
func (h *workerHandler) checkHeartbeat(machine *cluster.Machine, heartbeat *api.Heartbeat) (refusal, bool) {
	switch {
	case h.mustLetLeaseExpire(machine):
		return refusalLeaseMustExpire, false
	case heartbeat.FencingToken > h.cluster.FencingToken(machine):
		// The replica is behind: have it read anew.
		h.cache.ReadLatest(func(bool) {})
		return refusalTokenOutranked, false
	case !machine.IsNewer(heartbeat):
		return refusalHeartbeatOvertaken, false
	}
	return refusal{}, true
}

// mustLetLeaseExpire tells whether a machine is to lose its lease for a job that was
// cancelled longer ago than the answer window: a direct start of one of its tasks there had
// no answer, and is not ruled out by a higher fencing token, for that needs the store.
// All else that must stop is told so with each answer that renews the lease.
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
