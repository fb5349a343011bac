package planning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// IsolationGuard gives our roles up when no worker reaches this controller, and finds
// out when one does again.
type IsolationGuard struct {
	*coordination.Environment
	cluster     *cluster.State
	peers       *coordination.PeerTracker
	roles       *coordination.RoleManager
	workerReach *coordination.WorkerReach

	UnreachedSince micros.Micros // 0: workers reach us
	nextProbeAt    micros.Micros
	nextProbeIndex int // in the machines by name
}

// NewIsolationGuard makes an isolation guard.
func NewIsolationGuard(env *coordination.Environment, cluster *cluster.State, peers *coordination.PeerTracker, roles *coordination.RoleManager, reach *coordination.WorkerReach) *IsolationGuard {
	return &IsolationGuard{Environment: env, cluster: cluster, peers: peers, roles: roles, workerReach: reach}
}

// resignIfIsolated gives our partitions up when no worker reaches us, whatever its machine's
// part, although another controller is well: the cut may be ours alone. The
// more machines we have the sooner it is certain. Judged by each machine's own
// silence, a controller that was cut off went on borrowing machines, each of
// which counted as heard, until the tasks on all of its own had run out of lease.
func (g *IsolationGuard) resignIfIsolated(up int) {
	quiet := g.Now
	for _, p := range g.cluster.Partitions {
		if p.Leads() {
			quiet = min(quiet, g.Now-max(g.workerReach.LastWorkerContactAt, p.AcquiredAt))
		}
	}
	enough := g.Settings.HeartbeatTimeout() * 2 / 3
	if up >= 2 {
		enough = min(enough, max(5*micros.Second, 20*micros.FromSeconds(g.Settings.Deployment.Workers.ReportS)/micros.Micros(up)))
	}
	if up < 2 || quiet < enough {
		g.UnreachedSince = 0
		return
	}
	if g.UnreachedSince == 0 {
		g.UnreachedSince = g.Now
	}
	if g.Now < g.UnreachedSince+2*micros.Second || !g.peers.HealthyPeerKnown() || g.Now < g.workerReach.NoFailoverBefore {
		return
	}
	g.UnreachedSince = 0
	g.workerReach.Isolate()
	for _, h := range g.roles.Roles {
		if h.Leads() {
			g.roles.ResignRole(h, "no worker reaches this controller")
		}
	}
}

// ProbeWorkers asks a few workers, after no worker reached us, whether one does again:
// none comes by itself to a controller that holds no part. Handed back after a
// set time, the partitions went without answers for as long again.
func (g *IsolationGuard) ProbeWorkers() {
	if !g.workerReach.IsolatedFromWorkers || g.Now < g.nextProbeAt {
		return
	}
	g.nextProbeAt = g.Now + 2*micros.Second
	sent := 0
	for i := range g.cluster.MachinesByName {
		m := g.cluster.MachinesByName[(g.nextProbeIndex+i)%len(g.cluster.MachinesByName)]
		if m.Address == "" || m.Record.Condemned {
			continue
		}
		g.Emit(message.ProbeCommand(m.Name, m.Address, max(1, m.Incarnation)))
		if sent++; sent == 3 {
			g.nextProbeIndex += i + 1
			break
		}
	}
	if sent == 0 {
		g.workerReach.EndIsolation()
	}
}
