package core

import "spurmoor/internal/micros"

// isolationGuard gives our roles up when no worker reaches this controller, and finds
// out when one does again.
type isolationGuard struct {
	*environment
	cluster     *clusterState
	peers       *peerTracker
	roles       *roleManager
	workerReach *workerReach

	unreachedSince micros.Micros // 0: workers reach us
	nextProbeAt    micros.Micros
	nextProbeIndex int // in the machines by name
}

func newIsolationGuard(env *environment, cluster *clusterState, peers *peerTracker, roles *roleManager, reach *workerReach) *isolationGuard {
	return &isolationGuard{environment: env, cluster: cluster, peers: peers, roles: roles, workerReach: reach}
}

// resignIfIsolated gives our partitions up when no worker reaches us, whatever its machine's
// part, although another controller is well: the cut may be ours alone. The
// more machines we have the sooner it is certain. Judged by each machine's own
// silence, a controller that was cut off went on borrowing machines, each of
// which counted as heard, until the tasks on all of its own had run out of lease.
func (g *isolationGuard) resignIfIsolated(up int) {
	quiet := g.now
	for _, p := range g.cluster.partitions {
		if p.Leads() {
			quiet = min(quiet, g.now-max(g.workerReach.lastWorkerContactAt, p.AcquiredAt))
		}
	}
	enough := g.settings.silenceTimeout() * 2 / 3
	if up >= 2 {
		enough = min(enough, max(5*micros.Second, 20*micros.FromSeconds(g.settings.Deployment.Workers.ReportS)/micros.Micros(up)))
	}
	if up < 2 || quiet < enough {
		g.unreachedSince = 0
		return
	}
	if g.unreachedSince == 0 {
		g.unreachedSince = g.now
	}
	if g.now < g.unreachedSince+2*micros.Second || !g.peers.healthyPeerKnown() || g.now < g.workerReach.noFailoverBefore {
		return
	}
	g.unreachedSince = 0
	g.workerReach.isolate()
	for _, h := range g.roles.all {
		if h.Leads() {
			g.roles.resignRole(h, "no worker reaches this controller")
		}
	}
}

// probeWorkers asks a few workers, after no worker reached us, whether one does again:
// none comes by itself to a controller that holds no part. Handed back after a
// set time, the partitions went without answers for as long again.
func (g *isolationGuard) probeWorkers() {
	if !g.workerReach.isolatedFromWorkers || g.now < g.nextProbeAt {
		return
	}
	g.nextProbeAt = g.now + 2*micros.Second
	sent := 0
	for i := range g.cluster.machinesByName {
		m := g.cluster.machinesByName[(g.nextProbeIndex+i)%len(g.cluster.machinesByName)]
		if m.address == "" || m.record.Condemned {
			continue
		}
		g.emit(probeCommand(m.name, m.address, max(1, m.incarnation)))
		if sent++; sent == 3 {
			g.nextProbeIndex += i + 1
			break
		}
	}
	if sent == 0 {
		g.workerReach.endIsolation()
	}
}
