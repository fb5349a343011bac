package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// IsolationGuard gives our roles up when no worker reaches this controller, and finds out
// when one does again.
type IsolationGuard struct {
	*coordination.Environment
	cluster     *cluster.State
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	workerReach *coordination.WorkerReach

	UnreachedSince micros.Micros // since when no worker reaches us; 0: workers do
	nextProbeAt    micros.Micros
	nextProbeIndex int // where probing goes on in the machines by name; it only grows
}

// NewIsolationGuard makes an isolation guard.
func NewIsolationGuard(
	env *coordination.Environment,
	state *cluster.State,
	peers *coordination.PeerTracker,
	roles *coordination.RoleManager,
	reach *coordination.WorkerReach,
) *IsolationGuard {
	return &IsolationGuard{Environment: env, cluster: state, peers: peers, roles: roles, workerReach: reach}
}

const (
	// A machine, or all of them, that was silent for so much of the time after which a
	// machine is scaled in counts as likely cut off: before the first one is scaled in
	// there is time to find out whether it is us.
	likelyCutOffNumerator   = 2
	likelyCutOffDenominator = 3
	// minMachinesToJudge must be up for their silence to say anything of our own network.
	minMachinesToJudge = 2
	// minIsolationSilence is the least time without any heartbeat that counts.
	minIsolationSilence = 5 * micros.Second
	// missedHeartbeatsOfAll is how many heartbeats of all machines together must be
	// missing.
	missedHeartbeatsOfAll = 20
	// isolationConfirmation is how long no worker may reach us before roles are given up.
	isolationConfirmation = 2 * micros.Second
	// probeInterval is the time between probes, each of probesAtOnce workers.
	probeInterval = 2 * micros.Second
	probesAtOnce  = 3
)

// likelyCutOffSilence is how long something must be silent to count as likely cut off.
func (g *IsolationGuard) likelyCutOffSilence() micros.Micros {
	return g.Settings.HeartbeatTimeout() * likelyCutOffNumerator / likelyCutOffDenominator
}

// resignIfIsolated gives our roles up when no worker of any partition reaches us, although
// another controller is healthy: the cut may be ours alone. machinesUp is how many
// machines of ours sent a heartbeat before. Judged by each machine's own silence, a
// controller that was cut off went on borrowing machines, each of which counted as heard,
// until the leases of the tasks on all of its own had expired.
func (g *IsolationGuard) resignIfIsolated(machinesUp int) {
	if machinesUp < minMachinesToJudge || g.silenceOfAll() < g.isolationSilence(machinesUp) {
		g.UnreachedSince = 0
		return
	}
	if g.UnreachedSince == 0 {
		g.UnreachedSince = g.Now
	}
	confirmed := g.Now >= g.UnreachedSince+isolationConfirmation
	if !confirmed || !g.peers.HealthyPeerKnown() || g.Now < g.workerReach.NoFailoverBefore {
		return
	}
	g.UnreachedSince = 0
	g.workerReach.Isolate()
	for _, role := range g.roles.Roles {
		if role.Leads() {
			g.roles.ResignRole(role, "no worker reaches this controller")
		}
	}
}

// silenceOfAll is how long no worker reached us, counted from the failover to us of the
// partition that we got last.
func (g *IsolationGuard) silenceOfAll() micros.Micros {
	silence := g.Now
	for _, partition := range g.cluster.Partitions {
		if partition.Leads() {
			silence = min(silence, g.Now-max(g.workerReach.LastWorkerContactAt, partition.AcquiredAt))
		}
	}
	return silence
}

// isolationSilence is how long no worker may reach us: the more machines are up, the sooner
// silence is certain. There must be two at least.
func (g *IsolationGuard) isolationSilence(machinesUp int) micros.Micros {
	heartbeatInterval := micros.FromSeconds(g.Settings.Deployment.Workers.ReportS)
	missed := missedHeartbeatsOfAll * heartbeatInterval / micros.Micros(machinesUp)
	return min(g.likelyCutOffSilence(), max(minIsolationSilence, missed))
}

// ProbeWorkers probes a few workers, after no worker reached us, to learn whether one does
// again: none comes by itself to a controller that leads no partition. When the roles were
// given back after a fixed time instead, the partitions went without answers for as long
// again.
func (g *IsolationGuard) ProbeWorkers() {
	if !g.workerReach.IsolatedFromWorkers || g.Now < g.nextProbeAt {
		return
	}
	g.nextProbeAt = g.Now + probeInterval
	machines := g.cluster.MachinesByName
	sent := 0
	for offset := range machines {
		machine := machines[(g.nextProbeIndex+offset)%len(machines)]
		if machine.Address == "" || machine.Record.Condemned {
			continue
		}
		g.Emit(message.ProbeCommand(machine.Name, machine.Address, max(1, machine.Incarnation)))
		sent++
		if sent == probesAtOnce {
			g.nextProbeIndex += offset + 1
			break
		}
	}
	if sent == 0 {
		g.workerReach.EndIsolation()
	}
}
