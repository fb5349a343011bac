package core

import (
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// TestLeaseCountsFromSending guards against a leader that acts for longer than its lease
// lasts: paused right after it sent a renewal, it must count from then, and a renewal whose
// answer was lost counts as none.
func TestLeaseCountsFromSending(t *testing.T) {
	fixture := newProvisioningFixture(t)
	sentAt := fixture.Now
	fixture.storeLease.NextRenewalAt = fixture.Now
	fixture.storeLease.RenewalInFlight = false
	renewals := storeCallsOf(fixture.Step(sentAt, message.Tick{}), message.OpRenewLease)
	if len(renewals) != 1 {
		t.Fatalf("%d renewals", len(renewals))
	}
	late := sentAt + fixture.Settings.LeaseTTL() + micros.Second
	fixture.Step(late, &message.StoreReply{Call: renewals[0].Call, Status: message.StatusOK})
	grant := fixture.storeLease.Grant(fixture.partition.RoleState, leadership.Launch)
	if fixture.storeLease.LeaseValid() || grant.Check(leadership.Launch, fixture.Now) != leadership.NoGrant {
		t.Error("the lease counts from its answer")
	}
	fixture.storeLease.Lease.RenewalSentAt = late
	fixture.storeLease.NextRenewalAt = late
	fixture.storeLease.RenewalInFlight = false
	again := storeCallsOf(fixture.Step(late+1, message.Tick{}), message.OpRenewLease)
	fixture.Step(late+2*micros.Second, &message.StoreReply{Call: again[0].Call}) // renewed there, but the answer is lost
	if fixture.storeLease.Lease.RenewalSentAt != late {
		t.Error("a renewal without an answer counts")
	}
}

// TestResumedControllerWaitsForPeers guards against a controller that resumes after its
// lease but within its answer deadline, and takes the silence of its own pause for an
// outage of all: it answered workers that another controller commanded by then.
func TestResumedControllerWaitsForPeers(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	resumedAt := fixture.Now + 9*micros.Second
	fixture.Step(resumedAt, message.Tick{})
	if resumedAt >= fixture.storeLease.AnswerDeadline() {
		t.Fatal("the answer deadline is over")
	}
	if fixture.storeLease.MayAnswerFor(fixture.partition.RoleState) {
		t.Error("it answers before it can have heard of the others")
	}
	for range 40 {
		fixture.Step(fixture.Now+micros.Second/10, message.Tick{})
	}
	if !fixture.storeLease.MayAnswerFor(fixture.partition.RoleState) {
		t.Error("it does not answer although nobody else is heard")
	}
}
