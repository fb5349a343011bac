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

// peerHeartbeatInterval is the interval between heartbeats to the other controllers.
const peerHeartbeatInterval = micros.Second

// healthStoreTimeout is how long the store must be unavailable before a controller tells the
// others that it is not healthy.
const healthStoreTimeout = micros.Second

// minWriteRate is the lowest write rate that a heartbeat reports, in writes per second. It is
// above zero because zero means an unknown rate: versions without this field send zero.
const minWriteRate = 0.01

// Heartbeats announce a cancellation to the other controllers for a few seconds. If the leader
// of the job's partition does not reach the store, the announcement lets it stop the job's
// tasks sooner. This is only an optimization: if the announcement is lost, the cancellation
// takes effect within the answer window plus a worker's lease.
const (
	cancellationNoticeDuration = 5 * micros.Second
	// maxCancellationNotices bounds the announced cancellations, so that a heartbeat fits
	// into a message.
	maxCancellationNotices = 400
)

// peerMessenger sends heartbeats to the other controllers and handles theirs.
type peerMessenger struct {
	*coordination.Environment
	budget          *coordination.WriteBudget
	cache           *coordination.WatchCache
	cluster         *cluster.State
	instances       *provisioning.InstanceList
	lender          *planning.MachineLender
	peers           *coordination.PeerTracker
	roles           *coordination.RoleManager
	schedulingCycle *planning.SchedulingCycle
	schema          *coordination.SchemaTracker
	storeHealth     *coordination.StoreHealth
	storeLease      *coordination.StoreLease
	reachability    *coordination.WorkerReachability

	cancellationNotices []cancellationNotice
}

func newPeerMessenger(
	env *coordination.Environment,
	budget *coordination.WriteBudget,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	instances *provisioning.InstanceList,
	lender *planning.MachineLender,
	peers *coordination.PeerTracker,
	roles *coordination.RoleManager,
	schedulingCycle *planning.SchedulingCycle,
	schema *coordination.SchemaTracker,
	health *coordination.StoreHealth,
	lease *coordination.StoreLease,
	reachability *coordination.WorkerReachability,
) *peerMessenger {
	return &peerMessenger{
		Environment: env, budget: budget, cache: cache, cluster: cluster, instances: instances, lender: lender,
		peers: peers, roles: roles, schedulingCycle: schedulingCycle, schema: schema, storeHealth: health, storeLease: lease,
		reachability: reachability,
	}
}

// cancellationNotice is a cancellation that this controller confirmed to a user.
type cancellationNotice struct {
	jobID       string
	confirmedAt micros.Micros
}

// broadcastHeartbeat sends the other controllers a heartbeat, if one is due. It reports this
// controller's health and findings, and requests and offers machines.
func (m *peerMessenger) broadcastHeartbeat() {
	if m.Now < m.peers.NextHeartbeatAt {
		return
	}
	m.peers.NextHeartbeatAt = m.Now + peerHeartbeatInterval
	writeRate := m.budget.MeasureWriteRate()
	findings := m.instances.CurrentFindings()
	m.Emit(message.Broadcast{Heartbeat: &peer.Heartbeat{
		WriteRate:        max(minWriteRate, writeRate),
		Node:             m.Settings.Node,
		Healthy:          m.isHealthy(),
		IdleMachines:     m.lender.IdleOffers(),
		MachineRequests:  m.schedulingCycle.MachineRequests,
		CancelledJobs:    m.currentCancellationNotices(),
		SchemaVersion:    records.SchemaVersion,
		Stopping:         m.roles.Stopping,
		FailedMachines:   provisioning.FindingNames(findings.Failed),
		UnlistedMachines: provisioning.FindingNames(findings.Unlisted),
		Orphans:          provisioning.FindingOrphans(findings.Orphans),
	}})
}

// isHealthy reports whether this controller is able to acquire partitions. Its replica must be
// synchronized and it must have a lease. It must not be stopping, and must not have lost its
// contact with the workers or the store.
func (m *peerMessenger) isHealthy() bool {
	if !m.cache.Synced || m.roles.Stopping || m.storeLease.Lease.ID == 0 {
		return false
	}
	if m.reachability.Isolated || m.Now < m.reachability.NoAcquisitionBefore {
		return false
	}
	since := m.storeHealth.UnavailableSince
	return since == 0 || m.Now < since+healthStoreTimeout
}

// announceCancellation announces to the other controllers that this controller confirmed a
// job's cancellation to a user. The next heartbeat becomes due now. A cancellation beyond
// maxCancellationNotices is not announced.
func (m *peerMessenger) announceCancellation(id string) {
	if len(m.cancellationNotices) < maxCancellationNotices {
		m.cancellationNotices = append(m.cancellationNotices, cancellationNotice{jobID: id, confirmedAt: m.Now})
	}
	m.peers.NextHeartbeatAt = min(m.peers.NextHeartbeatAt, m.Now)
}

// currentCancellationNotices returns the IDs of jobs whose cancellations are still announced,
// and removes the expired notices.
func (m *peerMessenger) currentCancellationNotices() []string {
	m.cancellationNotices = slices.DeleteFunc(m.cancellationNotices, func(notice cancellationNotice) bool {
		return m.Now > notice.confirmedAt+cancellationNoticeDuration
	})
	var ids []string
	for _, notice := range m.cancellationNotices {
		ids = append(ids, notice.jobID)
	}
	return ids
}

// handlePeerHeartbeat handles a heartbeat of another controller.
func (m *peerMessenger) handlePeerHeartbeat(heartbeat *peer.Heartbeat) {
	if !slices.Contains(m.Settings.Nodes, heartbeat.Node) || heartbeat.Node == m.Settings.Node {
		return
	}
	m.peers.Observe(heartbeat)
	m.schema.Observe(heartbeat.Node, heartbeat.SchemaVersion)
	for _, id := range heartbeat.CancelledJobs {
		m.observeCancellation(id, heartbeat.Node)
	}
	if m.cache.Synced {
		m.lender.HandleMachineRequests(heartbeat.MachineRequests)
		m.instances.ApplyPeerFindings(heartbeat)
	}
}

// observeCancellation handles the notice that another controller confirmed a job's
// cancellation to a user.
func (m *peerMessenger) observeCancellation(id, node string) {
	job := m.cluster.Jobs[id]
	if job == nil || job.Terminal || job.MustNotRun() {
		return
	}
	m.LogInfo("job cancelled, notified by a peer", logkey.Job, id, logkey.Peer, node)
	job.CancelledElsewhere = true
	m.cluster.RequestJobStop(job)
}
