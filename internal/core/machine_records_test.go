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

// TestMachineIsEmptyOnceAllDeparturesAreCommitted guards against a decision that depends on
// the order of a map: of the jobs whose tasks left a machine all that are committed are
// forgotten at once, whatever stands before them.
func TestMachineIsEmptyOnceAllDeparturesAreCommitted(t *testing.T) {
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
		t.Error("a task's leaving is not committed, and the machine counts as empty")
	}
	for i := range 30 {
		jobs[strconv.Itoa(i)].UncommittedTasks = 1 // something else of them is being committed
	}
	jobs["a"].UncommittedTasks = 0
	if !controller.cluster.IsEmptyAndCommitted(machine) {
		t.Error("what left was committed, and the machine does not count as empty")
	}
}

// TestDeletionsAreForgotten guards against a list of deleted machines that is searched
// whole with each deletion once it is long, and against forgetting one too early.
func TestDeletionsAreForgotten(t *testing.T) {
	fixture := newSyncedFixture(t)
	fixture.Now = 1000 * micros.Second
	for i := range 6000 {
		fixture.deletions.Record(fmt.Sprintf("n-%06d", i))
	}
	if !fixture.deletions.RecentlyDeleted("n-000000") || !fixture.deletions.RecentlyDeleted("n-005999") {
		t.Error("a deletion is forgotten at once")
	}
	fixture.Now += cluster.DeletionRetention + 1
	fixture.deletions.Record("n-006000")
	if len(fixture.deletions.DeletedAt) != 1 || len(fixture.deletions.ByTime) != 1 || !fixture.deletions.RecentlyDeleted("n-006000") {
		t.Errorf("%d deletions are kept, %d in order", len(fixture.deletions.DeletedAt), len(fixture.deletions.ByTime))
	}
}

// TestMachineAgeIsNotByAnotherClock guards against a machine that is taken for overdue
// because the clock of whoever launched it is hours behind ours; the cloud's list tells its age.
func TestMachineAgeIsNotByAnotherClock(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.Now = 20_000 * micros.Second
	record := records.Machine{
		Name: "n-2", Type: "g4", Zone: "alta", Epoch: 1, MinToken: 12, LaunchedAt: fixture.Now - 10_800*micros.Second,
	}
	fixture.registry.ApplyRecord(record, cluster.RecordOrigin{Epoch: 1, Partition: 0, Sequence: 2}, 12)
	machine := fixture.cluster.Machines["n-2"]
	if machine.LaunchedAt != fixture.Now {
		t.Errorf("read now, it counts as %d s old", (fixture.Now - machine.LaunchedAt).WholeSeconds())
	}
	fixture.instances.ObserveListed(api.Instance{ID: "n-2", Type: "g4", Zone: "alta", State: api.InstanceBooting, AgeS: 40})
	if machine.LaunchedAt != fixture.Now-40*micros.Second {
		t.Errorf("listed as 40 s old, it counts as %d s old", (fixture.Now - machine.LaunchedAt).WholeSeconds())
	}
}
