package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// unsentCommandRetryDelay is the delay before commands that never left this process are sent
// again.
const unsentCommandRetryDelay = micros.Second / 5

// handleCommandReply handles a worker's reply to direct commands, or the lack of one.
func (h *workerHandler) handleCommandReply(reply message.CommandReply) {
	if reply.Status != 0 {
		h.reachability.ObserveReply()
	}
	machine := h.cluster.Machines[reply.Machine]
	if machine == nil {
		h.adoptOrphan(reply)
		return
	}
	machine.CommandInFlight = false
	if reply.Unsent {
		machine.NextCommandAt = h.Now + unsentCommandRetryDelay
	}
	if h.cluster.LedPartition(machine) == nil {
		return
	}
	h.manager.ResolveDirectStarts(machine, reply)
	heartbeat := heartbeatOf(reply)
	if heartbeat == nil || !machine.IsNewer(heartbeat) {
		return
	}
	if reply.Status == message.StatusConflict {
		// The worker's current incarnation was not known here. The commands are sent again with
		// it.
		h.observeIncarnation(machine, heartbeat.Incarnation)
		machine.NextCommandAt = h.Now
		return
	}
	if heartbeat.FencingToken <= h.cluster.FencingToken(machine) {
		h.reconcileHeartbeat(machine, heartbeat, false)
	}
}

// heartbeatOf returns the heartbeat in a reply, or nil if there is none from the machine
// that the commands were sent to.
func heartbeatOf(reply message.CommandReply) *api.Heartbeat {
	answered := reply.Status == message.StatusOK || reply.Status == message.StatusConflict
	if !answered || reply.Heartbeat == nil || reply.Heartbeat.Machine != reply.Machine {
		return nil
	}
	return reply.Heartbeat
}

// adoptOrphan adopts an instance that replied to commands although it has no record.
func (h *workerHandler) adoptOrphan(reply message.CommandReply) {
	heartbeat := heartbeatOf(reply)
	if heartbeat == nil {
		return
	}
	orphan := peer.Orphan{Machine: heartbeat.Machine, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	h.instances.AdoptOrphan(orphan, "reported")
}

// observeIncarnation applies the incarnation that a worker reports. Incarnations only
// increase. A higher one proves that all tasks observed in an earlier one are gone, even if
// the report is late, and that commands to the earlier one no longer take effect. Replies
// to direct commands count as well as heartbeats: otherwise tasks count as running for as
// long as a restarted machine is reachable only by direct commands.
//
// The worker may number its messages anew in each incarnation. Nothing of this one is applied
// yet, so any message of it counts as newer.
//
// The worker got a new lease when the incarnation began, no later than now. Tasks that are
// started in the incarnation may run for as long, however soon the lease of the earlier one
// would have expired.
func (h *workerHandler) observeIncarnation(machine *cluster.Machine, incarnation api.Incarnation) {
	if incarnation <= machine.Incarnation {
		return
	}
	if machine.Incarnation > 0 {
		h.LogInfo("worker restarted",
			logkey.Machine, machine.Name,
			logkey.Incarnation, incarnation,
			logkey.Tasks, len(machine.TaskIDs),
			logkey.LeaseLeftS, (machine.LeaseExpiresAt - h.Now).WholeSeconds())
	}
	machine.Incarnation, machine.HeartbeatSequence = incarnation, 0
	machine.CachedImages = nil
	h.extendWorkerLease(machine)
	for _, id := range machine.TaskIDsCopy() {
		job := h.cluster.Jobs[id.Job]
		task := job.Task(id.Index)
		task.DirectStartToken = 0 // direct starts name the incarnation
		ledHere := h.cluster.LedPartition(machine) != nil && job.Partition == machine.Record.Partition
		if task.Observed && ledHere {
			h.tasks.Release(job, id.Index, "its worker's incarnation ended")
		}
	}
}
