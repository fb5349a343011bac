package core

import (
	"slices"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/records"
)

// adopterKey is the key of the role of adopting orphaned instances.
const adopterKey = records.FleetRolePrefix + "strays"

// TestUnreadableRoleCountsAsLed guards against a role that is taken from its leader because
// its record cannot be read: it counts as led until its lease has expired.
func TestUnreadableRoleCountsAsLed(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.applier.ApplyPut(adopterKey, []byte(`"?"`), 70)
	role := fixture.roles.FleetRole(leadership.OrphanAdopter)
	if fixture.roles.IsVacant(role) || role.Leads() || fixture.roles.MayPerform(leadership.OrphanAdopter) {
		t.Errorf("vacant %t, led by us %t", fixture.roles.IsVacant(role), role.Leads())
	}
	logged := slices.ContainsFunc(effectsOf[message.Log](fixture.Effects), func(line message.Log) bool {
		return strings.Contains(line.Message, "unreadable value")
	})
	if !logged {
		t.Error("it is not logged")
	}
	fixture.applier.ApplyDelete(adopterKey, 71)
	fixture.Now += 10 * micros.Second
	if !fixture.roles.IsVacant(role) {
		t.Error("not vacant after its lease expired")
	}
}

// TestFleetRoleIsExclusiveOnceAllKnowIt guards against a fleet role that one controller
// keeps to itself while another does not know of it, and against two that perform it once
// all know.
func TestFleetRoleIsExclusiveOnceAllKnowIt(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.Settings.Nodes = []string{testNode, "nodo-1"}
	peerReads := func(schema int) {
		fixture.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: schema})
	}
	if !fixture.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("a controller whose peers may be of an older version leaves orphans alone")
	}
	peerReads(records.SchemaRoles)
	if fixture.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("all know of the role, and one that does not lead it acts")
	}
	fixture.applier.ApplyPut(adopterKey, records.MustMarshal(fixture.roles.LeaderClaim()), 80)
	if !fixture.roles.MayPerform(leadership.OrphanAdopter) {
		t.Fatal("its leader does not act")
	}
	peerReads(records.SchemaDependencies) // rolled back
	fixture.Effects = nil
	fixture.roles.ReconcileRoles()
	if fixture.roles.FleetRole(leadership.OrphanAdopter).Leads() || !fixture.roles.MayPerform(leadership.OrphanAdopter) {
		t.Error("the role is kept although a controller does not know of it")
	}
}

// TestResignedTermIsNotLedAgain guards against a partition that is led again under a term
// that was resigned: the deletion of its key may come late, and whoever leads the partition
// then counts on the silence that was promised.
func TestResignedTermIsNotLedAgain(t *testing.T) {
	fixture := newLeaderFixture(t)
	resigned := fixture.partition.Term
	fixture.roles.ResignRole(fixture.partition.RoleState, "test")
	fixture.partition.Forget(fixture.Now) // as when everything is read again
	fixture.lead(resigned)
	if fixture.partition.Leads() {
		t.Error("led again under the term that was resigned")
	}
	fixture.lead(resigned + 1)
	if !fixture.partition.Leads() {
		t.Error("not led under a new term")
	}
}

// TestSchemaIsAnnouncedAfterUpgrade guards against an upgrade that is never announced: the
// key of the version before is there already.
func TestSchemaIsAnnouncedAfterUpgrade(t *testing.T) {
	fixture := newProvisioningFixture(t)
	key := records.SchemaPrefix + fixture.Settings.Node
	previous := records.NodeSchema{SchemaVersion: records.SchemaDependencies, Release: "1.0"}
	fixture.applier.ApplyPut(key, records.MustMarshal(previous), 33)
	fixture.Effects = nil
	fixture.schema.NextSchemaAnnouncementAt = 0
	fixture.schema.AnnounceSchema()
	call := transactionWriting(fixture.Effects, key)
	if call == nil || !slices.Contains(call.Transaction.Body().Compares, api.Compare{Key: key, Version: 33}) {
		t.Errorf("announced by %+v", call)
	}
}

// TestRefusedOrdersAreLoggedOnce guards against a line in the log for each refused order,
// and against counts that operators cannot see.
func TestRefusedOrdersAreLoggedOnce(t *testing.T) {
	fixture := newProvisioningFixture(t)
	for range 50 {
		fixture.Step(fixture.Now, message.OrderRefused{Role: "partition/0", Action: leadership.Launch, Reason: leadership.GrantExpired})
	}
	lines := 0
	for range 30 {
		for _, line := range effectsOf[message.Log](fixture.Step(fixture.Now+micros.Second/10, message.Tick{})) {
			if line.Message == "orders refused" {
				lines++
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d lines", lines)
	}
	for _, answer := range effectsOf[message.Answer](fixture.Step(fixture.Now, message.ListRoles{RequestID: 9})) {
		list, ok := answer.Body.(api.Roles)
		if !ok || len(list.Roles) != 5 || list.Roles[0].RefusedOrders["rent, expired"] != 50 || list.Roles[0].RemainingS == nil {
			t.Errorf("answered %+v", answer.Body)
		}
	}
}

// TestStopResignsRoles guards against a controller that is told to stop and leaves its
// roles until its lease expires.
func TestStopResignsRoles(t *testing.T) {
	fixture := newProvisioningFixture(t)
	effects := fixture.Step(fixture.Now, message.Stop{})
	resignation := transactionDeleting(effects, fixture.partition.Key())
	if resignation == nil || fixture.partition.Leads() || len(effectsOf[message.Stopped](effects)) != 0 {
		t.Fatalf("resigned by %+v, leads %t", resignation, fixture.partition.Leads())
	}
	broadcasts := effectsOf[message.Broadcast](effects)
	if len(broadcasts) == 0 || !broadcasts[0].Heartbeat.Stopping || broadcasts[0].Heartbeat.Healthy {
		t.Error("the other controllers are not notified")
	}
	committed := &message.StoreReply{Call: resignation.Call, Status: message.StatusOK, Transaction: api.TransactionResult{Revision: 99}}
	fixture.Step(fixture.Now+1000, committed)
	if len(effectsOf[message.Stopped](fixture.Step(fixture.Now+micros.Second, message.Tick{}))) != 1 {
		t.Error("the end of the stop is not told")
	}
}
