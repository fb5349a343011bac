package core

import (
	"fmt"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// TestIdleOffersReachEachKind guards against thousands of idle machines of one type that
// hide the few of another: only so many are offered at a time, and in the order of
// their names the others never were.
func TestIdleOffersReachEachKind(t *testing.T) {
	many, few := scheduler.InstanceKind{Type: "g4", Zone: "alta"}, scheduler.InstanceKind{Type: "g8", Zone: "alta"}
	kinds := map[scheduler.InstanceKind][]peer.IdleMachine{}
	for i := range 4000 {
		kinds[many] = append(kinds[many], peer.IdleMachine{Machine: fmt.Sprintf("n-%06d", i)})
	}
	for i := range 8 {
		kinds[few] = append(kinds[few], peer.IdleMachine{Machine: fmt.Sprintf("n-%06d", 5000+i)})
	}
	list := planning.InterleaveKinds(kinds, []scheduler.InstanceKind{many, few}, planning.MaxIdleOffers)
	seen := map[string]bool{}
	for _, offer := range list {
		seen[offer.Machine] = true
	}
	if len(list) != planning.MaxIdleOffers || len(seen) != planning.MaxIdleOffers {
		t.Fatalf("%d offers of %d machines, want %d", len(list), len(seen), planning.MaxIdleOffers)
	}
	for _, offer := range kinds[few] {
		if !seen[offer.Machine] {
			t.Errorf("%s, of the kind that there are few of, is not offered", offer.Machine)
		}
	}
}

// TestHeartbeatFits guards against a message to another controller that is larger than
// what is read: with as much of everything as there may be, it says nothing at all.
func TestHeartbeatFits(t *testing.T) {
	h := &peer.Heartbeat{Node: "nodo-0.example.org", Healthy: true, WriteRate: 0.5, SchemaVersion: records.SchemaVersion}
	for i := range planning.MaxMachineRequests {
		h.MachineRequests = append(h.MachineRequests, peer.MachineRequest{Machine: fmt.Sprintf("n-%09d", i), Partition: 63, Tier: 10, InheritedTier: 10, Guaranteed: true})
	}
	for i := range planning.MaxIdleOffers {
		h.IdleMachines = append(h.IdleMachines, peer.IdleMachine{Machine: fmt.Sprintf("n-%09d", i)})
	}
	for i := range maxCancellationNotices {
		h.CancelledJobs = append(h.CancelledJobs, fmt.Sprintf("wk-%09d", i))
	}
	for i := range provisioning.MaxFindings {
		name := fmt.Sprintf("n-%09d", i)
		h.Failed, h.Unlisted = append(h.Failed, name), append(h.Unlisted, name)
		h.Orphans = append(h.Orphans, peer.Orphan{Machine: name, Type: "cordillera", Zone: "zona-caribe", Spot: true})
	}
	b, err := peer.Encode(h)
	if err != nil {
		t.Fatal(err)
	}
	if most := 64 << 10; len(b) > most {
		t.Errorf("%d bytes, more than %d", len(b), most)
	}
}

// TestDeletionsAreForgotten guards against a list of deleted machines that is searched
// whole with each deletion once it is long, and against forgetting one too early.
func TestDeletionsAreForgotten(t *testing.T) {
	c, _, _ := watched(t)
	c.Now = 1000 * micros.Second
	for i := range 6000 {
		c.deletions.RecordDeletion(fmt.Sprintf("n-%06d", i))
	}
	if !c.deletions.RecentlyDeleted("n-000000") || !c.deletions.RecentlyDeleted("n-005999") {
		t.Error("a deletion is forgotten at once")
	}
	c.Now += cluster.DeletionMemory + 1
	c.deletions.RecordDeletion("n-006000")
	if len(c.deletions.DeletedAt) != 1 || len(c.deletions.ByTime) != 1 || !c.deletions.RecentlyDeleted("n-006000") {
		t.Errorf("%d deletions are kept, %d in order", len(c.deletions.DeletedAt), len(c.deletions.ByTime))
	}
}

// TestAgeIsNotCompared guards against a machine that is taken for overdue because the
// clock of whoever rented it is hours behind ours; the cloud's list tells its age.
func TestAgeIsNotCompared(t *testing.T) {
	c, _, _, _ := holder(t)
	c.Now = 20_000 * micros.Second
	c.registry.ApplyMachineRecord(records.MachineRecord{Name: "n-2", Type: "g4", Zone: "alta", Epoch: 1, MinToken: 12, LaunchedAt: c.Now - 10_800*micros.Second}, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 2}, 12)
	m := c.cluster.Machines["n-2"]
	if m.LaunchedAt != c.Now {
		t.Errorf("read now, it counts as %d s old", (c.Now - m.LaunchedAt).WholeSeconds())
	}
	c.instances.ObserveListed(api.Instance{ID: "n-2", Type: "g4", Zone: "alta", State: api.InstanceBooting, AgeS: 40})
	if m.LaunchedAt != c.Now-40*micros.Second {
		t.Errorf("listed as 40 s old, it counts as %d s old", (c.Now - m.LaunchedAt).WholeSeconds())
	}
}
