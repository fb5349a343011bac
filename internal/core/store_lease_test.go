package core

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// TestLeaseCountsFromSending guards against a leader that acts for longer than its lease lasts.
// The lease must count from when the renewal was sent, even if the process is paused right
// after that. A renewal without an answer must not count.
func TestLeaseCountsFromSending(t *testing.T) {
	fixture := newProvisioningFixture(t)
	sentAt := fixture.Now
	fixture.storeLease.NextRenewalAt = fixture.Now
	fixture.storeLease.RenewalInFlight = false
	renewals := storeCallsOf(fixture.Step(sentAt, message.Tick{}), message.OpRenewLease)
	if len(renewals) != 1 {
		t.Fatalf("got %d renewals, want 1", len(renewals))
	}
	late := sentAt + fixture.Settings.LeaseTTL() + micros.Second
	fixture.Step(late, &message.StoreReply{CallID: renewals[0].CallID, Status: message.StatusOK})
	grant := fixture.storeLease.Grant(fixture.partition.RoleState, leadership.ActionLaunch)
	if fixture.storeLease.Valid() || grant.Check(leadership.ActionLaunch, fixture.Now) != leadership.NoGrant {
		t.Error("late answer to a renewal: got a valid lease or a grant, want neither")
	}
	fixture.storeLease.Lease.RenewalSentAt = late
	fixture.storeLease.NextRenewalAt = late
	fixture.storeLease.RenewalInFlight = false
	again := storeCallsOf(fixture.Step(late+1, message.Tick{}), message.OpRenewLease)
	fixture.Step(late+2*micros.Second, &message.StoreReply{CallID: again[0].CallID}) // the store renewed the lease, but its answer is lost
	if fixture.storeLease.Lease.RenewalSentAt != late {
		t.Error("got a lease that counts from the unanswered renewal, want it to count from the one before")
	}
}

// TestResumedControllerWaitsForPeers guards against a controller that resumes from a pause
// after its lease has expired but before its answer deadline. If it mistakes the silence
// during its own pause for an outage of the store for all controllers, it answers workers that
// another controller already commands.
func TestResumedControllerWaitsForPeers(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	resumedAt := fixture.Now + 9*micros.Second
	fixture.Step(resumedAt, message.Tick{})
	if resumedAt >= fixture.storeLease.AnswerDeadline() {
		t.Fatal("got an answer deadline that is past, want the controller resumed before it")
	}
	if fixture.storeLease.MayAnswerFor(fixture.partition.RoleState) {
		t.Error("right after the pause: got a controller that answers heartbeats, want it to wait for its peers")
	}
	for range 40 {
		fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	}
	if !fixture.storeLease.MayAnswerFor(fixture.partition.RoleState) {
		t.Error("no peer is heard after 4 s: got a controller that does not answer heartbeats, want it to")
	}
}
