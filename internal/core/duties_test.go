package core

import (
	"slices"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// recorder is a controller that holds a partition and records rentals before it sends
// them. Its lease is renewed until now.
func recorder(t *testing.T) (*Controller, *cluster.Partition) {
	t.Helper()
	c, p, _, _ := holder(t)
	c.Settings.Operators.Roles.Exclusive, c.Settings.Operators.Roles.RecordRequests = leadership.FleetRoleNames(), true
	c.Settings.Deployment.Cloud.RPS = 6
	c.catalog.NextCatalogReadAt, c.instances.NextListAt = 1<<60, 1<<60 // they are not asked for here
	c.provisioning.RecordingRequests, c.roles.Exclusive = true, true
	c.Effects = nil
	return c, p
}

// calls gives the effects of one kind.
func calls[T message.Effect](effects []message.Effect) []T {
	var list []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

// writesTo gives the call among these that writes a key; nil: none does.
func writesTo(effects []message.Effect, key string) *message.StoreCall {
	for _, call := range calls[message.StoreCall](effects) {
		if call.Op == message.OpTransaction && slices.ContainsFunc(call.Transaction.Body().Writes, func(w api.Write) bool { return w.Put == key }) {
			return &call
		}
	}
	return nil
}

// rentalsSent counts the requests for machines among the effects.
func rentalsSent(effects []message.Effect) int {
	n := 0
	for _, call := range calls[message.CloudCall](effects) {
		if call.Op == message.OpLaunch {
			n++
		}
	}
	return n
}

// TestRentalIsRecordedFirst guards against a request for machines that the next holder of
// the partition can't know of: it is sent only once its record is committed, and the
// record's write guards the term and the record that it replaces.
func TestRentalIsRecordedFirst(t *testing.T) {
	c, p := recorder(t)
	c.provisioning.ScaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	record := writesTo(c.Effects, records.RequestsKey+"0")
	if record == nil || rentalsSent(c.Effects) != 0 {
		t.Fatalf("recorded: %t, sent before that: %d", record != nil, rentalsSent(c.Effects))
	}
	for _, g := range []api.Compare{{Key: p.Key(), Version: p.Term}, {Key: records.RequestsKey + "0"}} {
		if !slices.Contains(record.Transaction.Body().Compares, g) {
			t.Errorf("the record does not guard %+v", g)
		}
	}
	effects := c.Step(c.Now+1000, &message.StoreReply{Call: record.Call, Status: 200, Transaction: api.TransactionResult{Revision: 40}})
	if rentalsSent(effects) != 1 {
		t.Errorf("%d requests sent once it is recorded", rentalsSent(effects))
	}
}

// TestNextHolderRepeatsRentals guards against machines that nobody knows of because their
// rental was answered after the change of holder: the next one asks under the same name.
func TestNextHolderRepeatsRentals(t *testing.T) {
	c, p := recorder(t)
	c.roles.LoseRole(p.RoleState, "test")
	open := provisioning.RequestsRecord{Open: []provisioning.RequestRecord{
		{Request: "p0-10-7", Type: "g4", Zone: "alta", Count: 4},
		{Request: "p0-10-8", Type: "g4", Zone: "alta", Spot: true, Count: 2, Deferred: true},
	}}
	c.applier.ApplyPut(records.RequestsKey+"0", records.MustMarshal(open), 50)
	c.applier.ApplyPut(p.Key(), records.MustMarshal(c.roles.LeaderClaim()), 60)
	effects := c.Step(c.Now+micros.Second, message.Tick{})
	var names []string
	for _, call := range calls[message.CloudCall](effects) {
		if call.Op == message.OpLaunch {
			names = append(names, call.Launch.Body().Name)
			if call.Launch.Grant().Term() != 60 {
				t.Errorf("repeated under term %d", call.Launch.Grant().Term())
			}
		}
	}
	if !slices.Equal(names, []string{"p0-10-7"}) {
		t.Fatalf("repeated: %q, want the one that was not refused", names)
	}
	// The one that was refused is the next for its kind, if as much is wanted.
	c.Effects = nil
	c.provisioning.ScaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}, 2)
	sent := calls[message.CloudCall](c.Effects)
	if len(sent) != 1 || sent[0].Launch.Body().Name != "p0-10-8" {
		t.Errorf("instead of the refused request %+v is sent", sent)
	}
}

