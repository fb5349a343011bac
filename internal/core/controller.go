// Package core is the controller's state machine: Step takes an input and the time, and
// returns the effects to carry out. It does no I/O, reads no clock, and takes all its
// randomness from a generator that the caller provides, so it can run in simulated time.
//
// All durable state is in the key-value store. Every controller keeps a replica of it:
// partition leaders, machine records, unfinished jobs and their tasks. Decisions are made
// on the replica. They take effect only once the store has confirmed the conditional write
// that records them.
//
// This package dispatches inputs and answers users, workers and the other controllers.
// Decisions about the cluster are made by the components, from other packages, that
// Controller connects. In its comments "we", "us" and "our" refer to the controller that runs
// the code.
package core

import (
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// periodicInterval is the interval between runs of the periodic work. Parts of it that run
// less often keep their own schedules.
const periodicInterval = micros.Second / 10

// Step handles one input and returns the effects to carry out, in order. If now is earlier
// than the time of a previous step, the time of that step is used.
func (c *Controller) Step(now micros.Micros, in message.Input) []message.Effect {
	previous := c.Now
	c.Now = max(c.Now, now)
	c.Effects = nil
	c.storeLease.DetectPause(previous)
	c.dispatch(in)
	c.runPeriodicWork()
	return c.Effects
}

// dispatch passes an input to the component that handles it.
func (c *Controller) dispatch(in message.Input) {
	switch input := in.(type) {
	case message.Tick: // triggers only the periodic work
	case message.Submit:
		c.submissions.handleSubmit(input)
	case message.GetStatus:
		c.jobs.handleStatus(input)
	case message.Cancel:
		c.cancellations.handleCancel(input)
	case message.Explain:
		c.explainer.handleExplain(input)
	case message.CheckReadiness:
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
		c.refusedOrders.Count(input)
	case message.Stop:
		c.handleStop()
	}
}

// runPeriodicWork does the work that is due after an input. The order matters: each step
// uses the results of the steps before it.
func (c *Controller) runPeriodicWork() {
	c.runAfterEveryInput()
	if c.Now < c.nextPeriodicAt {
		return
	}
	c.nextPeriodicAt = c.Now + periodicInterval
	c.runOnInterval()
}

// runAfterEveryInput does the work that must not wait for the next interval.
func (c *Controller) runAfterEveryInput() {
	// The watch comes first: users wait for reads, and all other steps need a current replica.
	c.cache.MaintainWatch()
	// The lease is next: without a valid lease, nothing is decided or committed.
	c.storeLease.Renew()
	// Jobs may wait for dependencies with unknown outcomes, so these are read at once.
	c.dependencies.ReadUnknownOutcomes()
	// Changes are committed last, so that one commit holds all changes made by the input.
	c.partitionLog.CommitChanges()
}

// runOnInterval does the work that is due every periodicInterval.
func (c *Controller) runOnInterval() {
	// The state of this controller's connections comes first: the timeouts of machines count
	// only from when it can answer heartbeats.
	c.condition.trackCondition()
	c.storeLease.UpdateAnsweringSince()
	// The schema comes before the roles: the schema that all controllers can read
	// determines which records may be written and whether fleet roles are exclusive.
	c.schema.Announce()
	c.roles.UpdateExclusive()
	c.provisioning.TrackRequestRecording()
	// Roles come before machines: a controller manages only machines of partitions it leads.
	c.roles.Reconcile()
	c.manager.ReconcileMachines()
	// ReconcileMachines has checked whether workers reach us. If none does, some are probed.
	c.isolationMonitor.ProbeWorkers()
	// Open requests to the cloud are repeated before the scheduler makes new ones.
	c.reconcileCloud()
	c.schedulingCycle.RunIfDue()
	// The new plan is committed at once instead of after the next input.
	c.partitionLog.CommitChanges()
	// The heartbeat carries the machine requests and idle machines of the new plan.
	c.messenger.broadcastHeartbeat()
	// The logs describe the state after all the steps above.
	c.summary.logSummary()
	c.refusedOrders.LogDue()
	// This comes last: a stop is complete once everything sent above is settled.
	c.roles.CompleteStop()
}

// reconcileCloud sends the requests to the cloud that are due. Except for launches, at most one
// of each kind is in flight.
func (c *Controller) reconcileCloud() {
	c.catalog.ReadWhenDue()
	c.instances.TrackSweeperRole()
	if !c.instances.SweepsExclusively() && !c.roles.LeadsAnyPartition() {
		return
	}
	c.instances.ReadWhenDue()
	c.provisioning.ReconcileRequests()
	c.deleter.DeleteWhenDue()
}

// handleStop resigns all roles, so that others need not wait for the lease to expire. The
// other controllers are notified first, so that they acquire the roles at once. Otherwise
// those that come after this controller as candidates would give it time to acquire them again.
func (c *Controller) handleStop() {
	c.roles.BeginStop()
	c.peers.RequestBroadcast()
	c.messenger.broadcastHeartbeat()
	c.roles.Reconcile()
}

// handleStoreReply passes a reply from the store to the handler of its call. It ignores a
// second reply to a call.
func (c *Controller) handleStoreReply(reply *message.StoreReply) {
	handle := c.StoreReplyHandlers[reply.CallID]
	if handle == nil {
		return
	}
	delete(c.StoreReplyHandlers, reply.CallID)
	c.storeHealth.ObserveReply(reply)
	handle(reply)
}

// handleCloudReply passes a reply from the cloud to the handler of its call. It ignores a
// second reply to a call.
func (c *Controller) handleCloudReply(reply *message.CloudReply) {
	handle := c.CloudReplyHandlers[reply.CallID]
	if handle == nil {
		return
	}
	delete(c.CloudReplyHandlers, reply.CallID)
	handle(reply)
}
