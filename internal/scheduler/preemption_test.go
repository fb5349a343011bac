package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// jobWithTier returns a job with the given effective tier, which may be higher than that of
// its priority.
func jobWithTier(kind api.JobKind, priority api.Priority, tier int) *Job {
	return &Job{Spec: &api.Job{Kind: kind, Priority: priority}, Tier: tier}
}

// TestInheritedTierPreemption guards against gangs preempting other gangs of their own class
// by a tier that they inherit from a pipeline. One gang is then preempted ten times in a row.
// By an inherited tier a job may preempt only tasks of arrays that did not start recently.
func TestInheritedTierPreemption(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		victim Allocation
		want   bool
	}{
		{"a gang of its own class", Allocation{Job: jobWithTier(api.KindGang, "standard", 4)}, false},
		{"a gang of a lower tier than the job's own", Allocation{Job: jobWithTier(api.KindGang, "best_effort", 1)}, true},
		{"an array of its own tier", Allocation{Job: jobWithTier(api.KindArray, "standard", 4)}, true},
		{"an array that started recently", Allocation{Job: jobWithTier(api.KindArray, "standard", 4), StartedRecently: true}, false},
		{"an array with an equal inherited tier", Allocation{Job: jobWithTier(api.KindArray, "best_effort", 7)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			withInheritedTier := jobWithTier(api.KindGang, "standard", 7)
			preemptor := newPreemptor(newPlanState(&Snapshot{}))
			if got := preemptor.mayPreempt(withInheritedTier, tc.victim); got != tc.want {
				t.Errorf("may be preempted: got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestCheapestVictimSets checks that tasks are preempted on the machine where the least work
// is lost, with a preference for the partition's own machines.
func TestCheapestVictimSets(t *testing.T) {
	t.Parallel()
	machineType := &api.MachineType{Name: "g4"}
	machine := func(name string, lostWork micros.Micros) *Machine {
		lowTierJob := jobWithTier(api.KindArray, api.PriorityBestEffort, 1)
		return &Machine{
			Name: name, Type: machineType, Schedulable: true, Total: NewResources(4, 4, 0),
			Allocations: []Allocation{{Job: lowTierJob, Request: NewResources(4, 4, 0), LostWork: lostWork}},
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
			"the machine with the least lost work",
			[]*Machine{machine("m-0", 9*micros.Second), machine("m-1", 3*micros.Second)},
			"m-1",
		},
		{
			"slightly more lost work rather than another partition's machine",
			[]*Machine{fromOtherPartition(machine("m-0", 3*micros.Second)), machine("m-1", 7*micros.Second)},
			"m-1",
		},
		{
			"another partition's machine rather than much more lost work",
			[]*Machine{fromOtherPartition(machine("m-0", 3*micros.Second)), machine("m-1", 9*micros.Second)},
			"m-0",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			preemptor := newPreemptor(newPlanState(&Snapshot{Machines: tc.machines}))
			job := &Job{
				ID: "urgent", Spec: &api.Job{Kind: api.KindArray, Priority: "urgent", Tasks: 1}, Tier: 7,
				Request: NewResources(4, 4, 0), PendingTasks: 1, TasksPerZone: map[string]int{},
			}
			sets := preemptor.cheapestVictimSets(job)
			if len(sets) != 1 || sets[0].machine.Name != tc.want || len(sets[0].victims) != 1 {
				t.Errorf("victim sets: got %+v, want one victim on %s", sets, tc.want)
			}
		})
	}
}
