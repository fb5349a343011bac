package core

import (
	"fmt"
	"testing"

	"spurmoor/internal/peer"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// TestIdleOffersIncludeEveryKind guards against thousands of idle machines of one kind that
// hide a few of another. The number of offers is limited, so machines offered in order of
// their names would never include the other kind.
func TestIdleOffersIncludeEveryKind(t *testing.T) {
	many := scheduler.InstanceKind{Type: "g4", Zone: "alta"}
	few := scheduler.InstanceKind{Type: "g8", Zone: "alta"}
	kinds := map[scheduler.InstanceKind][]peer.IdleMachine{}
	for i := range 4000 {
		kinds[many] = append(kinds[many], peer.IdleMachine{Machine: fmt.Sprintf("n-%06d", i)})
	}
	for i := range 8 {
		kinds[few] = append(kinds[few], peer.IdleMachine{Machine: fmt.Sprintf("n-%06d", 5000+i)})
	}
	offers := planning.InterleaveKinds(kinds, []scheduler.InstanceKind{many, few}, planning.MaxIdleOffers)
	offered := map[string]bool{}
	for _, offer := range offers {
		offered[offer.Machine] = true
	}
	if len(offers) != planning.MaxIdleOffers || len(offered) != planning.MaxIdleOffers {
		t.Fatalf("got %d offers of %d machines, want %d", len(offers), len(offered), planning.MaxIdleOffers)
	}
	for _, idle := range kinds[few] {
		if !offered[idle.Machine] {
			t.Errorf("got no offer of %s, want all machines of the rare kind offered", idle.Machine)
		}
	}
}

// TestLargestHeartbeatFits guards against a heartbeat with the maximum of every list that is
// larger than its receiver reads. The receiver would then get nothing at all from it.
func TestLargestHeartbeatFits(t *testing.T) {
	heartbeat := &peer.Heartbeat{
		Node: "nodo-0.example.org", Healthy: true, WriteRate: 0.5, SchemaVersion: records.SchemaVersion,
	}
	for i := range planning.MaxMachineRequests {
		heartbeat.MachineRequests = append(heartbeat.MachineRequests, peer.MachineRequest{
			Machine: fmt.Sprintf("n-%09d", i), Partition: 63, Tier: 10, InheritedTier: 10, Guaranteed: true,
		})
	}
	for i := range planning.MaxIdleOffers {
		heartbeat.IdleMachines = append(heartbeat.IdleMachines, peer.IdleMachine{Machine: fmt.Sprintf("n-%09d", i)})
	}
	for i := range maxCancellationNotices {
		heartbeat.CancelledJobs = append(heartbeat.CancelledJobs, fmt.Sprintf("wk-%09d", i))
	}
	for i := range provisioning.MaxFindings {
		name := fmt.Sprintf("n-%09d", i)
		heartbeat.FailedMachines = append(heartbeat.FailedMachines, name)
		heartbeat.UnlistedMachines = append(heartbeat.UnlistedMachines, name)
		heartbeat.Orphans = append(heartbeat.Orphans, peer.Orphan{
			Machine: name, Type: "cordillera", Zone: "zona-caribe", Spot: true,
		})
	}
	encoded, err := peer.Encode(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if limit := 64 << 10; len(encoded) > limit {
		t.Errorf("got a heartbeat of %d bytes, want at most %d", len(encoded), limit)
	}
}
