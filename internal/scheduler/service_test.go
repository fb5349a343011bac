package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"spurmoor/internal/api"
)

// bestMachine returns the best machine for one task by looking at all of them, or nil if none
// has room.
func bestMachine(p *placer, job *Job) *Machine {
	var best *Machine
	var bestKey machineSortKey
	for _, machine := range p.Machines {
		if !p.canPlace(job, machine) || job.tasksAllowedIn(machine.Zone) <= 0 {
			continue
		}
		sortKey := newMachineSortKey(job, machine)
		if best == nil || sortKey.compare(&bestKey) < 0 {
			best, bestKey = machine, sortKey
		}
	}
	return best
}

// randomServicePlan returns a placer with random machines and a service of random form. The same
// seed gives the same.
func randomServicePlan(seed uint64) (*placer, *Job) {
	rng := rand.New(rand.NewPCG(seed, 1))
	machineTypes := []*api.MachineType{{Name: "small", FetchGBPerS: 1}, {Name: "large", FetchGBPerS: 0.5}}
	snapshot := &Snapshot{Quotas: map[string]*Quota{}}
	for i := range 1 + rng.IntN(12) {
		machine := &Machine{
			Name: fmt.Sprintf("m-%d", i), Type: machineTypes[rng.IntN(2)], Zone: string(rune('a' + rng.IntN(3))),
			Spot: rng.IntN(3) == 0, Schedulable: true, Total: NewResources(8, 8, 0),
			Free: NewResources(float64(rng.IntN(9)), float64(rng.IntN(9)), 0),
		}
		if rng.IntN(3) == 0 {
			machine.CachedImages = []string{"image"}
		}
		snapshot.Machines = append(snapshot.Machines, machine)
	}
	spec := &api.Job{
		Kind: api.KindService, Tasks: 1 + rng.IntN(30), Image: "image", ImageGB: float64(rng.IntN(9)),
		Spot: rng.IntN(3) > 0, Spread: rng.IntN(3) == 0, OneZone: rng.IntN(4) == 0,
	}
	request := NewResources(float64(rng.IntN(3)), float64(1+rng.IntN(2)), 0)
	job := &Job{ID: "job", Spec: spec, Request: request, PendingTasks: spec.Tasks, TasksPerZone: map[string]int{}}
	if !spec.OneZone && rng.IntN(2) == 0 {
		job.TasksPerZone["a"] = 1
	}
	return newPlacer(newPlanState(snapshot)), job
}

// TestServiceIsSpreadAsIfTaskByTask checks that placing a service takes the same machines as
// choosing the best of all machines anew for each task.
func TestServiceIsSpreadAsIfTaskByTask(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3000) {
		reference, job := randomServicePlan(seed)
		want, wantLeft := map[string]int{}, job.PendingTasks
		for ; wantLeft > 0; wantLeft-- {
			machine := bestMachine(reference, job)
			if machine == nil {
				break
			}
			reference.bindTasks(job, machine, 1)
			want[machine.Name]++
		}
		spread, job := randomServicePlan(seed)
		left := spread.spreadService(job, job.PendingTasks)
		got := map[string]int{}
		for _, binding := range spread.plan.Bindings {
			got[binding.Machine.Name] += binding.Tasks
		}
		if left != wantLeft || !maps.Equal(got, want) {
			t.Fatalf("seed %d, %+v: got %d left and tasks %v, want %d and %v", seed, job.Spec, left, got, wantLeft, want)
		}
	}
}
