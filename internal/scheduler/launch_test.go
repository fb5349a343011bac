package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestIdlePriceCeiling guards against launching expensive machines for idle-time work.
// Without the lower ceiling, 55 on-demand machines at five times the spot price are
// launched for such work in the last half minute of a scenario.
func TestIdlePriceCeiling(t *testing.T) {
	t.Parallel()
	const waited = 700 * micros.Second
	spotUnavailable := map[InstanceKind]bool{{Type: "small", Zone: "a", Spot: true}: true}
	for _, tc := range []struct {
		name        string
		class       string
		priority    api.Priority
		deadline    Deadline
		waited      micros.Micros
		unavailable map[InstanceKind]bool
		wantLaunch  bool
	}{
		{"idle-time work, spot available", "idle", api.PriorityBestEffort, Deadline{}, waited, nil, true},
		{"idle-time work, only on-demand machines", "idle", api.PriorityBestEffort, Deadline{}, waited, spotUnavailable, false},
		{"idle-time work that has waited very long", "idle", api.PriorityBestEffort, Deadline{}, 3 * waited, spotUnavailable, true},
		{"with an objective for its class", "billed", api.PriorityBestEffort, Deadline{}, waited, spotUnavailable, true},
		{"with a deadline", "idle", api.PriorityBestEffort, Deadline{WithinS: 900}, waited, spotUnavailable, true},
		{"of a higher priority", "idle", "standard", Deadline{}, waited, spotUnavailable, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			snapshot := launchSnapshot()
			snapshot.UnavailableKinds = tc.unavailable
			job := &Job{
				Spec: &api.Job{
					Class: tc.class, Kind: api.KindArray, Priority: tc.priority, Spot: true, Tasks: 10, GPUs: 1, EstimateS: 300,
				},
				Request: NewResources(1, 1, 1), Tier: tc.priority.Tier(),
				EligibleAt: snapshot.Now - tc.waited, Deadline: tc.deadline,
			}
			option := newDemandPlanner(newPlanState(snapshot)).cheapestLaunch(job, 10)
			if (option != nil) != tc.wantLaunch {
				t.Errorf("launches: got %t, want %t", option != nil, tc.wantLaunch)
			}
		})
	}
}

// launchSnapshot returns a snapshot without machines and with one machine type, whose spot
// price is a third of its on-demand price.
func launchSnapshot() *Snapshot {
	operators := settings.DefaultOperators()
	return &Snapshot{
		Now:       1e12,
		Operators: &operators,
		MachineTypes: []api.MachineType{
			{Name: "small", CPUs: 12, GPUs: 2, MemoryGB: 72, Price: 6, SpotPrice: 2, BootS: 40, Zones: []string{"a"}},
		},
		Objectives: map[string][]settings.Objective{"billed": {{Kind: "finished", Class: "billed", WithinS: 400}}},
	}
}
