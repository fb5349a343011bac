package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// unsentCommandRetry is how soon commands are sent again that never left this process.
const unsentCommandRetry = micros.Second / 5

// handleCommandReply takes in a worker's reply to direct commands, or that none came.
func (h *workerHandler) handleCommandReply(reply message.CommandReply) {
	if reply.Status != 0 {
		h.workerReach.ObserveWorkerReply()
	}
	machine := h.cluster.Machines[reply.Machine]
	if machine == nil {
		h.adoptOrphan(reply)
		return
	}
	machine.CommandInFlight = false
	if reply.Unsent {
		machine.NextCommandAt = h.Now + unsentCommandRetry
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
		// We did not know the worker's incarnation: again with the right one.
		h.observeIncarnation(machine, heartbeat.Incarnation)
		machine.NextCommandAt = h.Now
		return
	}
	if heartbeat.FencingToken <= h.cluster.FencingToken(machine) {
		h.reconcileHeartbeat(machine, heartbeat, false)
	}
}

// heartbeatOf gives the heartbeat that a reply carries; nil: it has none of the machine
// that was asked.
func heartbeatOf(reply message.CommandReply) *api.Heartbeat {
	answered := reply.Status == message.StatusOK || reply.Status == message.StatusConflict
	if !answered || reply.Heartbeat == nil || reply.Heartbeat.Machine != reply.Machine {
		return nil
	}
	return reply.Heartbeat
}

// adoptOrphan has an instance recorded that answers and has no record.
func (h *workerHandler) adoptOrphan(reply message.CommandReply) {
	heartbeat := heartbeatOf(reply)
	if heartbeat == nil {
		return
	}
	orphan := peer.Orphan{Machine: heartbeat.Machine, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	h.instances.AdoptOrphan(orphan, "reported")
}

// observeIncarnation takes in the incarnation that a worker says it is in. They only rise,
// so a higher one proves gone whatever was observed in an earlier one, whoever says it and
// however late; no command of the earlier one is carried out any more. When only
// heartbeats were taken as proof, tasks on a machine that nothing but direct commands
// reached were taken to run on for as long as that lasted.
func (h *workerHandler) observeIncarnation(machine *cluster.Machine, incarnation api.Incarnation) {
	if incarnation <= machine.Incarnation {
		return
	}
	machine.Incarnation = incarnation
	machine.CachedImages = nil
	for _, id := range machine.TaskIDsCopy() {
		job := h.cluster.Jobs[id.Job]
		task := job.Task(id.Index)
		task.DirectStartToken = 0 // direct starts name the incarnation
		isOurs := h.cluster.LedPartition(machine) != nil && job.Partition == machine.Record.Partition
		if task.Observed && isOurs {
			h.tasks.Release(job, id.Index, "its worker's incarnation ended")
		}
	}
}
