package coordination

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// newTestManager returns the role manager of ctl-a with a valid lease.
func newTestManager(t *testing.T) *RoleManager {
	t.Helper()
	env := newTestEnvironment(t)
	cache, _ := newSyncedCache(env)
	health, budget, refusals, reach := NewStoreHealth(env), NewWriteBudget(env), NewRefusalCounter(env), NewWorkerReachability(env)
	peers := NewPeerTracker(env, health)
	schema := NewSchemaTracker(env, budget, cache, peers)
	lease := NewStoreLease(env, cache, peers)
	lease.Lease.ID, lease.Lease.RenewalSentAt = 5, env.Now
	return NewRoleManager(env, refusals, cache, peers, schema, lease, NewTransactionSender(env, cache), reach)
}

// TestFailoverRank guards against a wrong order in which controllers acquire a vacant role.
// The order begins with the default leader and leaves out stopping controllers.
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
				t.Errorf("got rank %d, want %d", got, tc.want)
			}
			manager.Now += stoppingPeerTimeout + 1
			if tc.name == "one before it is stopping" && manager.failoverRank(tc.role, tc.node) != tc.want+1 {
				t.Errorf("got rank %d long after another controller reported that it is stopping, want %d",
					manager.failoverRank(tc.role, tc.node), tc.want+1)
			}
		})
	}
}

// TestMayAcquire guards against two controllers that acquire a role at the same time, and
// against the acquisition of a role whose leader's lease may still be valid.
func TestMayAcquire(t *testing.T) {
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
			if got := manager.MayAcquire(&tc.state); got != tc.want {
				t.Errorf("got may acquire %t, want %t", got, tc.want)
			}
		})
	}
}

// TestIsEligibleLeader guards against a controller that acquires roles although its lease
// is about to expire or no worker reaches it.
func TestIsEligibleLeader(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(manager *RoleManager)
		want   bool
	}{
		{"healthy", func(*RoleManager) {}, true},
		{"no lease", func(m *RoleManager) { m.storeLease.Lease.ID = 0 }, false},
		{"half the lease is over", func(m *RoleManager) { m.Now += m.Settings.LeaseTTL() / 2 }, false},
		{"no worker reaches us", func(m *RoleManager) { m.reachability.MarkIsolated() }, false},
		{"no worker reached us a while ago, and nobody else is healthy", func(m *RoleManager) {
			m.reachability.Isolated = true
		}, true},
		{"no worker reached us a while ago, and another is healthy", func(m *RoleManager) {
			m.reachability.Isolated = true
			m.peers.ByNode["ctl-b"] = &peerStatus{healthy: true, LastHeartbeatAt: m.Now}
		}, false},
	} {
		manager := newTestManager(t)
		tc.change(manager)
		if got := manager.isEligibleLeader(); got != tc.want {
			t.Errorf("%s: got eligible %t, want %t", tc.name, got, tc.want)
		}
	}
}
