package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestUsedClaimLeavesRoom guards against room that nobody takes: a claim ends with the
// first task that it was for, and what is left of the machine is for the other jobs of
// the same plan. Until then it is for the one that has it only.
func TestUsedClaimLeavesRoom(t *testing.T) {
	ops := settings.Defaults()
	for _, c := range []struct {
		what   string
		gpus   float64 // that are free on the claimed machine
		starts int
	}{
		{"room for both", 4, 2},
		{"room for the one that has the claim", 2, 1},
		{"no room for the one that has the claim", 1, 0},
	} {
		typ := api.MachineType{Name: "g4", CPUs: 24, GPUs: 4, Price: 8, BootS: 8}
		job := func(id string, gpus float64, at micros.Micros) *Job {
			spec := &api.Job{Kind: api.Array, Team: "sur", Priority: "standard", Tasks: 1, GPUs: gpus, EstimateS: 90}
			return &Job{ID: id, Spec: spec, Request: ResourcesOf(0, gpus, 0), Tier: 4, EligibleAt: at, PendingTasks: 1, TasksPerZone: map[string]int{}}
		}
		m := &Machine{Name: "m-0", Type: &typ, Zone: "alta", Total: ResourcesOf(24, 4, 0), Free: ResourcesOf(24, c.gpus, 0), Schedulable: true, ClaimedBy: "a"}
		plan := MakePlan(&Snapshot{
			Now: 200 * micros.Second, MachineTypes: []api.MachineType{typ}, Machines: []*Machine{m},
			Jobs:   []*Job{job("a", 2, 0), job("b", 1, micros.Second)},
			Quotas: map[string]*Quota{"sur": {}}, UnavailableKinds: map[InstanceKind]bool{{Type: "g4", Zone: "alta"}: true},
			Operators: &ops,
		})
		if len(plan.Bindings) != c.starts {
			t.Errorf("%s: %d tasks start, not %d", c.what, len(plan.Bindings), c.starts)
		}
		for i, s := range plan.Bindings {
			if want := []string{"a", "b"}[i]; s.Job.ID != want {
				t.Errorf("%s: start %d is of %s, not %s", c.what, i, s.Job.ID, want)
			}
		}
	}
}
