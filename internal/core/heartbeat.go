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
	if w := &c.budget; c.now >= w.measuredAt+micros.Second {
		w.spendRate = (w.spendRate + (w.spent-w.measuredSpent)*float64(micros.Second)/float64(c.now-w.measuredAt)) / 2
		w.measuredSpent, w.measuredAt = w.spent, c.now
	}
	f := &c.findings
	c.emit(Broadcast{&peer.Heartbeat{WriteRate: max(0.01, c.budget.spendRate), Node: c.settings.Node, Healthy: able, IdleMachines: c.idleOffers(), MachineRequests: c.machineRequests,
		CancelledJobs: c.pendingNotices(), SchemaVersion: SchemaVersion, Stopping: c.stopping,
		Failed: findingNames(c.currentFindings(&f.failed)), Unlisted: findingNames(c.currentFindings(&f.unlisted)), Orphans: findingOrphans(c.currentFindings(&f.orphans))}})
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

func (c *Controller) handlePeerHeartbeat(h *peer.Heartbeat) {
	if !slices.Contains(c.settings.Nodes, h.Node) || h.Node == c.settings.Node {
		return
	}
	was := c.peers[h.Node]
	if was == nil || c.now > was.lastHeartbeatAt+4*micros.Second || !was.healthy {
		was = &peerStatus{healthySince: c.now}
		c.peers[h.Node] = was
	}
	was.lastHeartbeatAt, was.healthy, was.idleMachines, was.schemaVersion, was.writeRate = c.now, h.Healthy, map[string]bool{}, h.SchemaVersion, h.WriteRate
	was.stopping = h.Stopping
	c.observeSchema(h.Node, h.SchemaVersion)
	for _, i := range h.IdleMachines {
		was.idleMachines[i.Machine] = true
	}
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
