package core

import (
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"

	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// peerMessenger sends heartbeats to the other controllers and acts on theirs.
type peerMessenger struct {
	*coordination.Environment
	budget      *coordination.WriteBudget
	cache       *coordination.WatchCache
	cluster     *cluster.State
	instances   *provisioning.InstanceList
	lending     *planning.MachineLending
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	scheduling  *planning.SchedulingCycle
	schema      *coordination.SchemaTracker
	storeHealth *coordination.StoreHealth
	storeLease  *coordination.StoreLease
	workerReach *coordination.WorkerReach

	cancellationNotices []cancellationNotice
}

func newPeerMessenger(env *coordination.Environment, budget *coordination.WriteBudget, cache *coordination.WatchCache, cluster *cluster.State, instances *provisioning.InstanceList,
	lending *planning.MachineLending, peers *coordination.PeerTracker, roles *coordination.RoleManager, scheduling *planning.SchedulingCycle, schema *coordination.SchemaTracker,
	health *coordination.StoreHealth, lease *coordination.StoreLease, reach *coordination.WorkerReach) *peerMessenger {
	return &peerMessenger{Environment: env, budget: budget, cache: cache, cluster: cluster, instances: instances, lending: lending,
		peers: peers, roles: roles, scheduling: scheduling, schema: schema, storeHealth: health, storeLease: lease, workerReach: reach}
}

// broadcastHeartbeat tells the other controllers how we are and what we want.
func (m *peerMessenger) broadcastHeartbeat() {
	if m.Now < m.peers.NextHeartbeatAt {
		return
	}
	m.peers.NextHeartbeatAt = m.Now + micros.Second
	able := m.cache.Synced && !m.roles.Stopping && !m.workerReach.IsolatedFromWorkers && m.Now >= m.workerReach.NoFailoverBefore && (m.storeHealth.UnavailableSince == 0 || m.Now < m.storeHealth.UnavailableSince+micros.Second) && m.storeLease.Lease.ID != 0
	writeRate := m.budget.MeasureWriteRate()
	found := m.instances.CurrentFindings()
	m.Emit(message.Broadcast{Heartbeat: &peer.Heartbeat{WriteRate: max(0.01, writeRate), Node: m.Settings.Node, Healthy: able, IdleMachines: m.lending.IdleOffers(), MachineRequests: m.scheduling.MachineRequests,
		CancelledJobs: m.pendingNotices(), SchemaVersion: records.SchemaVersion, Stopping: m.roles.Stopping,
		Failed: provisioning.FindingNames(found.Failed), Unlisted: provisioning.FindingNames(found.Unlisted), Orphans: provisioning.FindingOrphans(found.Orphans)}})
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
		m.cancellationNotices = append(m.cancellationNotices, cancellationNotice{job: id, confirmedAt: m.Now})
	}
	m.peers.NextHeartbeatAt = min(m.peers.NextHeartbeatAt, m.Now)
}

func (m *peerMessenger) pendingNotices() []string {
	m.cancellationNotices = slices.DeleteFunc(m.cancellationNotices, func(t cancellationNotice) bool { return m.Now > t.confirmedAt+noticeDuration })
	var ids []string
	for _, t := range m.cancellationNotices {
		ids = append(ids, t.job)
	}
	return ids
}

// handlePeerHeartbeat acts on what another controller says and asks for.
func (m *peerMessenger) handlePeerHeartbeat(h *peer.Heartbeat) {
	if !slices.Contains(m.Settings.Nodes, h.Node) || h.Node == m.Settings.Node {
		return
	}
	m.peers.ObservePeer(h)
	m.schema.ObserveSchema(h.Node, h.SchemaVersion)
	for _, id := range h.CancelledJobs {
		if j := m.cluster.Jobs[id]; j != nil && !j.Terminal && !j.MustNotRun() {
			m.LogInfo("job cancelled, notified by a peer", logkey.Job, id, logkey.Peer, h.Node)
			j.CancelledElsewhere = true
			m.cluster.RequestJobStop(j)
		}
	}
	if m.cache.Synced {
		m.lending.HandleMachineRequests(h.MachineRequests)
		m.instances.ApplyPeerFindings(h)
	}
}
