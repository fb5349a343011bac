package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
)

// reconciler answers workers' heartbeats and direct answers, and reconciles what they
// say with what is recorded.
type reconciler struct {
	*environment
	boots       *bootStatistics
	cache       *watchCache
	cluster     *clusterState
	instances   *instanceList
	manager     *machineManager
	storeLease  *storeLease
	tasks       *taskLifecycle
	trigger     *cycleTrigger
	workerReach *workerReach
}

func newReconciler(env *environment, boots *bootStatistics, cache *watchCache, cluster *clusterState, instances *instanceList,
	manager *machineManager, lease *storeLease, tasks *taskLifecycle, trigger *cycleTrigger, reach *workerReach) *reconciler {
	return &reconciler{environment: env, boots: boots, cache: cache, cluster: cluster, instances: instances, manager: manager,
		storeLease: lease, tasks: tasks, trigger: trigger, workerReach: reach}
}

// handleWorkerHeartbeat answers a worker. Only the holder of the machine's partition, within its
// answer deadline, answers 200: that keeps the worker's tasks alive.
func (c *reconciler) handleWorkerHeartbeat(v WorkerHeartbeat) {
	r := v.Heartbeat
	c.workerReach.workerContact()
	if !c.cache.synced {
		c.refuse(v.RequestID, 503, "the state service has not been read yet", 1)
		return
	}
	m := c.cluster.machines[r.Machine]
	if m == nil {
		c.instances.observeUnknownWorker(r)
		c.answer(v.RequestID, 421, api.Redirect{})
		return
	}
	if m.record.Type != r.Type || m.record.Zone != r.Zone || m.record.Spot != r.Spot {
		c.refuse(v.RequestID, 400, "not the machine that was rented", 0)
		return
	}
	if m.address == "" || m.isNewer(r) {
		m.address = r.Address
	}
	if p := c.cluster.ledPartition(m); p == nil || !c.storeLease.mayAnswerFor(p.RoleState) {
		c.answer(v.RequestID, 421, api.Redirect{To: c.otherLeader(m)})
		return
	}
	if why := c.refusalReason(m, r); why != "" {
		c.refuse(v.RequestID, 503, why, 1)
		return
	}
	m.lastHeartbeatAt = c.now
	commands := c.reconcileHeartbeat(m, r, true)
	m.leaseExpiresAt = max(m.leaseExpiresAt, c.now+c.settings.workerLease()+micros.Second/2)
	body := api.HeartbeatResponse{FencingToken: c.cluster.fencingToken(m), Commands: commands}
	c.answer(v.RequestID, 200, leadership.NewOrder(c.storeLease.commandGrant(c.cluster.partitions[m.record.Partition].RoleState), body))
}

// otherLeader names the other controller that holds a machine's partition; "" if
// none is known. Only a controller that has the state service names one: two that
// had lost it sent workers to each other, by what each knew last, until the leases
// of seven hundred machines had run out.
func (c *reconciler) otherLeader(m *machine) string {
	known := m.record.Partition >= 0 && m.record.Partition < len(c.cluster.partitions) && c.cluster.partitions[m.record.Partition].Term > 0
	if !known || c.cluster.ledPartition(m) != nil || !c.storeLease.leaseValid() {
		return ""
	}
	if node := c.cluster.partitions[m.record.Partition].Claim.Node; node != c.settings.Node {
		return node
	}
	return ""
}

// refusalReason says why a report of a machine of ours must not be answered 200;
// "" if it may be.
func (c *reconciler) refusalReason(m *machine, r *api.Heartbeat) string {
	switch {
	case c.mustLetLeaseExpire(m):
		return "a cancelled task may still start there"
	case r.FencingToken > c.cluster.fencingToken(m):
		// Someone was entitled after us: our replica is behind.
		c.cache.readLatest(func(bool) {})
		return "not entitled"
	case !m.isNewer(r):
		return "a newer report was seen"
	}
	return ""
}

// mustLetLeaseExpire tells whether a machine is to lose its lease for a job that was
// cancelled an answer deadline ago: a direct start of it there had no answer and is not
// ruled out by a higher token, for that needs the state service. Everything else
// that must stop is told with each answer that renews the lease.
func (c *reconciler) mustLetLeaseExpire(m *machine) bool {
	for _, id := range m.taskIDs {
		j := c.cluster.jobs[id.job]
		if t := j.task(id.index); j.mustNotRun() && !t.observed && t.directStartToken >= c.cluster.fencingToken(m) && t.directStartToken > 0 && c.now > j.stopRequiredSince+c.settings.answerWindow() {
			return true
		}
	}
	return false
}

// handleCommandReply takes in the answer to commands sent directly.
func (c *reconciler) handleCommandReply(v CommandReply) {
	if v.Status != 0 {
		c.workerReach.workerAnswered()
	}
	answered := v.Status == 200 || v.Status == 409
	m := c.cluster.machines[v.Machine]
	if m == nil {
		if r := v.Heartbeat; r != nil && r.Machine == v.Machine && answered {
			c.instances.adoptOrphan(peer.Orphan{Machine: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, "reported")
		}
		return
	}
	m.commandInFlight = false
	if v.Unsent {
		m.nextCommandAt = c.now + micros.Second/5
	}
	if c.cluster.ledPartition(m) == nil {
		return
	}
	c.manager.settleDirectStarts(m, v)
	if v.Heartbeat == nil || v.Heartbeat.Machine != m.name || !answered || !m.isNewer(v.Heartbeat) {
		return
	}
	if v.Status == 409 {
		// Its session was not known to us: again with the right one.
		c.observeIncarnation(m, v.Heartbeat.Incarnation)
		m.nextCommandAt = c.now
		return
	}
	if v.Heartbeat.FencingToken <= c.cluster.fencingToken(m) {
		c.reconcileHeartbeat(m, v.Heartbeat, false)
	}
}
