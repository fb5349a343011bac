package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// maxPlanTime is the processor time that one plan may take. The same step of the event loop also
// renews the lease on the store and answers users, and a controller may have an eighth of a core.
const maxPlanTime = 500 * time.Millisecond

// processorTime returns the processor time that the current thread has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// largeJobCase is a plan for jobs of the greatest number of tasks that the protocol accepts.
type largeJobCase struct {
	name     string
	kind     api.JobKind
	jobs     int
	cpus     float64 // of each task
	estimate float64
	machines int
	freeCPUs float64 // of each machine; the rest is used by a task of another job
	want     int     // tasks that are bound
}

// TestLargestJobs guards against plans that take the time of the square of a job's tasks, or of
// its tasks times the machines, and stop the event loop for longer than the lease on the store.
func TestLargestJobs(t *testing.T) {
	const tasks = 100_000
	for _, tc := range []largeJobCase{
		{"gangs of tiny tasks, to be launched for", api.KindGang, 2, 0.0002, 20, 0, 0, 0},
		{"gangs of small tasks, to be launched for", api.KindGang, 2, 0.001, 20, 0, 0, 0},
		{"gangs of tiny tasks on one machine", api.KindGang, 2, 0.0002, 20, 1, 24, 0},
		{"gangs of tiny tasks on 400 machines", api.KindGang, 2, 0.0002, 20, 400, 24, 2 * tasks},
		{"gang on 4,000 machines", api.KindGang, 1, 0.96, 60, 4000, 24, tasks},
		{"gangs that wait for room", api.KindGang, 20, 0.96, 0.01, 4000, 0, 0},
		{"services of tiny tasks on 400 machines", api.KindService, 2, 0.0002, 0, 400, 24, 2 * tasks},
		{"service on 4,000 machines", api.KindService, 1, 0.96, 0, 4000, 24, tasks},
		{"services that wait for room", api.KindService, 20, 0.96, 0, 4000, 0, 0},
		{"arrays on 4,000 machines", api.KindArray, 20, 0.96, 60, 4000, 24, tasks},
		{"arrays that wait for room", api.KindArray, 20, 0.96, 0.01, 4000, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			snapshot := tc.snapshot(tasks)
			before := processorTime(t)
			plan := MakePlan(snapshot)
			if used := processorTime(t) - before; used > maxPlanTime {
				t.Errorf("processor time of the plan: got %v, want at most %v", used, maxPlanTime)
			}
			bound := 0
			for _, binding := range plan.Bindings {
				bound += binding.Tasks
			}
			if bound != tc.want || len(plan.Bindings) > max(1, tc.machines)*tc.jobs {
				t.Errorf("got %d tasks bound by %d bindings, want %d by at most one a machine and job",
					bound, len(plan.Bindings), tc.want)
			}
		})
	}
}

// snapshot returns the snapshot of the case.
func (c *largeJobCase) snapshot(tasks int) *Snapshot {
	operators := settings.DefaultOperators()
	machineType := api.MachineType{
		Name: "ceiba", CPUs: 24, GPUs: 4, MemoryGB: 144, FetchGBPerS: 1, Price: 8, SpotPrice: 3, BootS: 45,
		Zones: []string{"volcan", "costa", "lago"},
	}
	snapshot := &Snapshot{
		Now: 1000 * micros.Second, MachineTypes: []api.MachineType{machineType}, Operators: &operators,
		Quotas: map[string]*Quota{"tarifas": {}},
	}
	running := &Job{ID: "running", Spec: &api.Job{Kind: api.KindArray, Tasks: c.machines}}
	for index := range c.machines {
		total := MachineCapacity(&machineType)
		machine := &Machine{
			Name: fmt.Sprintf("n-%06d", index), Type: &machineType, Zone: machineType.Zones[index%3], Schedulable: true,
			Total: total, Free: total,
		}
		if used := NewResources(machineType.CPUs-c.freeCPUs, 0, 0); used.MilliCPU > 0 {
			machine.Free = total.AddScaled(used, -1)
			end := snapshot.Now + micros.Micros(index)*micros.Millisecond
			machine.Allocations = []Allocation{{Job: running, TaskIndex: index, Request: used, ExpectedEnd: end}}
		}
		snapshot.Machines = append(snapshot.Machines, machine)
	}
	for i := range c.jobs {
		spec := &api.Job{
			ID: fmt.Sprintf("wk-%06d", i), Kind: c.kind, Team: "tarifas", Priority: "standard", Image: "i",
			Tasks: tasks, CPUs: c.cpus, EstimateS: c.estimate,
		}
		snapshot.Jobs = append(snapshot.Jobs, &Job{
			ID: spec.ID, Spec: spec, Request: TaskRequest(spec), PendingTasks: tasks,
			TasksPerZone: map[string]int{}, Tier: spec.Priority.Tier(),
		})
	}
	return snapshot
}
