package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
)

// reconciler answers workers' heartbeats and direct answers, and reconciles what they
// say with what is recorded.
type reconciler struct {
	*coordination.Environment
	boots       *cluster.BootStatistics
	cache       *coordination.WatchCache
	cluster     *cluster.State
	instances   *provisioning.InstanceList
	manager     *planning.MachineManager
	storeLease  *coordination.StoreLease
	tasks       *cluster.TaskLifecycle
	trigger     *cluster.CycleTrigger
	workerReach *coordination.WorkerReach
}

func newReconciler(env *coordination.Environment, boots *cluster.BootStatistics, cache *coordination.WatchCache, cluster *cluster.State, instances *provisioning.InstanceList,
	manager *planning.MachineManager, lease *coordination.StoreLease, tasks *cluster.TaskLifecycle, trigger *cluster.CycleTrigger, reach *coordination.WorkerReach) *reconciler {
	return &reconciler{Environment: env, boots: boots, cache: cache, cluster: cluster, instances: instances, manager: manager,
		storeLease: lease, tasks: tasks, trigger: trigger, workerReach: reach}
}

// handleWorkerHeartbeat answers a worker. Only the holder of the machine's partition, within its
// answer deadline, answers 200: that keeps the worker's tasks alive.
func (c *reconciler) handleWorkerHeartbeat(v message.WorkerHeartbeat) {
	r := v.Heartbeat
	c.workerReach.ObserveWorkerContact()
	if !c.cache.Synced {
		c.Refuse(v.RequestID, 503, "the state service has not been read yet", 1)
		return
	}
	m := c.cluster.Machines[r.Machine]
	if m == nil {
		c.instances.ObserveUnknownWorker(r)
		c.Answer(v.RequestID, 421, api.Redirect{})
		return
	}
	if m.Record.Type != r.Type || m.Record.Zone != r.Zone || m.Record.Spot != r.Spot {
		c.Refuse(v.RequestID, 400, "not the machine that was rented", 0)
		return
	}
	if m.Address == "" || m.IsNewer(r) {
		m.Address = r.Address
	}
	if p := c.cluster.LedPartition(m); p == nil || !c.storeLease.MayAnswerFor(p.RoleState) {
		c.Answer(v.RequestID, 421, api.Redirect{To: c.otherLeader(m)})
		return
	}
	if why := c.refusalReason(m, r); why != "" {
		c.Refuse(v.RequestID, 503, why, 1)
		return
	}
	m.LastHeartbeatAt = c.Now
	commands := c.reconcileHeartbeat(m, r, true)
	m.LeaseExpiresAt = max(m.LeaseExpiresAt, c.Now+c.Settings.WorkerLease()+micros.Second/2)
	body := api.HeartbeatResponse{FencingToken: c.cluster.FencingToken(m), Commands: commands}
	c.Answer(v.RequestID, 200, leadership.NewOrder(c.storeLease.CommandGrant(c.cluster.Partitions[m.Record.Partition].RoleState), body))
}

// otherLeader names the other controller that holds a machine's partition; "" if
// none is known. Only a controller that has the state service names one: two that
// had lost it sent workers to each other, by what each knew last, until the leases
// of seven hundred machines had run out.
func (c *reconciler) otherLeader(m *cluster.Machine) string {
	known := m.Record.Partition >= 0 && m.Record.Partition < len(c.cluster.Partitions) && c.cluster.Partitions[m.Record.Partition].Term > 0
	if !known || c.cluster.LedPartition(m) != nil || !c.storeLease.LeaseValid() {
		return ""
	}
	if node := c.cluster.Partitions[m.Record.Partition].Claim.Node; node != c.Settings.Node {
		return node
	}
	return ""
}

// refusalReason says why a report of a machine of ours must not be answered 200;
// "" if it may be.
func (c *reconciler) refusalReason(m *cluster.Machine, r *api.Heartbeat) string {
	switch {
	case c.mustLetLeaseExpire(m):
		return "a cancelled task may still start there"
	case r.FencingToken > c.cluster.FencingToken(m):
		// Someone was entitled after us: our replica is behind.
		c.cache.ReadLatest(func(bool) {})
		return "not entitled"
	case !m.IsNewer(r):
		return "a newer report was seen"
	}
	return ""
}

// mustLetLeaseExpire tells whether a machine is to lose its lease for a job that was
// cancelled an answer deadline ago: a direct start of it there had no answer and is not
// ruled out by a higher token, for that needs the state service. Everything else
// that must stop is told with each answer that renews the lease.
func (c *reconciler) mustLetLeaseExpire(m *cluster.Machine) bool {
	for _, id := range m.TaskIDs {
		j := c.cluster.Jobs[id.Job]
		if t := j.Task(id.Index); j.MustNotRun() && !t.Observed && t.DirectStartToken >= c.cluster.FencingToken(m) && t.DirectStartToken > 0 && c.Now > j.StopRequiredSince+c.Settings.AnswerWindow() {
			return true
		}
	}
	return false
}

// handleCommandReply takes in the answer to commands sent directly.
func (c *reconciler) handleCommandReply(v message.CommandReply) {
	if v.Status != 0 {
		c.workerReach.ObserveWorkerReply()
	}
	answered := v.Status == 200 || v.Status == 409
	m := c.cluster.Machines[v.Machine]
	if m == nil {
		if r := v.Heartbeat; r != nil && r.Machine == v.Machine && answered {
			c.instances.AdoptOrphan(peer.Orphan{Machine: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot}, "reported")
		}
		return
	}
	m.CommandInFlight = false
	if v.Unsent {
		m.NextCommandAt = c.Now + micros.Second/5
	}
	if c.cluster.LedPartition(m) == nil {
		return
	}
	c.manager.SettleDirectStarts(m, v)
	if v.Heartbeat == nil || v.Heartbeat.Machine != m.Name || !answered || !m.IsNewer(v.Heartbeat) {
		return
	}
	if v.Status == 409 {
		// Its session was not known to us: again with the right one.
		c.observeIncarnation(m, v.Heartbeat.Incarnation)
		m.NextCommandAt = c.Now
		return
	}
	if v.Heartbeat.FencingToken <= c.cluster.FencingToken(m) {
		c.reconcileHeartbeat(m, v.Heartbeat, false)
	}
}
