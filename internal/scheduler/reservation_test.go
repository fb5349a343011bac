package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestBackfill checks that a machine that is reserved for a blocked job takes what ends
// before that job can begin, and nothing else.
func TestBackfill(t *testing.T) {
	t.Parallel()
	const now, freeAt = 200 * micros.Second, 300 * micros.Second
	for _, tc := range []struct {
		name     string
		kind     api.JobKind
		estimate float64 // seconds
		bound    bool
	}{
		{"ends as the reserved job begins", api.Array, 100, true},
		{"ends after it", api.Array, 101, false},
		{"a service never ends", api.Service, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			operators := settings.Defaults()
			running := jobOfTier(api.Array, "production", 10)
			machine := &Machine{
				Type: &api.MachineType{Name: "g4"}, Schedulable: true, Total: ResourcesOf(4, 4, 0), Free: ResourcesOf(2, 2, 0),
				Allocations: []Allocation{{Job: running, Request: ResourcesOf(2, 2, 0), ExpectedEnd: freeAt}},
			}
			job := func(id string, kind api.JobKind, cpus float64, tier int, estimate float64) *Job {
				return &Job{
					ID: id, Request: ResourcesOf(cpus, 0, 0), Tier: tier, EligibleAt: now, PendingTasks: 1, TasksPerZone: map[string]int{},
					Spec: &api.Job{Kind: kind, Priority: "standard", Tasks: 1, EstimateS: estimate},
				}
			}
			plan := MakePlan(&Snapshot{
				Now: now, Operators: &operators, Machines: []*Machine{machine}, Quotas: map[string]*Quota{"": {}},
				Jobs: []*Job{job("large", api.Gang, 4, 10, 60), job("small", tc.kind, 1, 4, tc.estimate)},
			})
			if got := len(plan.Bindings) == 1; got != tc.bound {
				t.Errorf("%d tasks are bound", len(plan.Bindings))
			}
			if reason := plan.BlockedReasons["large"]; reason == "" {
				t.Error("the large job is not blocked")
			}
		})
	}
}