// TestLateAnswerToFormerHolder guards against machines that a former holder records, or
// counts on, when its rental is answered after it was replaced.
func TestLateAnswerToFormerHolder(t *testing.T) {
	c, p := recorder(t)
	c.Settings.Operators.Roles.RecordRequests = false
	c.provisioning.ScaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	sent := calls[message.CloudCall](c.Effects)
	if len(sent) != 1 {
		t.Fatalf("%d requests sent", len(sent))
	}
	c.roles.LoseRole(p.RoleState, "test")
	c.Step(c.Now+micros.Second, &message.CloudReply{Call: sent[0].Call, Status: 200, Launched: []string{"n-7", "n-8", "n-9"}})
	if len(p.MachineBatches) != 0 || len(c.provisioning.PendingMachines(p)) != 0 {
		t.Errorf("a former holder would record %d, counts on %v", len(p.MachineBatches), c.provisioning.PendingMachines(p))
	}
}

// TestLeaseCountsFromSending guards against a holder that acts for longer than its lease
// lasts: paused right after it sent a renewal, it must count from then, and a renewal
// whose answer was lost counts as none.
func TestLeaseCountsFromSending(t *testing.T) {
	c, p := recorder(t)
	sent := c.Now
	c.storeLease.NextRenewalAt, c.storeLease.RenewalInFlight = c.Now, false
	renewals := slices.DeleteFunc(calls[message.StoreCall](c.Step(sent, message.Tick{})), func(s message.StoreCall) bool { return s.Op != message.OpRenewLease })
	if len(renewals) != 1 {
		t.Fatalf("%d renewals", len(renewals))
	}
	late := sent + c.Settings.LeaseTTL() + micros.Second
	c.Step(late, &message.StoreReply{Call: renewals[0].Call, Status: 200})
	if g := c.storeLease.Grant(p.RoleState, leadership.Launch); c.storeLease.LeaseValid() || g.Check(leadership.Launch, c.Now) != leadership.NoGrant {
		t.Error("the lease counts from its answer")
	}
	c.storeLease.Lease.RenewalSentAt = late
	c.storeLease.NextRenewalAt, c.storeLease.RenewalInFlight = late, false
	again := slices.DeleteFunc(calls[message.StoreCall](c.Step(late+1, message.Tick{})), func(s message.StoreCall) bool { return s.Op != message.OpRenewLease })
	c.Step(late+2*micros.Second, &message.StoreReply{Call: again[0].Call}) // renewed there, but the answer is lost
	if c.storeLease.Lease.RenewalSentAt != late {
		t.Error("a renewal without an answer counts")
	}
}

// TestResumedWithinAnswerDeadline guards against a controller that resumes after its lease
// but within its answer deadline and takes the silence of its own pause for an outage of
// all: it answered workers that another controller commanded by then.
func TestResumedWithinAnswerDeadline(t *testing.T) {
	c, p, _, _ := holder(t)
	c.Step(c.Now+micros.Second/10, message.Tick{})
	at := c.Now + 9*micros.Second
	c.Step(at, message.Tick{})
	if at >= c.storeLease.AnswerDeadline() {
		t.Fatal("the answer deadline is over")
	}
	if c.storeLease.MayAnswerFor(p.RoleState) {
		t.Error("it answers before it can have heard of the others")
	}
	for range 40 {
		c.Step(c.Now+micros.Second/10, message.Tick{})
	}
	if !c.storeLease.MayAnswerFor(p.RoleState) {
		t.Error("it does not answer although nobody else is heard")
	}
}

// TestUnreadableDuty guards against a duty that is taken from its holder because its
// record can't be read: it counts as held until its lease has run out.
func TestUnreadableDuty(t *testing.T) {
	c, _ := recorder(t)
	c.applier.ApplyPut(records.FleetRoleKey+"strays", []byte(`"?"`), 70)
	h := c.roles.FleetRole(leadership.OrphanAdopter)
	if c.roles.IsVacant(h) || h.Leads() || c.roles.MayPerform(leadership.OrphanAdopter) {
		t.Errorf("free %t, held %t", c.roles.IsVacant(h), h.Leads())
	}
	logged := slices.ContainsFunc(calls[message.Log](c.Effects), func(l message.Log) bool { return strings.Contains(l.Message, "unreadable value") })
	if !logged {
		t.Error("it is not logged")
	}
	c.applier.ApplyDelete(records.FleetRoleKey+"strays", 71)
	c.Now += 10 * micros.Second
	if !c.roles.IsVacant(h) {
		t.Error("not free after its lease ran out")
	}
}

// TestFleetDutyNeedsAll guards against a fleet's duty that one controller keeps to itself
// while another does not know of it, and against two that do it once all know.
func TestFleetDutyNeedsAll(t *testing.T) {
	c, _ := recorder(t)
	c.Settings.Nodes = []string{"nodo-0", "nodo-1"}
	if !c.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("a controller whose peers may be of an older version leaves strays alone")
	}
	c.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: records.SchemaRoles})
	if c.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("all know of the duty, and one that does not hold it acts")
	}
	c.applier.ApplyPut(records.FleetRoleKey+"strays", records.MustMarshal(c.roles.LeaderClaim()), 80)
	if !c.roles.MayPerform(leadership.OrphanAdopter) {
		t.Fatal("its holder does not act")
	}
	c.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: records.SchemaDependencies}) // put back
	c.Effects = nil
	c.roles.ReconcileRoles()
	if c.roles.FleetRole(leadership.OrphanAdopter).Leads() || !c.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("the duty is kept although a controller does not know of it")
	}
}

