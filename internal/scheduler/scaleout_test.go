package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestIdleTimeCeiling guards against dear machines rented for work of which
// nobody expects when it is done: 55 ordinary machines at five times the price
// of spot were once rented for it in the last half minute of a day.
func TestIdleTimeCeiling(t *testing.T) {
	ops := settings.Defaults()
	types := []api.MachineType{
		{Name: "small", CPUs: 12, GPUs: 2, MemoryGB: 72, Price: 6, SpotPrice: 2, BootS: 40, Zones: []string{"a"}},
	}
	const waited = 700 * micros.Second
	refused := map[InstanceKind]bool{{Type: "small", Zone: "a", Spot: true}: true}
	aims := map[string][]settings.Objective{"billed": {{Kind: "finished", Class: "billed", WithinS: 400}}}
	for _, c := range []struct {
		what     string
		class    string
		priority api.Priority
		due      Deadline
		waited   micros.Micros
		refused  map[InstanceKind]bool
		rents    bool
	}{
		{"idle-time work, spot to be had", "idle", api.PriorityBestEffort, Deadline{}, waited, nil, true},
		{"idle-time work, only ordinary machines", "idle", api.PriorityBestEffort, Deadline{}, waited, refused, false},
		{"idle-time work that waited for very long", "idle", api.PriorityBestEffort, Deadline{}, 3 * waited, refused, true},
		{"with an objective for its class", "billed", api.PriorityBestEffort, Deadline{}, waited, refused, true},
		{"with a deadline", "idle", api.PriorityBestEffort, Deadline{WithinS: 900}, waited, refused, true},
		{"of a higher priority", "idle", "standard", Deadline{}, waited, refused, true},
	} {
		view := &Snapshot{Now: 1e12, MachineTypes: types, Operators: &ops, Objectives: aims, UnavailableKinds: c.refused}
		p := &planner{Snapshot: view, held: map[InstanceKind]int{}}
		spec := &api.Job{Class: c.class, Kind: api.Array, Priority: c.priority, Spot: true, Tasks: 10, GPUs: 1, EstimateS: 300}
		job := &Job{Spec: spec, Request: ResourcesOf(1, 1, 1), Tier: c.priority.Tier(), EligibleAt: view.Now - c.waited, Deadline: c.due}
		_, rented := p.cheapest(job, 10, map[InstanceKind]int{})
		if (rented != nil) != c.rents {
			t.Errorf("%s: rents: %t", c.what, rented != nil)
		}
	}
}
