// Package core is the controller's state machine: Step takes an input and the time, and
// gives the effects to carry out. It does no input or output, reads no clock and uses no
// randomness but a generator handed to it, so that it can be run in simulated time.
//
// All that must last is in the key-value store, and every controller keeps a replica of
// it: the leaders of partitions, machine records, unfinished jobs and their tasks.
// Decisions are made on that replica and take effect only once a conditional write of
// them was answered.
//
// This package dispatches inputs and answers users, workers and the other controllers;
// what is decided about the cluster is in the packages whose components Controller joins.
package core

import (
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// periodicInterval is how often the periodic work is done; the parts of it that are due
// less often keep their own times.
const periodicInterval = micros.Second / 10

// Step takes one input at a time that never runs backwards, and gives the effects to be
// carried out, in their order.
func (c *Controller) Step(now micros.Micros, in message.Input) []message.Effect {
	previous := c.Now
	c.Now = max(c.Now, now)
	c.Effects = nil
	c.storeLease.DetectPause(previous)
	c.dispatch(in)
	c.runPeriodicWork()
	return c.Effects
}

// dispatch hands an input to the component that handles it.
func (c *Controller) dispatch(in message.Input) {
	switch input := in.(type) {
	case message.Tick: // only the periodic work
	case message.Submit:
		c.submissions.handleSubmit(input)
	case message.GetStatus:
		c.jobs.handleStatus(input)
	case message.Cancel:
		c.cancellations.handleCancel(input)
	case message.Explain:
		c.explainer.handleExplain(input)
	case message.Ready:
		c.readiness.handleReady(input)
	case message.WorkerHeartbeat:
		c.workers.handleHeartbeat(input)
	case message.CommandReply:
		c.workers.handleCommandReply(input)
	case *message.StoreReply:
		c.handleStoreReply(input)
	case *message.CloudReply:
		c.handleCloudReply(input)
	case message.PeerHeartbeat:
		c.messenger.handlePeerHeartbeat(input.Heartbeat)
	case message.ListRoles:
		c.roles.HandleListRoles(input)
	case message.OrderRefused:
		c.audit.CountRefusedOrder(input)
	case message.Stop:
		c.handleStop()
	}
}

// runPeriodicWork does what time and the last input made due. The order matters: each
// step decides on what those before it left.
func (c *Controller) runPeriodicWork() {
	c.runAfterEveryInput()
	if c.Now < c.nextPeriodicAt {
		return
	}
	c.nextPeriodicAt = c.Now + periodicInterval
	c.runOnInterval()
}

// runAfterEveryInput does what must not wait for the interval.
func (c *Controller) runAfterEveryInput() {
	// First the watch: users wait for reads, and all else relies on a replica that is new.
	c.cache.MaintainWatch()
	// The lease next: without one that is known to hold, nothing is decided or committed.
	c.storeLease.RenewLease()
	// Jobs may wait for outcomes that the input left unknown: these are read right away.
	c.dependencies.ReadUnknownOutcomes()
	// Changes that the input made last, so that one commit holds all of them.
	c.partitionLog.CommitChanges()
}

// runOnInterval does what is due every periodicInterval.
func (c *Controller) runOnInterval() {
	// What works and what is lost is found out before anything is decided on it.
	c.condition.trackCondition()
	c.storeLease.TrackAnswering()
	// Before the roles: which records may be written, and whether the fleet's roles have
	// one leader each, depends on what all controllers read.
	c.schema.AnnounceSchema()
	c.roles.TrackExclusiveRoles()
	c.provisioning.TrackRequestRecording()
	// Roles before machines: only the machines of partitions that are led are looked after.
	c.roles.ReconcileRoles()
	c.manager.ReconcileMachines()
	// Whether workers reach us was judged with the machines; if none does, some are probed.
	c.isolation.ProbeWorkers()
	// What was already requested of the cloud is repeated before the plan requests more.
	c.reconcileCloud()
	c.scheduling.RunIfDue()
	// What was just planned is committed at once, not with the next input.
	c.partitionLog.CommitChanges()
	// The heartbeat tells the other controllers what the plan wants of them and leaves idle.
	c.messenger.broadcastHeartbeat()
	// Logs tell what all of this led to.
	c.summary.logSummary()
	c.audit.LogRefusedOrders()
	// At the very end: a stop is complete once all that the steps above sent is settled.
	c.roles.CompleteStop()
}

// reconcileCloud asks the cloud for what is due, one request of a kind at a time.
func (c *Controller) reconcileCloud() {
	c.catalog.ReadCatalogWhenDue()
	c.instances.TrackSweeping()
	if !c.instances.SweepsExclusively() && !c.roles.LeadsAnyPartition() {
		return
	}
	c.instances.ListInstancesWhenDue()
	c.provisioning.ReconcileRequests()
	c.deleter.DeleteInstancesWhenDue()
}

// handleStop gives up all roles. The other controllers are told before the roles go, so
// that they take them at once instead of waiting for the lease to expire.
func (c *Controller) handleStop() {
	c.roles.BeginStop()
	c.peers.RequestBroadcast()
	c.messenger.broadcastHeartbeat()
	c.roles.ReconcileRoles()
}

// handleStoreReply hands a reply of the store to what awaits it.
func (c *Controller) handleStoreReply(reply *message.StoreReply) {
	receive := c.StoreCalls[reply.Call]
	if receive == nil {
		return
	}
	delete(c.StoreCalls, reply.Call)
	c.storeHealth.ObserveStoreReply(reply)
	receive(reply)
}

// handleCloudReply hands a reply of the cloud to what awaits it.
func (c *Controller) handleCloudReply(reply *message.CloudReply) {
	receive := c.CloudCalls[reply.Call]
	if receive == nil {
		return
	}
	delete(c.CloudCalls, reply.Call)
	receive(reply)
}
