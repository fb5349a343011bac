package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// jobOfTier is a job of a kind and priority that is ranked with a tier.
func jobOfTier(kind api.JobKind, priority api.Priority, tier int) *Job {
	return &Job{Spec: &api.Job{Kind: kind, Priority: priority}, Tier: tier}
}

// TestLentTierPreempts guards against gangs that a pipeline needs preempting others of
// their own class, one of them ten times in a row: a lent tier preempts tasks of
// arrays only, and not those that have just begun.
func TestLentTierPreempts(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		victim Allocation
		may    bool
	}{
		{"a gang of its own class", Allocation{Job: jobOfTier(api.Gang, "standard", 4)}, false},
		{"a gang of a lower tier, as ever", Allocation{Job: jobOfTier(api.Gang, "best_effort", 1)}, true},
		{"an array of its own tier", Allocation{Job: jobOfTier(api.Array, "standard", 4)}, true},
		{"such an array just begun", Allocation{Job: jobOfTier(api.Array, "standard", 4), StartedRecently: true}, false},
		{"an array that was lent as much", Allocation{Job: jobOfTier(api.Array, "best_effort", 7)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withLentTier := jobOfTier(api.Gang, "standard", 7)
			preemptor := newPreemptor(newPlanState(&Snapshot{}))
			if got := preemptor.mayPreempt(withLentTier, tc.victim); got != tc.may {
				t.Errorf("may be preempted: %t", got)
			}
		})
	}
}

// TestCheapestVictims checks which machine is emptied for a job: the one on which the
// least work is lost.
func TestCheapestVictims(t *testing.T) {
	t.Parallel()
	machineType := &api.MachineType{Name: "g4"}
	machine := func(name string, lostWork micros.Micros) *Machine {
		low := jobOfTier(api.Array, api.PriorityBestEffort, 1)
		return &Machine{
			Name: name, Type: machineType, Schedulable: true, Total: ResourcesOf(4, 4, 0),
			Allocations: []Allocation{{Job: low, Request: ResourcesOf(4, 4, 0), LostWork: lostWork}},
		}
	}
	fromOtherPartition := func(m *Machine) *Machine {
		m.HeldByOtherPartition = true
		return m
	}
	for _, tc := range []struct {
		name     string
		machines []*Machine
		want     string
	}{
		{
			"the least work lost",
			[]*Machine{machine("m-0", 9*micros.Second), machine("m-1", 3*micros.Second)},
			"m-1",
		},
		{
			"a little more of it rather than another partition's machine",
			[]*Machine{fromOtherPartition(machine("m-0", 3*micros.Second)), machine("m-1", 7*micros.Second)},
			"m-1",
		},
		{
			"another partition's machine rather than much more of it",
			[]*Machine{fromOtherPartition(machine("m-0", 3*micros.Second)), machine("m-1", 9*micros.Second)},
			"m-0",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			preemptor := newPreemptor(newPlanState(&Snapshot{Machines: tc.machines}))
			job := &Job{
				ID: "urgent", Spec: &api.Job{Kind: api.Array, Priority: "urgent", Tasks: 1}, Tier: 7,
				Request: ResourcesOf(4, 4, 0), PendingTasks: 1, TasksPerZone: map[string]int{},
			}
			sets := preemptor.cheapestVictimSets(job)
			if len(sets) != 1 || sets[0].machine.Name != tc.want || len(sets[0].victims) != 1 {
				t.Errorf("chosen: %+v, not what is on %s", sets, tc.want)
			}
		})
	}
}
