package core

import (
	"slices"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
)

// recorder is a controller that holds a partition and records rentals before it sends
// them. Its lease is renewed until now.
func recorder(t *testing.T) (*Controller, *partition) {
	t.Helper()
	c, p, _, _ := holder(t)
	c.settings.Operators.Roles.Exclusive, c.settings.Operators.Roles.RecordRequests = leadership.FleetRoleNames(), true
	c.settings.Deployment.Cloud.RPS = 6
	c.catalog.nextCatalogReadAt, c.instances.nextListAt = 1<<60, 1<<60 // they are not asked for here
	c.provisioning.recordingRequests, c.roles.exclusive = true, true
	c.effects = nil
	return c, p
}

// calls gives the effects of one kind.
func calls[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			list = append(list, v)
		}
	}
	return list
}

// writesTo gives the call among these that writes a key; nil: none does.
func writesTo(effects []Effect, key string) *StoreCall {
	for _, call := range calls[StoreCall](effects) {
		if call.Op == OpTransaction && slices.ContainsFunc(call.Transaction.Body().Writes, func(w api.Write) bool { return w.Put == key }) {
			return &call
		}
	}
	return nil
}

// rentalsSent counts the requests for machines among the effects.
func rentalsSent(effects []Effect) int {
	n := 0
	for _, call := range calls[CloudCall](effects) {
		if call.Op == OpLaunch {
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
	c.provisioning.scaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	record := writesTo(c.effects, requestsKey+"0")
	if record == nil || rentalsSent(c.effects) != 0 {
		t.Fatalf("recorded: %t, sent before that: %d", record != nil, rentalsSent(c.effects))
	}
	for _, g := range []api.Compare{{Key: p.key(), Version: p.Term}, {Key: requestsKey + "0"}} {
		if !slices.Contains(record.Transaction.Body().Compares, g) {
			t.Errorf("the record does not guard %+v", g)
		}
	}
	effects := c.Step(c.now+1000, &StoreReply{Call: record.Call, Status: 200, Transaction: api.TransactionResult{Revision: 40}})
	if rentalsSent(effects) != 1 {
		t.Errorf("%d requests sent once it is recorded", rentalsSent(effects))
	}
}

// TestNextHolderRepeatsRentals guards against machines that nobody knows of because their
// rental was answered after the change of holder: the next one asks under the same name.
func TestNextHolderRepeatsRentals(t *testing.T) {
	c, p := recorder(t)
	c.roles.loseRole(p.RoleState, "test")
	open := requestsRecord{Open: []requestRecord{{Request: "p0-10-7", Type: "g4", Zone: "alta", Count: 4},
		{Request: "p0-10-8", Type: "g4", Zone: "alta", Spot: true, Count: 2, Deferred: true}}}
	c.applier.applyPut(requestsKey+"0", mustMarshal(open), 50)
	c.applier.applyPut(p.key(), mustMarshal(c.roles.leaderClaim()), 60)
	effects := c.Step(c.now+micros.Second, Tick{})
	var names []string
	for _, call := range calls[CloudCall](effects) {
		if call.Op == OpLaunch {
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
	c.effects = nil
	c.provisioning.scaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}, 2)
	sent := calls[CloudCall](c.effects)
	if len(sent) != 1 || sent[0].Launch.Body().Name != "p0-10-8" {
		t.Errorf("instead of the refused request %+v is sent", sent)
	}
}

// TestLateAnswerToFormerHolder guards against machines that a former holder records, or
// counts on, when its rental is answered after it was replaced.
func TestLateAnswerToFormerHolder(t *testing.T) {
	c, p := recorder(t)
	c.settings.Operators.Roles.RecordRequests = false
	c.provisioning.scaleOut(p, scheduler.InstanceKind{Type: "g4", Zone: "alta"}, 3)
	sent := calls[CloudCall](c.effects)
	if len(sent) != 1 {
		t.Fatalf("%d requests sent", len(sent))
	}
	c.roles.loseRole(p.RoleState, "test")
	c.Step(c.now+micros.Second, &CloudReply{Call: sent[0].Call, Status: 200, Launched: []string{"n-7", "n-8", "n-9"}})
	if len(p.machineBatches) != 0 || len(c.provisioning.pendingMachines(p)) != 0 {
		t.Errorf("a former holder would record %d, counts on %v", len(p.machineBatches), c.provisioning.pendingMachines(p))
	}
}

// TestLeaseCountsFromSending guards against a holder that acts for longer than its lease
// lasts: paused right after it sent a renewal, it must count from then, and a renewal
// whose answer was lost counts as none.
func TestLeaseCountsFromSending(t *testing.T) {
	c, p := recorder(t)
	sent := c.now
	c.storeLease.nextRenewalAt, c.storeLease.renewalInFlight = c.now, false
	renewals := slices.DeleteFunc(calls[StoreCall](c.Step(sent, Tick{})), func(s StoreCall) bool { return s.Op != OpRenewLease })
	if len(renewals) != 1 {
		t.Fatalf("%d renewals", len(renewals))
	}
	late := sent + c.settings.leaseTTL() + micros.Second
	c.Step(late, &StoreReply{Call: renewals[0].Call, Status: 200})
	if g := c.storeLease.grant(p.RoleState, leadership.Launch); c.storeLease.leaseValid() || g.Check(leadership.Launch, c.now) != leadership.NoGrant {
		t.Error("the lease counts from its answer")
	}
	c.storeLease.lease.RenewalSentAt = late
	c.storeLease.nextRenewalAt, c.storeLease.renewalInFlight = late, false
	again := slices.DeleteFunc(calls[StoreCall](c.Step(late+1, Tick{})), func(s StoreCall) bool { return s.Op != OpRenewLease })
	c.Step(late+2*micros.Second, &StoreReply{Call: again[0].Call}) // renewed there, but the answer is lost
	if c.storeLease.lease.RenewalSentAt != late {
		t.Error("a renewal without an answer counts")
	}
}

// TestResumedWithinAnswerDeadline guards against a controller that resumes after its lease
// but within its answer deadline and takes the silence of its own pause for an outage of
// all: it answered workers that another controller commanded by then.
func TestResumedWithinAnswerDeadline(t *testing.T) {
	c, p, _, _ := holder(t)
	c.Step(c.now+micros.Second/10, Tick{})
	at := c.now + 9*micros.Second
	c.Step(at, Tick{})
	if at >= c.storeLease.answerDeadline() {
		t.Fatal("the answer deadline is over")
	}
	if c.storeLease.mayAnswerFor(p.RoleState) {
		t.Error("it answers before it can have heard of the others")
	}
	for range 40 {
		c.Step(c.now+micros.Second/10, Tick{})
	}
	if !c.storeLease.mayAnswerFor(p.RoleState) {
		t.Error("it does not answer although nobody else is heard")
	}
}

// TestUnreadableDuty guards against a duty that is taken from its holder because its
// record can't be read: it counts as held until its lease has run out.
func TestUnreadableDuty(t *testing.T) {
	c, _ := recorder(t)
	c.applier.applyPut(fleetRoleKey+"strays", []byte(`"?"`), 70)
	h := c.roles.fleetRole(leadership.OrphanAdopter)
	if c.roles.isVacant(h) || h.Leads() || c.roles.mayPerform(leadership.OrphanAdopter) {
		t.Errorf("free %t, held %t", c.roles.isVacant(h), h.Leads())
	}
	logged := slices.ContainsFunc(calls[Log](c.effects), func(l Log) bool { return strings.Contains(l.Message, "unreadable value") })
	if !logged {
		t.Error("it is not logged")
	}
	c.applier.applyDelete(fleetRoleKey+"strays", 71)
	c.now += 10 * micros.Second
	if !c.roles.isVacant(h) {
		t.Error("not free after its lease ran out")
	}
}

// TestFleetDutyNeedsAll guards against a fleet's duty that one controller keeps to itself
// while another does not know of it, and against two that do it once all know.
func TestFleetDutyNeedsAll(t *testing.T) {
	c, _ := recorder(t)
	c.settings.Nodes = []string{"nodo-0", "nodo-1"}
	if !c.roles.mayPerform(leadership.OrphanAdopter) {
		t.Error("a controller whose peers may be of an older version leaves strays alone")
	}
	c.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: schemaRoles})
	if c.roles.mayPerform(leadership.OrphanAdopter) {
		t.Error("all know of the duty, and one that does not hold it acts")
	}
	c.applier.applyPut(fleetRoleKey+"strays", mustMarshal(c.roles.leaderClaim()), 80)
	if !c.roles.mayPerform(leadership.OrphanAdopter) {
		t.Fatal("its holder does not act")
	}
	c.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: schemaDependencies}) // put back
	c.effects = nil
	c.roles.reconcileRoles()
	if c.roles.fleetRole(leadership.OrphanAdopter).Leads() || !c.roles.mayPerform(leadership.OrphanAdopter) {
		t.Error("the duty is kept although a controller does not know of it")
	}
}

