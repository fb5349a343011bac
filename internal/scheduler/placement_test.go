package scheduler

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestUsedClaimLeavesRoom guards against room that nobody takes: a claim ends with the
// first task that it was for, and what is left of the machine is for the other jobs of
// the same plan. Until then it is for the job that has the claim only.
func TestUsedClaimLeavesRoom(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		freeGPUs float64 // on the claimed machine
		bound    []string
	}{
		{"room for both", 4, []string{"a", "b"}},
		{"room for the one that has the claim", 2, []string{"a"}},
		{"no room for the one that has the claim", 1, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			operators := settings.Defaults()
			machineType := api.MachineType{Name: "g4", CPUs: 24, GPUs: 4, Price: 8, BootS: 8}
			machine := &Machine{
				Name: "m-0", Type: &machineType, Zone: "alta", Schedulable: true, ClaimedBy: "a",
				Total: ResourcesOf(24, 4, 0), Free: ResourcesOf(24, tc.freeGPUs, 0),
			}
			plan := MakePlan(&Snapshot{
				Now: 200 * micros.Second, MachineTypes: []api.MachineType{machineType}, Machines: []*Machine{machine},
				Jobs:             []*Job{singleTaskArray("a", 2, 0), singleTaskArray("b", 1, micros.Second)},
				Quotas:           map[string]*Quota{"sur": {}},
				UnavailableKinds: map[InstanceKind]bool{{Type: "g4", Zone: "alta"}: true},
				Operators:        &operators,
			})
			if len(plan.Bindings) != len(tc.bound) {
				t.Fatalf("%d tasks are bound, not %d", len(plan.Bindings), len(tc.bound))
			}
			for i, binding := range plan.Bindings {
				if binding.Job.ID != tc.bound[i] {
					t.Errorf("binding %d is of %s, not %s", i, binding.Job.ID, tc.bound[i])
				}
			}
		})
	}
}

// singleTaskArray is an array of one task that needs GPUs only.
func singleTaskArray(id string, gpus float64, eligibleAt micros.Micros) *Job {
	return &Job{
		ID: id, Request: ResourcesOf(0, gpus, 0), Tier: 4, EligibleAt: eligibleAt,
		PendingTasks: 1, TasksPerZone: map[string]int{},
		Spec: &api.Job{Kind: api.Array, Team: "sur", Priority: "standard", Tasks: 1, GPUs: gpus, EstimateS: 90},
	}
}

// TestMachineOrder checks which of two machines with room a task is bound to.
func TestMachineOrder(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		kind          api.JobKind
		better, worse Machine
	}{
		{
			"an array: spot before on-demand", api.Array,
			Machine{Spot: true, Free: ResourcesOf(8, 8, 0)},
			Machine{Free: ResourcesOf(2, 2, 0)},
		},
		{
			"an array: an on-demand machine with the image before a spot one that fetches it", api.Array,
			Machine{CachedImages: []string{"image"}},
			Machine{Spot: true},
		},
		{
			"an array: the tightest room in GPUs", api.Array,
			Machine{Free: ResourcesOf(9, 1, 0)},
			Machine{Free: ResourcesOf(3, 2, 0)},
		},
		{
			"an array: of as many GPUs, the tightest room in cores", api.Array,
			Machine{Free: ResourcesOf(3, 2, 0)},
			Machine{Free: ResourcesOf(9, 2, 0)},
		},
		{
			"an array: not spread over zones", api.Array,
			Machine{Zone: "used", Free: ResourcesOf(1, 1, 0)},
			Machine{Zone: "unused", Free: ResourcesOf(2, 1, 0)},
		},
		{
			"a service: spread over zones before all else", api.Service,
			Machine{Zone: "unused"},
			Machine{Zone: "used", Spot: true, CachedImages: []string{"image"}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			job := &Job{
				Spec:         &api.Job{Kind: tc.kind, Image: "image", ImageGB: 10},
				Request:      ResourcesOf(1, 1, 0),
				TasksPerZone: map[string]int{"used": 1},
			}
			machineType := &api.MachineType{FetchGBPerS: 1} // 10 s for the image
			tc.better.Type, tc.worse.Type = machineType, machineType
			better, worse := newMachineOrder(job, &tc.better), newMachineOrder(job, &tc.worse)
			if better.compare(&worse) >= 0 || worse.compare(&better) <= 0 {
				t.Errorf("%+v does not come before %+v", better, worse)
			}
		})
	}
}

// TestGangTakesFewestZonesAndMachines checks the set of machines that a gang is bound to.
func TestGangTakesFewestZonesAndMachines(t *testing.T) {
	t.Parallel()
	machineType := &api.MachineType{Name: "g4", Price: 8}
	machine := func(name, zone string, gpus float64) *Machine {
		return &Machine{
			Name: name, Type: machineType, Zone: zone, Schedulable: true,
			Total: ResourcesOf(8, 4, 0), Free: ResourcesOf(8, gpus, 0),
		}
	}
	for _, tc := range []struct {
		name     string
		tasks    int
		oneZone  bool
		machines []*Machine
		want     []string // machine of each task
	}{
		{
			"the zone that holds all", 3, false,
			[]*Machine{machine("a-1", "a", 2), machine("b-1", "b", 1), machine("b-2", "b", 2)},
			[]string{"b-2", "b-2", "b-1"},
		},
		{
			"of such zones the one with fewer machines", 2, false,
			[]*Machine{machine("a-1", "a", 1), machine("a-2", "a", 1), machine("b-1", "b", 2)},
			[]string{"b-1", "b-1"},
		},
		{
			"two zones where none holds all", 3, false,
			[]*Machine{machine("a-1", "a", 1), machine("b-1", "b", 2)},
			[]string{"b-1", "b-1", "a-1"},
		},
		{
			"nothing where it must be in one zone and none holds all", 3, true,
			[]*Machine{machine("a-1", "a", 1), machine("b-1", "b", 2)},
			nil,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			state := newPlanState(&Snapshot{Machines: tc.machines})
			gang := &Job{
				ID: "gang", Request: ResourcesOf(0, 1, 0), PendingTasks: tc.tasks, TasksPerZone: map[string]int{},
				Spec: &api.Job{Kind: api.Gang, Tasks: tc.tasks, OneZone: tc.oneZone},
			}
			if placed := newPlacer(state).placeGang(gang); placed != (tc.want != nil) {
				t.Fatalf("placed: %t", placed)
			}
			if len(state.plan.Bindings) != len(tc.want) {
				t.Fatalf("%d tasks are bound, not %d", len(state.plan.Bindings), len(tc.want))
			}
			for i, binding := range state.plan.Bindings {
				if binding.Machine.Name != tc.want[i] {
					t.Errorf("task %d is bound to %s, not %s", i, binding.Machine.Name, tc.want[i])
				}
			}
		})
	}
}
