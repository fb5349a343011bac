package coordination

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// TestRenew guards against a lease that counts from the reply to its renewal. The store may
// have received the renewal as soon as it was sent, so such a lease would count as valid for
// too long.
func TestRenew(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	lease, env := manager.storeLease, manager.Environment
	lease.Observer = manager
	env.Now += micros.Second
	lease.Renew()
	sentAt := env.Now
	call := popStoreCall(t, env)
	if call.Op != message.OpRenewLease || call.LeaseID != 5 {
		t.Fatalf("got call %+v, want the renewal of lease 5", call)
	}
	env.Now += micros.Second
	lease.Renew()
	if calls := popStoreCalls(env); len(calls) > 0 {
		t.Fatal("got a second renewal while one is in flight, want none")
	}
	replyTo(env, call, message.StoreReply{Status: message.StatusOK})
	if lease.Lease.RenewalSentAt != sentAt || lease.NextRenewalAt != env.Now+env.Settings.LeaseTTL()/renewalsPerTTL {
		t.Errorf("got a lease from %d and the next renewal at %d, want %d and %d",
			lease.Lease.RenewalSentAt, lease.NextRenewalAt, sentAt, env.Now+env.Settings.LeaseTTL()/renewalsPerTTL)
	}
}

// TestLeaseLost guards against a controller that goes on leading a role after the store
// ended its lease.
func TestLeaseLost(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	lease, env := manager.storeLease, manager.Environment
	lease.Observer = manager
	state := manager.FleetRole(leadership.InstanceSweeper)
	manager.Observe(state, manager.OwnClaim(), 8)
	grant := lease.Grant(state, leadership.ActionWrite)
	if reason := grant.Check(leadership.ActionWrite, env.Now); reason != "" {
		t.Fatalf("got reason %q for the leader's grant, want none", reason)
	}
	lease.Renew()
	replyTo(env, popStoreCall(t, env), message.StoreReply{Status: message.StatusNotFound})
	if state.Leads() || lease.Valid() {
		t.Errorf("got leading %t and a valid lease %t after the store ended the lease, want false twice", state.Leads(), lease.Valid())
	}
	if reason := grant.Check(leadership.ActionWrite, env.Now); reason != leadership.RoleEnded {
		t.Errorf("got reason %q for a grant of the lost role, want %q", reason, leadership.RoleEnded)
	}
	lease.Renew()
	if call := popStoreCall(t, env); call.Op != message.OpGrantLease || call.TTLMs != env.Settings.LeaseTTL().Milliseconds() {
		t.Errorf("got call %+v, want the request for a new lease", call)
	}
}

// TestMayAnswerHeartbeats guards against a leader that can't reach the store and stops
// answering heartbeats too early or too late.
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
			t.Errorf("%s: got may answer %t, want %t", tc.name, got, tc.want)
		}
	}
}
