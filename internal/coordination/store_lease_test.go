package coordination

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// TestRenewLease guards against a lease that counts from the reply to its renewal: the
// store may have received the renewal as soon as it was sent.
func TestRenewLease(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	lease, env := manager.storeLease, manager.Environment
	lease.Observer = manager
	env.Now += micros.Second
	lease.RenewLease()
	sentAt := env.Now
	call := takeStoreCall(t, env)
	if call.Op != message.OpRenewLease || call.LeaseID != 5 {
		t.Fatalf("renewed by %+v", call)
	}
	env.Now += micros.Second
	lease.RenewLease()
	if calls := takeStoreCalls(env); len(calls) > 0 {
		t.Fatal("a second renewal is sent while one is in flight")
	}
	replyTo(env, call, message.StoreReply{Status: message.StatusOK})
	if lease.Lease.RenewalSentAt != sentAt || lease.NextRenewalAt != env.Now+env.Settings.LeaseTTL()/renewalsPerTTL {
		t.Errorf("counts from %d, next renewal at %d", lease.Lease.RenewalSentAt, lease.NextRenewalAt)
	}
}

// TestLeaseLost guards against a role that is led on after the store ended our lease.
func TestLeaseLost(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	lease, env := manager.storeLease, manager.Environment
	lease.Observer = manager
	state := manager.FleetRole(leadership.InstanceSweeper)
	manager.ObserveRole(state, manager.LeaderClaim(), 8)
	grant := lease.Grant(state, leadership.Write)
	if reason := grant.Check(leadership.Write, env.Now); reason != "" {
		t.Fatalf("the leader's grant is refused: %s", reason)
	}
	lease.RenewLease()
	replyTo(env, takeStoreCall(t, env), message.StoreReply{Status: message.StatusNotFound})
	if state.Leads() || lease.LeaseValid() {
		t.Error("leads without a lease")
	}
	if reason := grant.Check(leadership.Write, env.Now); reason != leadership.RoleEnded {
		t.Errorf("a grant of the lost role: %q", reason)
	}
	lease.RenewLease()
	if call := takeStoreCall(t, env); call.Op != message.OpGrantLease || call.TTLMs != env.Settings.LeaseTTL().Milliseconds() {
		t.Errorf("a new lease is requested by %+v", call)
	}
}

// TestMayAnswerHeartbeats guards until when a leader without the store answers
// heartbeats.
func TestMayAnswerHeartbeats(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		change func(lease *StoreLease)
		want   bool
	}{
		{"with a lease", func(*StoreLease) {}, true},
		{"never had one", func(l *StoreLease) { l.Lease.RenewalSentAt = 0 }, false},
		{"its lease expired, nobody is healthy", func(l *StoreLease) { l.Now += l.Settings.LeaseTTL() + answerGracePeriod }, true},
		{"its lease expired, another is healthy", func(l *StoreLease) {
			l.Now += l.Settings.LeaseTTL() + answerGracePeriod
			l.peers.ByNode["ctl-b"] = &peerStatus{healthy: true, LastHeartbeatAt: l.Now}
		}, false},
		{"its lease expired while the process was paused", func(l *StoreLease) {
			previous := l.Now
			l.Now += l.Settings.LeaseTTL() + answerGracePeriod
			l.DetectPause(previous)
		}, false},
		{"the answer window is over", func(l *StoreLease) { l.Now = l.AnswerDeadline() }, false},
		{"the watch cache is older than the answer window", func(l *StoreLease) {
			l.cache.CurrentAsOf = l.Now - l.Settings.AnswerWindow()
		}, false},
	} {
		lease := newTestManager(t).storeLease
		lease.cache.CurrentAsOf = lease.Now
		tc.change(lease)
		if got := lease.mayAnswerHeartbeats(); got != tc.want {
			t.Errorf("%s: may answer %t, want %t", tc.name, got, tc.want)
		}
	}
}
