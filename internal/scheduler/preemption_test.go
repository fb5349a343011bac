package scheduler

import (
	"testing"

	"spurmoor/internal/api"
)

// TestLentPriorityStops guards against gangs that a pipeline names stopping
// others of their own class, one of them ten times in a row: a lent priority
// stops tasks of arrays only, and not those that have just begun.
func TestLentPriorityStops(t *testing.T) {
	p := &planner{Snapshot: &Snapshot{}}
	job := func(kind api.JobKind, priority api.Priority, tier int) *Job {
		return &Job{Spec: &api.Job{Kind: kind, Priority: priority}, Tier: tier}
	}
	lent := job(api.Gang, "standard", 7)
	for _, c := range []struct {
		what string
		u    Allocation
		may  bool
	}{
		{"a gang of its own class", Allocation{Job: job(api.Gang, "standard", 4)}, false},
		{"a gang of a lower tier, as ever", Allocation{Job: job(api.Gang, "best_effort", 1)}, true},
		{"an array of its own tier", Allocation{Job: job(api.Array, "standard", 4)}, true},
		{"such an array just begun", Allocation{Job: job(api.Array, "standard", 4), StartedRecently: true}, false},
		{"an array that was lent as much", Allocation{Job: job(api.Array, "best_effort", 7)}, false},
	} {
		if got := p.mayStop(lent, c.u); got != c.may {
			t.Errorf("%s: may be stopped: %t", c.what, got)
		}
	}
}
