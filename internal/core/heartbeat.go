package core

import (
	"slices"

	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

type peerStatus struct {
	healthySince    micros.Micros
	lastHeartbeatAt micros.Micros
	healthy         bool
	idleMachines    map[string]bool
	schemaVersion   int
	writeRate       float64 // changes that it makes a second
	// stopping: it gives up what it holds, and ends.
	stopping bool
}

// broadcastHeartbeat tells the other controllers how we are and what we want.
func (c *Controller) broadcastHeartbeat() {
	if c.now < c.nextHeartbeatAt {
		return
	}
	c.nextHeartbeatAt = c.now + micros.Second
	able := c.synced && !c.stopping && !c.isolatedFromWorkers && c.now >= c.noFailoverBefore && (c.unavailableSince == 0 || c.now < c.unavailableSince+micros.Second) && c.lease.ID != 0
	writeRate := c.measureWriteRate()
	found := c.currentFindings()
	c.emit(Broadcast{&peer.Heartbeat{WriteRate: max(0.01, writeRate), Node: c.settings.Node, Healthy: able, IdleMachines: c.idleOffers(), MachineRequests: c.machineRequests,
		CancelledJobs: c.pendingNotices(), SchemaVersion: SchemaVersion, Stopping: c.stopping,
		Failed: findingNames(found.failed), Unlisted: findingNames(found.unlisted), Orphans: findingOrphans(found.orphans)}})
}

// cancellationNotice is a cancellation that we confirmed to its user.
type cancellationNotice struct {
	job         string
	confirmedAt micros.Micros
}

// A cancellation is told to the other controllers for a few seconds: its holder
// may not see the state service, and its tasks then end sooner. Nothing rests on
// it: an unknown or lost one is in effect within the answer deadline and a lease.
const (
	noticeDuration = 5 * micros.Second
	maxTold        = 400
)

func (c *Controller) notifyCancelled(id string) {
	if len(c.cancellationNotices) < maxTold {
		c.cancellationNotices = append(c.cancellationNotices, cancellationNotice{id, c.now})
	}
	c.nextHeartbeatAt = min(c.nextHeartbeatAt, c.now)
}

func (c *Controller) pendingNotices() []string {
	c.cancellationNotices = slices.DeleteFunc(c.cancellationNotices, func(t cancellationNotice) bool { return c.now > t.confirmedAt+noticeDuration })
	var ids []string
	for _, t := range c.cancellationNotices {
		ids = append(ids, t.job)
	}
	return ids
}

// requestBroadcast has the next heartbeat sent at once.
func (c *Controller) requestBroadcast() { c.nextHeartbeatAt = c.now }

// observePeer takes in what another controller says of itself.
func (c *Controller) observePeer(h *peer.Heartbeat) {
	status := c.peers[h.Node]
	if status == nil || c.now > status.lastHeartbeatAt+4*micros.Second || !status.healthy {
		status = &peerStatus{healthySince: c.now}
		c.peers[h.Node] = status
	}
	status.lastHeartbeatAt, status.healthy, status.stopping = c.now, h.Healthy, h.Stopping
	status.schemaVersion, status.writeRate = h.SchemaVersion, h.WriteRate
	status.idleMachines = map[string]bool{}
	for _, idle := range h.IdleMachines {
		status.idleMachines[idle.Machine] = true
	}
}

// handlePeerHeartbeat acts on what another controller says and asks for.
func (c *Controller) handlePeerHeartbeat(h *peer.Heartbeat) {
	if !slices.Contains(c.settings.Nodes, h.Node) || h.Node == c.settings.Node {
		return
	}
	c.observePeer(h)
	c.observeSchema(h.Node, h.SchemaVersion)
	for _, id := range h.CancelledJobs {
		if j := c.jobs[id]; j != nil && !j.terminal && !j.mustNotRun() {
			c.logInfo("cancelled, says another controller", "job", id, "by", h.Node)
			j.cancelledElsewhere = true
			c.requestJobStop(j)
		}
	}
	if c.synced {
		c.handleMachineRequests(h.MachineRequests)
		c.applyPeerFindings(h)
	}
}