// TestSchemaIsAnnouncedAnew guards against an upgrade that is never announced: the key of
// the version before is there already.
func TestSchemaIsAnnouncedAnew(t *testing.T) {
	c, _ := recorder(t)
	c.applier.ApplyPut(records.SchemaKey+c.Settings.Node, records.MustMarshal(records.SchemaRecord{SchemaVersion: records.SchemaDependencies, Release: "1.0"}), 33)
	c.Effects, c.schema.NextSchemaAnnouncementAt = nil, 0
	c.schema.AnnounceSchema()
	call := writesTo(c.Effects, records.SchemaKey+c.Settings.Node)
	if call == nil || !slices.Contains(call.Transaction.Body().Compares, api.Compare{Key: records.SchemaKey + c.Settings.Node, Version: 33}) {
		t.Errorf("announced by %+v", call)
	}
}

// TestDeletionFollowsTombstone guards against a machine that is deleted before it is
// committed that it is never to be used again, and against a deletion without a lease.
func TestDeletionFollowsTombstone(t *testing.T) {
	c, _ := recorder(t)
	m := c.cluster.Machines["n-1"]
	c.cluster.SetTask(c.cluster.Jobs["wk-000001"], 0, cluster.TaskRecord{})
	c.registry.ScaleIn(m, "test")
	c.Effects = nil
	c.deleter.DeleteInstances()
	if n := len(calls[message.CloudCall](c.Effects)); n != 0 {
		t.Fatalf("%d deletions before the tombstone is committed", n)
	}
	m.PendingChange, m.Record.Condemned = cluster.NoRecordChange, true // committed
	held := c.storeLease.Lease.RenewalSentAt
	c.storeLease.Lease.RenewalSentAt = c.Now - c.Settings.LeaseTTL()
	if c.deleter.DeleteInstances(); len(calls[message.CloudCall](c.Effects)) != 0 {
		t.Error("deleted without a lease that holds")
	}
	c.storeLease.Lease.RenewalSentAt = held
	c.deleter.DeleteInstances()
	if sent := calls[message.CloudCall](c.Effects); len(sent) != 1 || sent[0].Delete.Grant().Check(leadership.Delete, c.Now) != "" {
		t.Errorf("deletions: %+v", sent)
	}
}

// TestRefusalsAreLoggedOnce guards against a line in the log for each refused order, and
// against counts that operators can't see.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	c, _ := recorder(t)
	for range 50 {
		c.Step(c.Now, message.OrderRefused{Role: "partition/0", Action: leadership.Launch, Reason: leadership.GrantExpired})
	}
	lines := 0
	for range 30 {
		for _, l := range calls[message.Log](c.Step(c.Now+micros.Second/10, message.Tick{})) {
			if l.Message == "orders refused" {
				lines++
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d lines", lines)
	}
	for _, a := range calls[message.Answer](c.Step(c.Now, message.ListRoles{RequestID: 9})) {
		list, ok := a.Body.(api.Roles)
		if !ok || len(list.Roles) != 5 || list.Roles[0].RefusedOrders["rent, expired"] != 50 || list.Roles[0].RemainingS == nil {
			t.Errorf("answered %+v", a.Body)
		}
	}
}

// TestStopGivesUp guards against a controller that is told to stop and leaves its duties
// to its lease.
func TestStopGivesUp(t *testing.T) {
	c, p := recorder(t)
	effects := c.Step(c.Now, message.Stop{})
	var dropped *message.StoreCall
	for _, call := range calls[message.StoreCall](effects) {
		if call.Op == message.OpTransaction && call.Transaction.Body().Writes[0].Delete == p.Key() {
			dropped = &call
		}
	}
	if dropped == nil || p.Leads() || len(calls[message.Stopped](effects)) != 0 {
		t.Fatalf("given up by %+v, held %t", dropped, p.Leads())
	}
	said := calls[message.Broadcast](effects)
	if len(said) == 0 || !said[0].Heartbeat.Stopping || said[0].Heartbeat.Healthy {
		t.Error("the others are not told")
	}
	c.Step(c.Now+1000, &message.StoreReply{Call: dropped.Call, Status: 200, Transaction: api.TransactionResult{Revision: 99}})
	if len(calls[message.Stopped](c.Step(c.Now+micros.Second, message.Tick{}))) != 1 {
		t.Error("it is not told when all is given up")
	}
}