// TestSchemaIsAnnouncedAnew guards against an upgrade that is never announced: the key of
// the version before is there already.
func TestSchemaIsAnnouncedAnew(t *testing.T) {
	c, _ := recorder(t)
	c.applier.applyPut(schemaKey+c.settings.Node, mustMarshal(schemaRecord{SchemaVersion: schemaDependencies, Release: "1.0"}), 33)
	c.effects, c.schema.nextSchemaAnnouncementAt = nil, 0
	c.schema.announceSchema()
	call := writesTo(c.effects, schemaKey+c.settings.Node)
	if call == nil || !slices.Contains(call.Transaction.Body().Compares, api.Compare{Key: schemaKey + c.settings.Node, Version: 33}) {
		t.Errorf("announced by %+v", call)
	}
}

// TestDeletionFollowsTombstone guards against a machine that is deleted before it is
// committed that it is never to be used again, and against a deletion without a lease.
func TestDeletionFollowsTombstone(t *testing.T) {
	c, _ := recorder(t)
	m := c.cluster.machines["n-1"]
	c.cluster.setTask(c.cluster.jobs["wk-000001"], 0, taskRecord{})
	c.registry.scaleIn(m, "test")
	c.effects = nil
	c.deleter.deleteInstances()
	if n := len(calls[CloudCall](c.effects)); n != 0 {
		t.Fatalf("%d deletions before the tombstone is committed", n)
	}
	m.pendingChange, m.record.Condemned = noRecordChange, true // committed
	held := c.storeLease.lease.RenewalSentAt
	c.storeLease.lease.RenewalSentAt = c.now - c.settings.leaseTTL()
	if c.deleter.deleteInstances(); len(calls[CloudCall](c.effects)) != 0 {
		t.Error("deleted without a lease that holds")
	}
	c.storeLease.lease.RenewalSentAt = held
	c.deleter.deleteInstances()
	if sent := calls[CloudCall](c.effects); len(sent) != 1 || sent[0].Delete.Grant().Check(leadership.Delete, c.now) != "" {
		t.Errorf("deletions: %+v", sent)
	}
}

