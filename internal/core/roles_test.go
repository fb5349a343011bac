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

// orphanAdopterKey is the key of the fleet role that adopts orphaned instances.
const orphanAdopterKey = records.FleetRolePrefix + "strays"

// TestUnreadableRoleCountsAsLed guards against a role that is taken from its leader because
// its record is unreadable. The role must count as led until its key is deleted, here because
// the leader's lease has expired.
func TestUnreadableRoleCountsAsLed(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.applier.ApplyPut(orphanAdopterKey, []byte(`"?"`), 70)
	role := fixture.roles.FleetRole(leadership.OrphanAdopter)
	if fixture.roles.MayAcquire(role) || role.Leads() || fixture.roles.MayActAs(leadership.OrphanAdopter) {
		t.Errorf(
			"unreadable record: got may acquire %t, leads %t, may act %t, want all false",
			fixture.roles.MayAcquire(role), role.Leads(), fixture.roles.MayActAs(leadership.OrphanAdopter),
		)
	}
	logged := slices.ContainsFunc(effectsOf[message.Log](fixture.Effects), func(line message.Log) bool {
		return strings.Contains(line.Message, "unreadable value")
	})
	if !logged {
		t.Error("got no log line about the unreadable value, want one")
	}
	fixture.applier.ApplyDelete(orphanAdopterKey, 71)
	fixture.Now += 10 * micros.Second
	if !fixture.roles.MayAcquire(role) {
		t.Error("after the lease expired: got a role that may not be acquired, want that it may")
	}
}

// TestFleetRoleIsExclusiveOnceAllSupportIt guards against a controller that holds a fleet role
// exclusively while another controller does not support roles, and against two controllers
// that perform it once all of them do.
func TestFleetRoleIsExclusiveOnceAllSupportIt(t *testing.T) {
	fixture := newProvisioningFixture(t)
	fixture.Settings.Nodes = []string{testNode, "nodo-1"}
	observePeerSchema := func(schema int) {
		fixture.messenger.handlePeerHeartbeat(&peer.Heartbeat{Node: "nodo-1", Healthy: true, SchemaVersion: schema})
	}
	if !fixture.roles.MayActAs(leadership.OrphanAdopter) {
		t.Error("the peer's version is unknown: got a controller that may not adopt orphans, want that it may")
	}
	observePeerSchema(records.SchemaRoles)
	if fixture.roles.MayActAs(leadership.OrphanAdopter) {
		t.Error("all support the role: got a controller that performs it without leading it, want only its leader to")
	}
	fixture.applier.ApplyPut(orphanAdopterKey, records.MustMarshal(fixture.roles.OwnClaim()), 80)
	if !fixture.roles.MayActAs(leadership.OrphanAdopter) {
		t.Fatal("got a leader of the role that may not perform it, want that it may")
	}
	observePeerSchema(records.SchemaDependencies) // the peer is rolled back to an older version
	fixture.Effects = nil
	fixture.roles.Reconcile()
	if fixture.roles.FleetRole(leadership.OrphanAdopter).Leads() || !fixture.roles.MayActAs(leadership.OrphanAdopter) {
		t.Error("the peer does not support the role: got it kept, want it resigned and performed by all")
	}
}

// TestResignedTermIsNotLedAgain guards against a controller that leads a partition again under
// a term that it resigned. The deletion of the partition's key may be carried out late, and
// the next leader then relies on the resigned one not acting.
func TestResignedTermIsNotLedAgain(t *testing.T) {
	fixture := newLeaderFixture(t)
	resigned := fixture.partition.Term
	fixture.roles.Resign(fixture.partition.RoleState, "test")
	fixture.partition.ClearClaim(fixture.Now) // as when all keys are listed again
	fixture.acquirePartition(resigned)
	if fixture.partition.Leads() {
		t.Error("under the resigned term: got a leader, want none")
	}
	fixture.acquirePartition(resigned + 1)
	if !fixture.partition.Leads() {
		t.Error("under a new term: got no leader, want one")
	}
}

// TestSchemaIsAnnouncedAfterUpgrade guards against an upgrade whose schema version is never
// announced because the key of the previous version already exists.
func TestSchemaIsAnnouncedAfterUpgrade(t *testing.T) {
	fixture := newProvisioningFixture(t)
	key := records.SchemaPrefix + fixture.Settings.Node
	previous := records.NodeSchema{SchemaVersion: records.SchemaDependencies, Release: "1.0"}
	fixture.applier.ApplyPut(key, records.MustMarshal(previous), 33)
	fixture.Effects = nil
	fixture.schema.NextAnnouncementAt = 0
	fixture.schema.Announce()
	call := transactionWriting(fixture.Effects, key)
	if call == nil || !slices.Contains(call.Transaction.Body().Compares, api.Compare{Key: key, Version: 33}) {
		t.Errorf("got announcement %+v, want a write that compares version 33 of the key", call)
	}
}

// TestRefusedOrdersAreLoggedOnce guards against a log line for each refused order, and against
// counts that are missing from the list of roles that operators see.
func TestRefusedOrdersAreLoggedOnce(t *testing.T) {
	fixture := newProvisioningFixture(t)
	for range 50 {
		fixture.Step(fixture.Now, message.OrderRefused{
			Role: "partition/0", Action: leadership.ActionLaunch, Reason: leadership.GrantExpired,
		})
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
		t.Errorf("got %d log lines, want 1", lines)
	}
	for _, answer := range effectsOf[message.Answer](fixture.Step(fixture.Now, message.ListRoles{RequestID: 9})) {
		list, ok := answer.Body.(api.Roles)
		if !ok || len(list.Roles) != 5 || list.Roles[0].RefusedOrders["rent, expired"] != 50 || list.Roles[0].RemainingS == nil {
			t.Errorf("got answer %+v, want 5 roles, the first with 50 refused orders and a remaining time", answer.Body)
		}
	}
}

// TestStopResignsRoles guards against a controller that is told to stop but keeps its roles
// until its lease expires.
func TestStopResignsRoles(t *testing.T) {
	fixture := newProvisioningFixture(t)
	effects := fixture.Step(fixture.Now, message.Stop{})
	resignation := transactionDeleting(effects, fixture.partition.Key())
	if resignation == nil || fixture.partition.Leads() || len(effectsOf[message.Stopped](effects)) != 0 {
		t.Fatalf("got resignation %+v, leads %t, want one, false and no Stopped yet", resignation, fixture.partition.Leads())
	}
	broadcasts := effectsOf[message.Broadcast](effects)
	if len(broadcasts) == 0 || !broadcasts[0].Heartbeat.Stopping || broadcasts[0].Heartbeat.Healthy {
		t.Error("got no heartbeat that is stopping and not healthy, want one sent to the other controllers")
	}
	committed := &message.StoreReply{CallID: resignation.CallID, Status: message.StatusOK, Transaction: api.TransactionResult{Revision: 99}}
	fixture.Step(fixture.Now+1000, committed)
	if len(effectsOf[message.Stopped](fixture.Step(fixture.Now+micros.Second, message.Tick{}))) != 1 {
		t.Error("after the resignation was committed: got no Stopped, want one")
	}
}
