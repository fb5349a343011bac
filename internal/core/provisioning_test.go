package core

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// TestProvisioningRequestIsRecordedFirst guards against a request for instances that the
// partition's next leader cannot know of: it is sent only once its record is committed, and
// the record's write compares the term and the record that it replaces.
func TestProvisioningRequestIsRecordedFirst(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	record := transactionWriting(fixture.Effects, records.RequestsPrefix+"0")
	if sent := launchCallsOf(fixture.Effects); record == nil || len(sent) != 0 {
		t.Fatalf("recorded: %t, sent before that: %d", record != nil, len(sent))
	}
	for _, compare := range []api.Compare{
		{Key: fixture.partition.Key(), Version: api.Revision(fixture.partition.Term)},
		{Key: records.RequestsPrefix + "0"},
	} {
		if !slices.Contains(record.Transaction.Body().Compares, compare) {
			t.Errorf("the record's write does not compare %+v", compare)
		}
	}
	committed := &message.StoreReply{Call: record.Call, Status: message.StatusOK, Transaction: api.TransactionResult{Revision: 40}}
	if sent := launchCallsOf(fixture.Step(fixture.Now+1000, committed)); len(sent) != 1 {
		t.Errorf("%d requests sent once it is recorded", len(sent))
	}
}

// TestNewLeaderRepeatsOpenRequests guards against instances that nobody knows of because
// the request for them was answered after a failover: the new leader repeats it under the
// same name.
func TestNewLeaderRepeatsOpenRequests(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.roles.LoseRole(fixture.partition.RoleState, "test")
	open := provisioning.RequestsRecord{Open: []provisioning.RequestRecord{
		{Request: "p0-10-7", Type: "g4", Zone: "alta", Count: 4},
		{Request: "p0-10-8", Type: "g4", Zone: "alta", Spot: true, Count: 2, Deferred: true},
	}}
	fixture.applier.ApplyPut(records.RequestsPrefix+"0", records.MustMarshal(open), 50)
	fixture.applier.ApplyPut(fixture.partition.Key(), records.MustMarshal(fixture.roles.LeaderClaim()), 60)
	var names []string
	for _, call := range launchCallsOf(fixture.Step(fixture.Now+micros.Second, message.Tick{})) {
		names = append(names, call.Launch.Body().Name)
		if call.Launch.Grant().Term() != 60 {
			t.Errorf("repeated under term %d", call.Launch.Grant().Term())
		}
	}
	if !slices.Equal(names, []string{"p0-10-7"}) {
		t.Fatalf("repeated: %q, want the one that was not refused", names)
	}
	// The one that was refused is the next for its kind, if as much is wanted.
	fixture.Effects = nil
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}, 2)
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 || sent[0].Launch.Body().Name != "p0-10-8" {
		t.Errorf("instead of the refused request %+v is sent", sent)
	}
}

// TestLateLaunchReplyToFormerLeader guards against instances that a former leader records,
// or counts on, when its request is answered after the failover.
func TestLateLaunchReplyToFormerLeader(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.Settings.Operators.Duties.RecordRentals = false
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 {
		t.Fatalf("%d requests sent", len(sent))
	}
	fixture.roles.LoseRole(fixture.partition.RoleState, "test")
	reply := &message.CloudReply{Call: sent[0].Call, Status: message.StatusOK, Launched: []string{"n-7", "n-8", "n-9"}}
	fixture.Step(fixture.Now+micros.Second, reply)
	pending := fixture.provisioning.PendingMachines(fixture.partition)
	if len(fixture.partition.MachineBatches) != 0 || len(pending) != 0 {
		t.Errorf("a former leader would record %d, counts on %v", len(fixture.partition.MachineBatches), pending)
	}
}

// TestDeletionFollowsTombstone guards against an instance that is deleted before it is
// committed that it is never to be used again, and against a deletion without a lease.
func TestDeletionFollowsTombstone(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{})
	fixture.registry.ScaleIn(fixture.machine, "test")
	fixture.Effects = nil
	fixture.deleter.DeleteInstances()
	if n := len(effectsOf[message.CloudCall](fixture.Effects)); n != 0 {
		t.Fatalf("%d deletions before the tombstone is committed", n)
	}
	fixture.machine.PendingChange = cluster.NoRecordChange // committed
	fixture.machine.Record.MarkedForDeletion = true
	renewed := fixture.storeLease.Lease.RenewalSentAt
	fixture.storeLease.Lease.RenewalSentAt = fixture.Now - fixture.Settings.LeaseTTL()
	fixture.deleter.DeleteInstances()
	if len(effectsOf[message.CloudCall](fixture.Effects)) != 0 {
		t.Error("deleted without a lease that holds")
	}
	fixture.storeLease.Lease.RenewalSentAt = renewed
	fixture.deleter.DeleteInstances()
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 || sent[0].Delete.Grant().Check(leadership.Delete, fixture.Now) != "" {
		t.Errorf("deletions: %+v", sent)
	}
}
