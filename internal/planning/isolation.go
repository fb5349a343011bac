package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// IsolationMonitor resigns this controller's roles when no worker reaches it, and probes
// workers to find out when one does again.
type IsolationMonitor struct {
	*coordination.Environment
	cluster     *cluster.State
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	workerReach *coordination.WorkerReachability

	NoWorkerContactSince micros.Micros // when it was found that no worker reaches this controller; 0: workers do
	nextProbeAt          micros.Micros
	nextProbeIndex       int // where in the machines by name the next probes start; it only grows
}

// NewIsolationMonitor returns a monitor that has not detected isolation.
func NewIsolationMonitor(
	env *coordination.Environment,
	state *cluster.State,
	peers *coordination.PeerTracker,
	roles *coordination.RoleManager,
	reach *coordination.WorkerReachability,
) *IsolationMonitor {
	return &IsolationMonitor{Environment: env, cluster: state, peers: peers, roles: roles, workerReach: reach}
}

const (
	// A machine, or all machines together, that was silent for this fraction of the
	// heartbeat timeout counts as likely unreachable. A silent machine is scaled in only
	// after the whole timeout, so there is time to find out whether it is this controller
	// that is cut off.
	likelyUnreachableNumerator   = 2
	likelyUnreachableDenominator = 3
	// minMachinesForDetection is how many machines must be up for their silence to say
	// anything about this controller's own network.
	minMachinesForDetection = 2
	// minIsolationTimeout is the shortest time without any heartbeat that counts as
	// isolation.
	minIsolationTimeout = 5 * micros.Second
	// minMissedHeartbeats is how many heartbeats must be missing for isolation, over all
	// machines together.
	minMissedHeartbeats = 20
	// isolationConfirmationTime is how long a detected isolation must last before roles
	// are resigned.
	isolationConfirmationTime = 2 * micros.Second
	// probeInterval is the time between two rounds of probes. Each round probes
	// probesPerRound workers.
	probeInterval  = 2 * micros.Second
	probesPerRound = 3
)

// likelyUnreachableTimeout returns how long a machine, or all machines together, must be
// silent to count as likely unreachable.
func (m *IsolationMonitor) likelyUnreachableTimeout() micros.Micros {
	return m.Settings.HeartbeatTimeout() * likelyUnreachableNumerator / likelyUnreachableDenominator
}

// resignIfIsolated resigns this controller's roles when no worker of any partition
// reaches it although another controller is healthy: this controller may be the only one
// that is cut off. machinesUp is how many of its machines have sent a heartbeat.
//
// The silence of single machines is not enough to detect this. A controller that is cut
// off goes on borrowing machines, each of which counts as heard from, until the leases of
// the tasks on all its own machines have expired.
func (m *IsolationMonitor) resignIfIsolated(machinesUp int) {
	if machinesUp < minMachinesForDetection || m.timeSinceWorkerContact() < m.isolationTimeout(machinesUp) {
		m.NoWorkerContactSince = 0
		return
	}
	if m.NoWorkerContactSince == 0 {
		m.NoWorkerContactSince = m.Now
	}
	confirmed := m.Now >= m.NoWorkerContactSince+isolationConfirmationTime
	if !confirmed || !m.peers.AnyPeerHealthy() || m.Now < m.workerReach.NoAcquisitionBefore {
		return
	}
	m.NoWorkerContactSince = 0
	m.workerReach.MarkIsolated()
	for _, role := range m.roles.Roles {
		if role.Leads() {
			m.roles.Resign(role, "no worker reaches this controller")
		}
	}
}

// timeSinceWorkerContact returns how long no worker has reached this controller, counted
// at the earliest from when it acquired its latest partition.
func (m *IsolationMonitor) timeSinceWorkerContact() micros.Micros {
	elapsed := m.Now
	for _, partition := range m.cluster.Partitions {
		if partition.Leads() {
			elapsed = min(elapsed, m.Now-max(m.workerReach.LastContactAt, partition.AcquiredAt))
		}
	}
	return elapsed
}

// isolationTimeout returns how long no worker may reach this controller until it counts
// as isolated. The more machines are up, the sooner their silence is conclusive. There
// must be at least minMachinesForDetection of them.
func (m *IsolationMonitor) isolationTimeout(machinesUp int) micros.Micros {
	heartbeatInterval := micros.FromSeconds(m.Settings.Deployment.Workers.ReportS)
	missed := minMissedHeartbeats * heartbeatInterval / micros.Micros(machinesUp)
	return min(m.likelyUnreachableTimeout(), max(minIsolationTimeout, missed))
}

// ProbeWorkers probes a few workers while this controller is isolated, to find out when
// one is reachable again: no worker contacts a controller that leads no partition. Taking
// the roles back after a fixed time instead leaves the partitions without answers for as
// long again.
func (m *IsolationMonitor) ProbeWorkers() {
	if !m.workerReach.Isolated || m.Now < m.nextProbeAt {
		return
	}
	m.nextProbeAt = m.Now + probeInterval
	machines := m.cluster.MachinesByName
	sent := 0
	for offset := range machines {
		machine := machines[(m.nextProbeIndex+offset)%len(machines)]
		if machine.Address == "" || machine.Record.MarkedForDeletion {
			continue
		}
		m.Emit(message.NewProbe(machine.Name, machine.Address, max(1, machine.Incarnation)))
		sent++
		if sent == probesPerRound {
			m.nextProbeIndex += offset + 1
			break
		}
	}
	if sent == 0 {
		m.workerReach.ClearIsolated()
	}
}
