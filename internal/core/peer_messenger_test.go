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

// TestIdleOffersReachEachKind guards against thousands of idle machines of one type that
// hide the few of another: only so many are offered at a time, and in the order of their
// names the others never were.
func TestIdleOffersReachEachKind(t *testing.T) {
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
		t.Fatalf("%d offers of %d machines, want %d", len(offers), len(offered), planning.MaxIdleOffers)
	}
	for _, idle := range kinds[few] {
		if !offered[idle.Machine] {
			t.Errorf("%s, of the kind that there are few of, is not offered", idle.Machine)
		}
	}
}

// TestLargestHeartbeatFits guards against a heartbeat to another controller that is larger
// than what is read: with as much of everything as there may be, it would say nothing at all.
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
		heartbeat.Failed = append(heartbeat.Failed, name)
		heartbeat.Unlisted = append(heartbeat.Unlisted, name)
		heartbeat.Orphans = append(heartbeat.Orphans, peer.Orphan{
			Machine: name, Type: "cordillera", Zone: "zona-caribe", Spot: true,
		})
	}
	encoded, err := peer.Encode(heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	if limit := 64 << 10; len(encoded) > limit {
		t.Errorf("%d bytes, more than %d", len(encoded), limit)
	}
}
