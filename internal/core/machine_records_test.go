package core

import (
	"fmt"
	"strconv"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// TestMachineIsEmptyOnceAllRemovalsAreCommitted guards against a decision that depends on
// the iteration order of a map. Of the jobs whose tasks were removed from a machine, one call
// must drop all whose removals are committed, even if it visits an uncommitted one first.
func TestMachineIsEmptyOnceAllRemovalsAreCommitted(t *testing.T) {
	controller := newMachinesFixture(t)
	jobs := controller.cluster.Jobs
	machine := controller.cluster.Machines["m-0"]
	machine.UncommittedRemovals = map[string]bool{"a": true}
	jobs["a"].UncommittedTasks = 1
	for i := range 30 {
		id := strconv.Itoa(i)
		jobs[id] = &cluster.Job{ID: id}
		machine.UncommittedRemovals[id] = true
	}
	if controller.cluster.IsEmptyAndCommitted(machine) {
		t.Error("a removal is not committed: got an empty machine, want it not empty")
	}
	for i := range 30 {
		jobs[strconv.Itoa(i)].UncommittedTasks = 1 // other changes of these jobs are uncommitted
	}
	jobs["a"].UncommittedTasks = 0
	if !controller.cluster.IsEmptyAndCommitted(machine) {
		t.Error("all removals are committed: got a machine that is not empty, want it empty")
	}
}

// TestDeletionsAreForgotten guards against deleted machines that are kept forever or forgotten
// too early. A list that only grows would be searched in full with each deletion.
func TestDeletionsAreForgotten(t *testing.T) {
	fixture := newSyncedFixture(t)
	fixture.Now = 1000 * micros.Second
	for i := range 6000 {
		fixture.deletions.Record(fmt.Sprintf("n-%06d", i))
	}
	if !fixture.deletions.RecentlyDeleted("n-000000") || !fixture.deletions.RecentlyDeleted("n-005999") {
		t.Error("right after 6000 deletions: got one that is forgotten, want all kept")
	}
	fixture.Now += cluster.DeletionRetention + 1
	fixture.deletions.Record("n-006000")
	if len(fixture.deletions.DeletedAt) != 1 || len(fixture.deletions.ByTime) != 1 || !fixture.deletions.RecentlyDeleted("n-006000") {
		t.Errorf("got %d deletions, %d by time, want only n-006000", len(fixture.deletions.DeletedAt), len(fixture.deletions.ByTime))
	}
}

// TestMachineAgeIgnoresLauncherClock guards against a machine that counts as overdue because
// the clock of the controller that launched it is hours behind ours. The machine's age comes
// from the cloud's list instead.
func TestMachineAgeIgnoresLauncherClock(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.Now = 20_000 * micros.Second
	record := records.Machine{
		Name: "n-2", Type: "g4", Zone: "alta", Epoch: 1, MinToken: 12, LaunchedAt: fixture.Now - 10_800*micros.Second,
	}
	fixture.registry.ApplyRecord(record, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 2}, 12)
	machine := fixture.cluster.Machines["n-2"]
	if machine.LaunchedAt != fixture.Now {
		t.Errorf("age of a machine that was just read: got %d s, want 0 s", (fixture.Now - machine.LaunchedAt).WholeSeconds())
	}
	fixture.instances.ObserveInstance(api.Instance{ID: "n-2", Type: "g4", Zone: "alta", State: api.InstanceBooting, AgeS: 40})
	if machine.LaunchedAt != fixture.Now-40*micros.Second {
		t.Errorf("age of a listed machine: got %d s, want 40 s", (fixture.Now - machine.LaunchedAt).WholeSeconds())
	}
}
