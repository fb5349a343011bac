package core

import (
	"slices"

	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// peerMessenger sends heartbeats to the other controllers and acts on theirs.
type peerMessenger struct {
	*environment
	budget      *writeBudget
	cache       *watchCache
	cluster     *clusterState
	instances   *instanceList
	lending     *machineLending
	peers       *peerTracker
	roles       *roleManager
	scheduling  *schedulingCycle
	schema      *schemaTracker
	storeHealth *storeHealth
	storeLease  *storeLease
	workerReach *workerReach

	cancellationNotices []cancellationNotice
}

func newPeerMessenger(env *environment, budget *writeBudget, cache *watchCache, cluster *clusterState, instances *instanceList,
	lending *machineLending, peers *peerTracker, roles *roleManager, scheduling *schedulingCycle, schema *schemaTracker,
	health *storeHealth, lease *storeLease, reach *workerReach) *peerMessenger {
	return &peerMessenger{environment: env, budget: budget, cache: cache, cluster: cluster, instances: instances, lending: lending,
		peers: peers, roles: roles, scheduling: scheduling, schema: schema, storeHealth: health, storeLease: lease, workerReach: reach}
}

// broadcastHeartbeat tells the other controllers how we are and what we want.
func (m *peerMessenger) broadcastHeartbeat() {
	if m.now < m.peers.nextHeartbeatAt {
		return
	}
	m.peers.nextHeartbeatAt = m.now + micros.Second
	able := m.cache.synced && !m.roles.stopping && !m.workerReach.isolatedFromWorkers && m.now >= m.workerReach.noFailoverBefore && (m.storeHealth.unavailableSince == 0 || m.now < m.storeHealth.unavailableSince+micros.Second) && m.storeLease.lease.ID != 0
	writeRate := m.budget.measureWriteRate()
	found := m.instances.currentFindings()
	m.emit(Broadcast{Heartbeat: &peer.Heartbeat{WriteRate: max(0.01, writeRate), Node: m.settings.Node, Healthy: able, IdleMachines: m.lending.idleOffers(), MachineRequests: m.scheduling.machineRequests,
		CancelledJobs: m.pendingNotices(), SchemaVersion: SchemaVersion, Stopping: m.roles.stopping,
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

func (m *peerMessenger) notifyCancelled(id string) {
	if len(m.cancellationNotices) < maxTold {
		m.cancellationNotices = append(m.cancellationNotices, cancellationNotice{job: id, confirmedAt: m.now})
	}
	m.peers.nextHeartbeatAt = min(m.peers.nextHeartbeatAt, m.now)
}

func (m *peerMessenger) pendingNotices() []string {
	m.cancellationNotices = slices.DeleteFunc(m.cancellationNotices, func(t cancellationNotice) bool { return m.now > t.confirmedAt+noticeDuration })
	var ids []string
	for _, t := range m.cancellationNotices {
		ids = append(ids, t.job)
	}
	return ids
}

// handlePeerHeartbeat acts on what another controller says and asks for.
func (m *peerMessenger) handlePeerHeartbeat(h *peer.Heartbeat) {
	if !slices.Contains(m.settings.Nodes, h.Node) || h.Node == m.settings.Node {
		return
	}
	m.peers.observePeer(h)
	m.schema.observeSchema(h.Node, h.SchemaVersion)
	for _, id := range h.CancelledJobs {
		if j := m.cluster.jobs[id]; j != nil && !j.terminal && !j.mustNotRun() {
			m.logInfo("cancelled, says another controller", "job", id, "by", h.Node)
			j.cancelledElsewhere = true
			m.cluster.requestJobStop(j)
		}
	}
	if m.cache.synced {
		m.lending.handleMachineRequests(h.MachineRequests)
		m.instances.applyPeerFindings(h)
	}
}
