package core

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"
)

// peerHeartbeatInterval is how often heartbeats are sent to the other controllers.
const peerHeartbeatInterval = micros.Second

// unhealthyTimeout is how long the store must not answer before a controller tells the
// others that it is not healthy.
const unhealthyTimeout = micros.Second

// minWriteRate is the least write rate that is told to others, in writes per second: it is
// above zero, for the zero of a version that does not tell its rate means that it is unknown.
const minWriteRate = 0.01

// Cancellations are told to the other controllers for a few seconds: the leader of the
// job's partition may not reach the store, and its tasks then end sooner. Nothing depends
// on it: an unknown or lost one takes effect within the answer window and a worker's lease.
const (
	noticeDuration = 5 * micros.Second
	// maxCancellationNotices bounds them, so that a heartbeat fits into a message.
	maxCancellationNotices = 400
)

// peerMessenger sends heartbeats to the other controllers and acts on theirs.
type peerMessenger struct {
	*coordination.Environment
	budget      *coordination.WriteBudget
	cache       *coordination.WatchCache
	cluster     *cluster.State
	instances   *provisioning.InstanceList
	lending     *planning.MachineLender
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	scheduling  *planning.SchedulingCycle
	schema      *coordination.SchemaTracker
	storeHealth *coordination.StoreHealth
	storeLease  *coordination.StoreLease
	workerReach *coordination.WorkerReach

	cancellationNotices []cancellationNotice
}

func newPeerMessenger(
	env *coordination.Environment,
	budget *coordination.WriteBudget,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	instances *provisioning.InstanceList,
	lending *planning.MachineLender,
	peers *coordination.PeerTracker,
	roles *coordination.RoleManager,
	scheduling *planning.SchedulingCycle,
	schema *coordination.SchemaTracker,
	health *coordination.StoreHealth,
	lease *coordination.StoreLease,
	reach *coordination.WorkerReach,
) *peerMessenger {
	return &peerMessenger{
		Environment: env, budget: budget, cache: cache, cluster: cluster, instances: instances, lending: lending,
		peers: peers, roles: roles, scheduling: scheduling, schema: schema, storeHealth: health, storeLease: lease,
		workerReach: reach,
	}
}

// cancellationNotice is a cancellation that was confirmed to its user here.
type cancellationNotice struct {
	job         string
	confirmedAt micros.Micros
}

// broadcastHeartbeat tells the other controllers, when it is due, how this one is and what
// it wants.
func (m *peerMessenger) broadcastHeartbeat() {
	if m.Now < m.peers.NextHeartbeatAt {
		return
	}
	m.peers.NextHeartbeatAt = m.Now + peerHeartbeatInterval
	writeRate := m.budget.MeasureWriteRate()
	findings := m.instances.CurrentFindings()
	m.Emit(message.Broadcast{Heartbeat: &peer.Heartbeat{
		WriteRate:       max(minWriteRate, writeRate),
		Node:            m.Settings.Node,
		Healthy:         m.isHealthy(),
		IdleMachines:    m.lending.IdleOffers(),
		MachineRequests: m.scheduling.MachineRequests,
		CancelledJobs:   m.currentNotices(),
		SchemaVersion:   records.SchemaVersion,
		Stopping:        m.roles.Stopping,
		Failed:          provisioning.FindingNames(findings.Failed),
		Unlisted:        provisioning.FindingNames(findings.Unlisted),
		Orphans:         provisioning.FindingOrphans(findings.Orphans),
	}})
}

// isHealthy tells whether this controller could lead partitions.
func (m *peerMessenger) isHealthy() bool {
	if !m.cache.Synced || m.roles.Stopping || m.storeLease.Lease.ID == 0 {
		return false
	}
	if m.workerReach.IsolatedFromWorkers || m.Now < m.workerReach.NoFailoverBefore {
		return false
	}
	since := m.storeHealth.UnavailableSince
	return since == 0 || m.Now < since+unhealthyTimeout
}

// notifyCancelled has the other controllers notified at once that a user was told that
// a job is cancelled.
func (m *peerMessenger) notifyCancelled(id string) {
	if len(m.cancellationNotices) < maxCancellationNotices {
		m.cancellationNotices = append(m.cancellationNotices, cancellationNotice{job: id, confirmedAt: m.Now})
	}
	m.peers.NextHeartbeatAt = min(m.peers.NextHeartbeatAt, m.Now)
}

// currentNotices lists the jobs whose cancellations are still told, and forgets the others.
func (m *peerMessenger) currentNotices() []string {
	m.cancellationNotices = slices.DeleteFunc(m.cancellationNotices, func(notice cancellationNotice) bool {
		return m.Now > notice.confirmedAt+noticeDuration
	})
	var ids []string
	for _, notice := range m.cancellationNotices {
		ids = append(ids, notice.job)
	}
	return ids
}

// handlePeerHeartbeat acts on what another controller says and asks for.
func (m *peerMessenger) handlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	if !slices.Contains(m.Settings.Nodes, heartbeat.Node) || heartbeat.Node == m.Settings.Node {
		return
	}
	m.peers.ObservePeer(heartbeat)
	m.schema.ObserveSchema(heartbeat.Node, heartbeat.SchemaVersion)
	for _, id := range heartbeat.CancelledJobs {
		m.observeCancellation(id, heartbeat.Node)
	}
	if m.cache.Synced {
		m.lending.HandleMachineRequests(heartbeat.MachineRequests)
		m.instances.ApplyPeerFindings(heartbeat)
	}
}

// observeCancellation takes in that another controller told a user that a job is cancelled.
func (m *peerMessenger) observeCancellation(id, node string) {
	job := m.cluster.Jobs[id]
	if job == nil || job.Terminal || job.MustNotRun() {
		return
	}
	m.LogInfo("job cancelled, notified by a peer", logkey.Job, id, logkey.Peer, node)
	job.CancelledElsewhere = true
	m.cluster.RequestJobStop(job)
}
