package coordination

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// newTestManager returns a role manager with a valid lease.
func newTestManager(t *testing.T) *RoleManager {
	t.Helper()
	env := newTestEnvironment(t)
	cache, _ := newSyncedCache(env)
	health, budget, audit, reach := NewStoreHealth(env), NewWriteBudget(env), NewOrderAudit(env), NewWorkerReach(env)
	peers := NewPeerTracker(env, health)
	schema := NewSchemaTracker(env, budget, cache, peers)
	lease := NewStoreLease(env, cache, peers)
	lease.Lease.ID, lease.Lease.RenewalSentAt = 5, env.Now
	return NewRoleManager(env, audit, cache, peers, schema, lease, NewTransactionSender(env, cache), reach)
}

// TestFailoverRank guards the order in which controllers acquire a vacant role: from
// its default leader on, without those that are stopping.
func TestFailoverRank(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		role     leadership.Role
		node     string
		stopping string
		want     int
	}{
		{"the default leader", leadership.PartitionRole(1), "ctl-b", "", 0},
		{"the next", leadership.PartitionRole(1), "ctl-c", "", 1},
		{"the last", leadership.PartitionRole(1), "ctl-a", "", 2},
		{"one before it is stopping", leadership.PartitionRole(1), "ctl-a", "ctl-b", 1},
		{"a later one is stopping", leadership.PartitionRole(0), "ctl-a", "ctl-b", 0},
		{"fleet roles follow the partitions", leadership.Role{Kind: leadership.InstanceSweeper}, "ctl-b", "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			manager := newTestManager(t)
			if tc.stopping != "" {
				manager.peers.ByNode[tc.stopping] = &peerStatus{stopping: true, LastHeartbeatAt: manager.Now}
			}
			if got := manager.failoverRank(tc.role, tc.node); got != tc.want {
				t.Errorf("rank %d, want %d", got, tc.want)
			}
			manager.Now += stoppingPeerTimeout + 1
			if tc.name == "one before it is stopping" && manager.failoverRank(tc.role, tc.node) != tc.want+1 {
				t.Error("a controller that said long ago that it stops is no candidate")
			}
		})
	}
}

// TestIsVacant guards against two controllers that acquire a role at the same time, and
// against a role whose leader's lease may still be valid.
func TestIsVacant(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name  string
		state leadership.RoleState
		after micros.Micros
		want  bool
	}{
		{"led by another", leadership.RoleState{Term: 3, Claim: leadership.Claim{Node: "ctl-b"}}, 3600 * micros.Second, false},
		{"claimed by an earlier incarnation of ours", leadership.RoleState{Term: 3, Claim: leadership.Claim{Node: "ctl-a"}}, 0, true},
		{"before our turn", leadership.RoleState{Role: leadership.PartitionRole(1)}, 2*failoverStep - 1, false},
		{"our turn", leadership.RoleState{Role: leadership.PartitionRole(1)}, 2 * failoverStep, true},
		{"ours by default", leadership.RoleState{Role: leadership.PartitionRole(0)}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			manager := newTestManager(t)
			tc.state.VacantAt = manager.Now
			manager.Now += tc.after
			if got := manager.IsVacant(&tc.state); got != tc.want {
				t.Errorf("vacant %t, want %t", got, tc.want)
			}
		})
	}
}

// TestMayAcquireRoles guards against a controller that acquires roles with a lease that
// is about to expire, or while no worker reaches it.
func TestMayAcquireRoles(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(manager *RoleManager)
		want   bool
	}{
		{"healthy", func(*RoleManager) {}, true},
		{"no lease", func(m *RoleManager) { m.storeLease.Lease.ID = 0 }, false},
		{"half the lease is over", func(m *RoleManager) { m.Now += m.Settings.LeaseTTL() / 2 }, false},
		{"no worker reaches us", func(m *RoleManager) { m.workerReach.Isolate() }, false},
		{"no worker reached us a while ago, and nobody else is healthy", func(m *RoleManager) {
			m.workerReach.IsolatedFromWorkers = true
		}, true},
		{"no worker reached us a while ago, and another is healthy", func(m *RoleManager) {
			m.workerReach.IsolatedFromWorkers = true
			m.peers.ByNode["ctl-b"] = &peerStatus{healthy: true, LastHeartbeatAt: m.Now}
		}, false},
	} {
		manager := newTestManager(t)
		tc.change(manager)
		if got := manager.mayAcquireRoles(); got != tc.want {
			t.Errorf("%s: may acquire %t, want %t", tc.name, got, tc.want)
		}
	}
}
