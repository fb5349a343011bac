package cluster

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// TestTaskTransitions ends a placed task in every way and checks that the task gets the right
// state and that CanBecome permits the transition.
func TestTaskTransitions(t *testing.T) {
	t.Parallel()
	exits := func(reason api.ExitReason) func(*TaskLifecycle, *Job, *Machine) {
		return func(tasks *TaskLifecycle, job *Job, machine *Machine) {
			report := api.TaskStatus{Task: "wk-000001/0", State: api.TaskExited, ExitReason: reason}
			tasks.HandleExit(job, 0, job.Task(0), machine, report)
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
		{"gang ended", false, exits(api.ExitGangEnded), records.TaskPending},
		{"gang incomplete", false, exits(api.ExitGangIncomplete), records.TaskPending},
		{"no room", false, exits(api.ExitNoRoom), records.TaskPending},
		{"busy", false, exits(api.ExitBusy), records.TaskPending},
		{"unknown task", false, exits(api.ExitUnknownTask), records.TaskPending},
		{"gone", false, func(tasks *TaskLifecycle, job *Job, _ *Machine) { tasks.Release(job, 0, "test") }, records.TaskPending},
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
				t.Fatal("a new task can become placed: got false, want true")
			}
			state.ChangeTask(job, 0, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"})
			if job.PlacedTasks != 1 || len(machine.TaskIDs) != 1 {
				t.Fatalf("after placing: got %d placed tasks and %v on the machine, want 1 of each", job.PlacedTasks, machine.TaskIDs)
			}
			tc.end(tasks, job, machine)
			got := job.Task(0).State
			if got != tc.want || !records.TaskPlaced.CanBecome(got) {
				t.Errorf("got state %v, want %v; got permitted %t, want true", got, tc.want, records.TaskPlaced.CanBecome(got))
			}
			if job.PlacedTasks != 0 || len(machine.TaskIDs) != 0 || !machine.UncommittedRemovals[job.ID] {
				t.Errorf(
					"got %d tasks placed, %v on the machine and removal recorded %t, want 0, [] and true",
					job.PlacedTasks, machine.TaskIDs, machine.UncommittedRemovals[job.ID],
				)
			}
		})
	}
}
