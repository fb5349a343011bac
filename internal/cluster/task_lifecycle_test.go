package cluster

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// TestTaskTransitions has a placed task end in every way, and makes sure that the task
// becomes what it should and that the transition is a permitted one.
func TestTaskTransitions(t *testing.T) {
	t.Parallel()
	exits := func(reason api.ExitReason) func(*TaskLifecycle, *Job, *Machine) {
		return func(tasks *TaskLifecycle, job *Job, machine *Machine) {
			report := api.TaskStatus{Task: "wk-000001/0", State: api.TaskExited, ExitReason: reason}
			tasks.TaskExited(job, 0, job.Task(0), machine, report)
		}
	}
	for _, tc := range []struct {
		name      string
		cancelled bool
		end       func(*TaskLifecycle, *Job, *Machine)
		want      records.TaskState
	}{
		{"done", false, exits(api.ExitDone), records.TaskDone},
		{"done, but its job is cancelled", true, exits(api.ExitDone), records.TaskPending},
		{"failed", false, exits(api.ExitFailed), records.TaskPending},
		{"stopped", false, exits(api.ExitStopped), records.TaskPending},
		{"mates gone", false, exits(api.ExitMatesGone), records.TaskPending},
		{"alone", false, exits(api.ExitAlone), records.TaskPending},
		{"no room", false, exits(api.ExitNoRoom), records.TaskPending},
		{"busy", false, exits(api.ExitBusy), records.TaskPending},
		{"no such", false, exits(api.ExitNoSuch), records.TaskPending},
		{"gone", false, func(tasks *TaskLifecycle, job *Job, _ *Machine) { tasks.TaskGone(job, 0, "test") }, records.TaskPending},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			state := newState(t, env)
			tasks := NewTaskLifecycle(env, state, nil, NewCycleTrigger(env))
			job := addTestJob(t, state, "wk-000001", 1)
			job.Cancelled = tc.cancelled
			machine := addTestMachine(t, state, "n-1", "g4")
			if !job.EnsureTask(0).State.CanBecome(records.TaskPlaced) {
				t.Fatal("a new task cannot be placed")
			}
			state.ChangeTask(job, 0, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"})
			if job.PlacedTasks != 1 || len(machine.TaskIDs) != 1 {
				t.Fatalf("%d tasks placed, %v on the machine", job.PlacedTasks, machine.TaskIDs)
			}
			tc.end(tasks, job, machine)
			got := job.Task(0).State
			if got != tc.want || !records.TaskPlaced.CanBecome(got) {
				t.Errorf("it becomes %v, want %v; permitted: %t", got, tc.want, records.TaskPlaced.CanBecome(got))
			}
			if job.PlacedTasks != 0 || len(machine.TaskIDs) != 0 || !machine.DepartedJobs[job.ID] {
				t.Errorf("%d tasks placed, %v on the machine", job.PlacedTasks, machine.TaskIDs)
			}
		})
	}
}
