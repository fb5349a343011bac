package scheduler

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// TestUsedClaimReleasesRoom guards against room that no job may use. A claim on a machine
// ends when the first task of its job is bound to that machine, and other jobs of the same
// plan may then have the rest of it. Before that, only the job with the claim may use it.
func TestUsedClaimReleasesRoom(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		freeGPUs float64  // on the claimed machine
		want     []string // jobs of the bound tasks
	}{
		{"room for both", 4, []string{"a", "b"}},
		{"room only for the job with the claim", 2, []string{"a"}},
		{"no room for the job with the claim", 1, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			operators := settings.DefaultOperators()
			machineType := api.MachineType{Name: "g4", CPUs: 24, GPUs: 4, Price: 8, BootS: 8}
			machine := &Machine{
				Name: "m-0", Type: &machineType, Zone: "alta", Schedulable: true, ClaimedBy: "a",
				Total: NewResources(24, 4, 0), Free: NewResources(24, tc.freeGPUs, 0),
			}
			plan := MakePlan(&Snapshot{
				Now: 200 * micros.Second, MachineTypes: []api.MachineType{machineType}, Machines: []*Machine{machine},
				Jobs:             []*Job{singleTaskArray("a", 2, 0), singleTaskArray("b", 1, micros.Second)},
				Quotas:           map[string]*Quota{"sur": {}},
				UnavailableKinds: map[InstanceKind]bool{{Type: "g4", Zone: "alta"}: true},
				Operators:        &operators,
			})
			if len(plan.Bindings) != len(tc.want) || len(boundMachines(plan.Bindings)) != len(tc.want) {
				t.Fatalf("bound tasks: got %v, want %d", boundMachines(plan.Bindings), len(tc.want))
			}
			for i, binding := range plan.Bindings {
				if binding.Job.ID != tc.want[i] {
					t.Errorf("binding %d: got job %s, want %s", i, binding.Job.ID, tc.want[i])
				}
			}
		})
	}
}

// singleTaskArray returns an array with one task that requests only GPUs.
func singleTaskArray(id string, gpus float64, eligibleAt micros.Micros) *Job {
	return &Job{
		ID: id, Request: NewResources(0, gpus, 0), Tier: 4, EligibleAt: eligibleAt,
		PendingTasks: 1, TasksPerZone: map[string]int{},
		Spec: &api.Job{Kind: api.KindArray, Team: "sur", Priority: "standard", Tasks: 1, GPUs: gpus, EstimateS: 90},
	}
}

// TestMachineSortKey checks which of two machines is better for a task.
func TestMachineSortKey(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name          string
		kind          api.JobKind
		better, worse Machine
	}{
		{
			"an array: spot before on-demand", api.KindArray,
			Machine{Spot: true, Free: NewResources(8, 8, 0)},
			Machine{Free: NewResources(2, 2, 0)},
		},
		{
			"an array: an on-demand machine with the image before a spot machine that must fetch it", api.KindArray,
			Machine{CachedImages: []string{"image"}},
			Machine{Spot: true},
		},
		{
			"an array: the tightest fit in GPUs", api.KindArray,
			Machine{Free: NewResources(9, 1, 0)},
			Machine{Free: NewResources(3, 2, 0)},
		},
		{
			"an array: with equal free GPUs, the tightest fit in cores", api.KindArray,
			Machine{Free: NewResources(3, 2, 0)},
			Machine{Free: NewResources(9, 2, 0)},
		},
		{
			"an array: not spread over zones", api.KindArray,
			Machine{Zone: "used", Free: NewResources(1, 1, 0)},
			Machine{Zone: "unused", Free: NewResources(2, 1, 0)},
		},
		{
			"a service: spread over zones before all else", api.KindService,
			Machine{Zone: "unused"},
			Machine{Zone: "used", Spot: true, CachedImages: []string{"image"}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			job := &Job{
				Spec:         &api.Job{Kind: tc.kind, Image: "image", ImageGB: 10},
				Request:      NewResources(1, 1, 0),
				TasksPerZone: map[string]int{"used": 1},
			}
			machineType := &api.MachineType{FetchGBPerS: 1} // 10 s for the image
			tc.better.Type, tc.worse.Type = machineType, machineType
			better, worse := newMachineSortKey(job, &tc.better), newMachineSortKey(job, &tc.worse)
			if better.compare(&worse) >= 0 || worse.compare(&better) <= 0 {
				t.Errorf("sort keys: got %+v not before %+v, want it before", better, worse)
			}
		})
	}
}

// boundMachines returns the name of the machine of each task that is bound.
func boundMachines(bindings []Binding) []string {
	var names []string
	for _, binding := range bindings {
		for range binding.Tasks {
			names = append(names, binding.Machine.Name)
		}
	}
	return names
}

// TestGangUsesFewestZonesAndMachines checks which machines the tasks of a gang are bound to.
func TestGangUsesFewestZonesAndMachines(t *testing.T) {
	t.Parallel()
	machineType := &api.MachineType{Name: "g4", Price: 8}
	machine := func(name, zone string, gpus float64) *Machine {
		return &Machine{
			Name: name, Type: machineType, Zone: zone, Schedulable: true,
			Total: NewResources(8, 4, 0), Free: NewResources(8, gpus, 0),
		}
	}
	for _, tc := range []struct {
		name     string
		tasks    int
		oneZone  bool
		machines []*Machine
		want     []string // machine of each task; nil: the gang is not placed
	}{
		{
			"the zone that holds the whole gang", 3, false,
			[]*Machine{machine("a-1", "a", 2), machine("b-1", "b", 1), machine("b-2", "b", 2)},
			[]string{"b-2", "b-2", "b-1"},
		},
		{
			"among such zones, the one with fewer machines", 2, false,
			[]*Machine{machine("a-1", "a", 1), machine("a-2", "a", 1), machine("b-1", "b", 2)},
			[]string{"b-1", "b-1"},
		},
		{
			"two zones if none holds the whole gang", 3, false,
			[]*Machine{machine("a-1", "a", 1), machine("b-1", "b", 2)},
			[]string{"b-1", "b-1", "a-1"},
		},
		{
			"nothing if it must stay in one zone and none holds the whole gang", 3, true,
			[]*Machine{machine("a-1", "a", 1), machine("b-1", "b", 2)},
			nil,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			state := newPlanState(&Snapshot{Machines: tc.machines})
			gang := &Job{
				ID: "gang", Request: NewResources(0, 1, 0), PendingTasks: tc.tasks, TasksPerZone: map[string]int{},
				Spec: &api.Job{Kind: api.KindGang, Tasks: tc.tasks, OneZone: tc.oneZone},
			}
			if placed := newPlacer(state).placeGang(gang); placed != (tc.want != nil) {
				t.Fatalf("placed: got %t, want %t", placed, tc.want != nil)
			}
			if got := boundMachines(state.plan.Bindings); !slices.Equal(got, tc.want) {
				t.Errorf("machines of the tasks: got %v, want %v", got, tc.want)
			}
		})
	}
}
