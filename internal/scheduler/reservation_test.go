package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestBackfill checks that a machine reserved for a blocked job accepts only tasks that end
// before that job can start.
func TestBackfill(t *testing.T) {
	t.Parallel()
	const now, freeAt = 200 * micros.Second, 300 * micros.Second
	for _, tc := range []struct {
		name      string
		kind      api.JobKind
		estimateS float64
		wantBound bool
	}{
		{"ends when the reserving job can start", api.KindArray, 100, true},
		{"ends after that", api.KindArray, 101, false},
		{"a service never ends", api.KindService, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			operators := settings.DefaultOperators()
			running := jobWithTier(api.KindArray, "production", 10)
			machine := &Machine{
				Type: &api.MachineType{Name: "g4"}, Schedulable: true, Total: NewResources(4, 4, 0), Free: NewResources(2, 2, 0),
				Allocations: []Allocation{{Job: running, Request: NewResources(2, 2, 0), ExpectedEnd: freeAt}},
			}
			job := func(id string, kind api.JobKind, cpus float64, tier int, estimateS float64) *Job {
				return &Job{
					ID: id, Request: NewResources(cpus, 0, 0), Tier: tier, EligibleAt: now, PendingTasks: 1, TasksPerZone: map[string]int{},
					Spec: &api.Job{Kind: kind, Priority: "standard", Tasks: 1, EstimateS: estimateS},
				}
			}
			plan := MakePlan(&Snapshot{
				Now: now, Operators: &operators, Machines: []*Machine{machine}, Quotas: map[string]*Quota{"": {}},
				Jobs: []*Job{job("large", api.KindGang, 4, 10, 60), job("small", tc.kind, 1, 4, tc.estimateS)},
			})
			if got := len(plan.Bindings) == 1; got != tc.wantBound {
				t.Errorf("bound: got %t (%d tasks), want %t", got, len(plan.Bindings), tc.wantBound)
			}
			if reason := plan.BlockedReasons["large"]; reason == "" {
				t.Error("reason why the large job is blocked: got none, want one")
			}
		})
	}
}
