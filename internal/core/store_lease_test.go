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
	f := newProvisioningFixture(t)
	sentAt := f.Now
	f.storeLease.NextRenewalAt = f.Now
	f.storeLease.RenewalInFlight = false
	renewals := storeCallsOf(f.Step(sentAt, message.Tick{}), message.OpRenewLease)
	if len(renewals) != 1 {
		t.Fatalf("%d renewals", len(renewals))
	}
	late := sentAt + f.Settings.LeaseTTL() + micros.Second
	f.Step(late, &message.StoreReply{Call: renewals[0].Call, Status: statusOK})
	grant := f.storeLease.Grant(f.partition.RoleState, leadership.Launch)
	if f.storeLease.LeaseValid() || grant.Check(leadership.Launch, f.Now) != leadership.NoGrant {
		t.Error("the lease counts from its answer")
	}
	f.storeLease.Lease.RenewalSentAt = late
	f.storeLease.NextRenewalAt = late
	f.storeLease.RenewalInFlight = false
	again := storeCallsOf(f.Step(late+1, message.Tick{}), message.OpRenewLease)
	f.Step(late+2*micros.Second, &message.StoreReply{Call: again[0].Call}) // renewed there, but the answer is lost
	if f.storeLease.Lease.RenewalSentAt != late {
		t.Error("a renewal without an answer counts")
	}
}

// TestResumedControllerWaitsForPeers guards against a controller that resumes after its
// lease but within its answer deadline, and takes the silence of its own pause for an
// outage of all: it answered workers that another controller commanded by then.
func TestResumedControllerWaitsForPeers(t *testing.T) {
	f := newLeaderFixture(t)
	f.Step(f.Now+micros.Second/10, message.Tick{})
	resumedAt := f.Now + 9*micros.Second
	f.Step(resumedAt, message.Tick{})
	if resumedAt >= f.storeLease.AnswerDeadline() {
		t.Fatal("the answer deadline is over")
	}
	if f.storeLease.MayAnswerFor(f.partition.RoleState) {
		t.Error("it answers before it can have heard of the others")
	}
	for range 40 {
		f.Step(f.Now+micros.Second/10, message.Tick{})
	}
	if !f.storeLease.MayAnswerFor(f.partition.RoleState) {
		t.Error("it does not answer although nobody else is heard")
	}
}
