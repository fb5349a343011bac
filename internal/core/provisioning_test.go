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

// TestProvisioningRequestIsRecordedFirst guards against a request for instances that is
// unknown to the partition's next leader. The request must be sent only once its record is
// committed, and the write of the record must compare the term and the record it replaces.
func TestProvisioningRequestIsRecordedFirst(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	record := transactionWriting(fixture.Effects, records.RequestsPrefix+"0")
	if sent := launchCallsOf(fixture.Effects); record == nil || len(sent) != 0 {
		t.Fatalf("got recorded %t and %d requests sent before that, want true and 0", record != nil, len(sent))
	}
	for _, compare := range []api.Compare{
		{Key: fixture.partition.Key(), Version: api.Revision(fixture.partition.Term)},
		{Key: records.RequestsPrefix + "0"},
	} {
		if !slices.Contains(record.Transaction.Body().Compares, compare) {
			t.Errorf("compares of the record's write: got %+v, want %+v among them", record.Transaction.Body().Compares, compare)
		}
	}
	committed := &message.StoreReply{CallID: record.CallID, Status: message.StatusOK, Transaction: api.TransactionResult{Revision: 40}}
	if sent := launchCallsOf(fixture.Step(fixture.Now+1000, committed)); len(sent) != 1 {
		t.Errorf("after the record's commit: got %d requests, want 1", len(sent))
	}
}

// TestNewLeaderRepeatsOpenRequests guards against instances that no controller knows because
// their request was answered after a failover. The new leader must repeat the request under
// the same name.
func TestNewLeaderRepeatsOpenRequests(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.roles.StopLeading(fixture.partition.RoleState, "test")
	open := provisioning.RequestsRecord{Open: []provisioning.RequestRecord{
		{Name: "p0-10-7", Type: "g4", Zone: "alta", Count: 4},
		{Name: "p0-10-8", Type: "g4", Zone: "alta", Spot: true, Count: 2, Deferred: true},
	}}
	fixture.applier.ApplyPut(records.RequestsPrefix+"0", records.MustMarshal(open), 50)
	fixture.applier.ApplyPut(fixture.partition.Key(), records.MustMarshal(fixture.roles.OwnClaim()), 60)
	var names []string
	for _, call := range launchCallsOf(fixture.Step(fixture.Now+micros.Second, message.Tick{})) {
		names = append(names, call.Launch.Body().Name)
		if call.Launch.Grant().Term() != 60 {
			t.Errorf("term of a repeated request: got %d, want 60", call.Launch.Grant().Term())
		}
	}
	if !slices.Equal(names, []string{"p0-10-7"}) {
		t.Fatalf("repeated requests: got %q, want only p0-10-7, which is not deferred", names)
	}
	// The deferred request is reused for the next request of the same kind and count.
	fixture.Effects = nil
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}, 2)
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 || sent[0].Launch.Body().Name != "p0-10-8" {
		t.Errorf("got requests %+v, want the deferred request p0-10-8", sent)
	}
}

// TestLateLaunchReplyToFormerLeader guards against a former leader that records instances, or
// counts them as pending, when its request is answered after a failover.
func TestLateLaunchReplyToFormerLeader(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.Settings.Operators.Duties.RecordRentals = false
	fixture.provisioning.ScaleOut(fixture.partition, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 {
		t.Fatalf("got %d requests, want 1", len(sent))
	}
	fixture.roles.StopLeading(fixture.partition.RoleState, "test")
	reply := &message.CloudReply{CallID: sent[0].CallID, Status: message.StatusOK, Launched: []string{"n-7", "n-8", "n-9"}}
	fixture.Step(fixture.Now+micros.Second, reply)
	pending := fixture.provisioning.PendingMachines(fixture.partition)
	if len(fixture.partition.MachineBatches) != 0 || len(pending) != 0 {
		t.Errorf("former leader: got %d batches to record, %v pending, want none", len(fixture.partition.MachineBatches), pending)
	}
}

// TestDeletionWaitsForCommittedMark guards against an instance that is deleted before its
// mark for deletion is committed, and against a deletion without a valid lease.
func TestDeletionWaitsForCommittedMark(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{})
	fixture.registry.ScaleIn(fixture.machine, "test")
	fixture.Effects = nil
	fixture.deleter.DeleteNextBatch()
	if n := len(effectsOf[message.CloudCall](fixture.Effects)); n != 0 {
		t.Fatalf("before the mark is committed: got %d deletions, want 0", n)
	}
	fixture.machine.PendingChange = cluster.NoRecordChange // as if committed
	fixture.machine.Record.MarkedForDeletion = true
	renewed := fixture.storeLease.Lease.RenewalSentAt
	fixture.storeLease.Lease.RenewalSentAt = fixture.Now - fixture.Settings.LeaseTTL()
	fixture.deleter.DeleteNextBatch()
	if len(effectsOf[message.CloudCall](fixture.Effects)) != 0 {
		t.Error("without a valid lease: got a deletion, want none")
	}
	fixture.storeLease.Lease.RenewalSentAt = renewed
	fixture.deleter.DeleteNextBatch()
	sent := effectsOf[message.CloudCall](fixture.Effects)
	if len(sent) != 1 || sent[0].Delete.Grant().Check(leadership.ActionDelete, fixture.Now) != "" {
		t.Errorf("got deletions %+v, want one with a valid grant", sent)
	}
}
