package scheduler

import (
	"maps"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// TestReserveInAdvance checks which machines are reserved for a gang that must stay in one
// zone, and when they are expected to be empty.
func TestReserveInAdvance(t *testing.T) {
	t.Parallel()
	const now, longAgo = 1000 * micros.Second, 100 * micros.Second
	machineType := &api.MachineType{Name: "g4"}
	machine := func(name, zone string, busyFor micros.Micros) *Machine {
		task := Allocation{Job: jobWithTier(api.KindArray, "standard", 4), ExpectedEnd: now + busyFor}
		return &Machine{
			Name: name, Type: machineType, Zone: zone, Schedulable: true,
			Total: NewResources(4, 4, 0), Allocations: []Allocation{task},
		}
	}
	machines := []*Machine{
		machine("a-1", "a", 10*micros.Second), machine("a-2", "a", 90*micros.Second),
		machine("b-1", "b", 40*micros.Second), machine("b-2", "b", 50*micros.Second),
	}
	for _, tc := range []struct {
		name        string
		priority    api.Priority
		tasks       int
		eligibleAt  micros.Micros
		want        []string
		wantReadyAt micros.Micros
	}{
		{"the zone that is empty first", "standard", 2, longAgo, []string{"b-1", "b-2"}, now + 50*micros.Second},
		{"nothing if no zone holds the whole gang", "standard", 3, longAgo, nil, 0},
		{"tasks of a lower tier are preempted", "urgent", 2, longAgo, []string{"a-1", "a-2"}, now + PreemptionTime},
		{"nothing for a recent gang that can preempt", "urgent", 2, now, nil, 0},
		{"a recent gang that must wait", "standard", 2, now, []string{"b-1", "b-2"}, now + 50*micros.Second},
		{"nothing for a recent gang on a single machine", "standard", 1, now, nil, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			gang := &Job{
				ID: "gang", Request: NewResources(4, 4, 0), EligibleAt: tc.eligibleAt,
				PendingTasks: tc.tasks, TasksPerZone: map[string]int{},
				Spec: &api.Job{Kind: api.KindGang, Priority: tc.priority, Tasks: tc.tasks, OneZone: true},
			}
			reserved := ReserveInAdvance(now, now/2, machines, []*Job{gang})
			if got := slices.Sorted(maps.Keys(reserved)); !slices.Equal(got, tc.want) {
				t.Errorf("reserved machines: got %v, want %v", got, tc.want)
			}
			for name, reservation := range reserved {
				if reservation.Job != gang || reservation.ReadyAt != tc.wantReadyAt {
					t.Errorf("%s: got job %s, ready at %d; want job %s, ready at %d",
						name, reservation.Job.ID, reservation.ReadyAt, gang.ID, tc.wantReadyAt)
				}
			}
		})
	}
}