// TestRefusalsAreLoggedOnce guards against a line in the log for each refused order, and
// against counts that operators can't see.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	c, _ := recorder(t)
	for range 50 {
		c.Step(c.now, OrderRefused{Role: "partition/0", Action: leadership.Launch, Reason: leadership.GrantExpired})
	}
	lines := 0
	for range 30 {
		for _, l := range calls[Log](c.Step(c.now+micros.Second/10, Tick{})) {
			if l.Message == "orders refused" {
				lines++
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d lines", lines)
	}
	for _, a := range calls[Answer](c.Step(c.now, ListRoles{RequestID: 9})) {
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
	effects := c.Step(c.now, Stop{})
	var dropped *StoreCall
	for _, call := range calls[StoreCall](effects) {
		if call.Op == OpTransaction && call.Transaction.Body().Writes[0].Delete == p.key() {
			dropped = &call
		}
	}
	if dropped == nil || p.Leads() || len(calls[Stopped](effects)) != 0 {
		t.Fatalf("given up by %+v, held %t", dropped, p.Leads())
	}
	said := calls[Broadcast](effects)
	if len(said) == 0 || !said[0].Heartbeat.Stopping || said[0].Heartbeat.Healthy {
		t.Error("the others are not told")
	}
	c.Step(c.now+1000, &StoreReply{Call: dropped.Call, Status: 200, Transaction: api.TransactionResult{Revision: 99}})
	if len(calls[Stopped](c.Step(c.now+micros.Second, Tick{}))) != 1 {
		t.Error("it is not told when all is given up")
	}
}
