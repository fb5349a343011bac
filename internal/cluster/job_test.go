package cluster

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

func TestPlaceableTasks(t *testing.T) {
	t.Parallel()
	const now = 100 * micros.Second
	for _, tc := range []struct {
		name    string
		kind    api.JobKind
		prepare func(*State, *Job)
		want    []int // of 4 tasks, with a limit of 3
	}{
		{"new array", api.KindArray, func(*State, *Job) {}, []int{0, 1, 2}},
		{"array with tasks placed and done", api.KindArray, func(state *State, job *Job) {
			state.SetTask(job, 0, TaskRecord{State: records.TaskPlaced})
			state.SetTask(job, 2, TaskRecord{State: records.TaskDone})
		}, []int{1, 3}},
		{"array with a task that must wait", api.KindArray, func(_ *State, job *Job) {
			job.delayTask(0, now+1)
			job.delayTask(1, now)
		}, []int{1, 2, 3}},
		{"new gang, whose size is above the limit", api.KindGang, func(*State, *Job) {}, []int{0, 1, 2, 3}},
		{"gang with a placed task", api.KindGang, func(state *State, job *Job) {
			state.SetTask(job, 0, TaskRecord{State: records.TaskPlaced})
		}, nil},
		{"gang that is reassembling", api.KindGang, func(state *State, job *Job) {
			state.SetTask(job, 0, TaskRecord{State: records.TaskPlaced})
			job.ObserveTask(job.Task(0), api.TaskWaiting)
		}, []int{1, 2, 3}},
		{"gang of which a task is done", api.KindGang, func(state *State, job *Job) {
			state.SetTask(job, 0, TaskRecord{State: records.TaskDone})
		}, []int{1, 2, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			state := newState(t, newEnvironment(t))
			job := addTestJob(t, state, "wk-000001", 4)
			job.Spec.Kind = tc.kind
			tc.prepare(state, job)
			if got := job.PlaceableTasks(now, 3); !slices.Equal(got, tc.want) {
				t.Errorf("got placeable tasks %v, want %v", got, tc.want)
			}
			if got := job.PlaceableTaskCount(now, 3); got != len(tc.want) {
				t.Errorf("got a count of %d placeable tasks, want %d", got, len(tc.want))
			}
		})
	}
}

// TestAllocatedTasks checks that the iterator yields the tasks of allocated chunks only, in order.
func TestAllocatedTasks(t *testing.T) {
	t.Parallel()
	const tasks = 3*tasksPerChunk + 1
	job := addTestJob(t, newState(t, newEnvironment(t)), "wk-000001", tasks)
	job.EnsureTask(tasks - 1).Attempt = 7
	job.EnsureTask(tasksPerChunk).Attempt = 5
	if job.chunkAt(0) != nil || job.chunkAt(1) == nil || job.chunkAt(2) != nil || job.chunkAt(3) == nil {
		t.Fatalf("got chunks %v, want only the second and the last", job.chunks)
	}
	var indexes []int
	for index, task := range job.allocatedTasks() {
		indexes = append(indexes, index)
		if task != job.Task(index) {
			t.Errorf("index %d: got task %p, want that of job.Task, %p", index, task, job.Task(index))
		}
	}
	if len(indexes) != tasksPerChunk+1 || indexes[0] != tasksPerChunk || indexes[tasksPerChunk] != tasks-1 || !slices.IsSorted(indexes) {
		t.Errorf("got indexes %v, want %d to %d and %d, in order", indexes, tasksPerChunk, 2*tasksPerChunk-1, tasks-1)
	}
	if job.LastAttempt() != 7 || job.Task(0) != nil || job.Task(tasks) != nil {
		t.Errorf("got last attempt %d, task 0 %v and past the end %v, want 7, nil and nil", job.LastAttempt(), job.Task(0), job.Task(tasks))
	}
}

func TestParseTaskID(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		want TaskID
		ok   bool
	}{
		{"wk-000001/0", TaskID{Job: "wk-000001", Index: 0}, true},
		{"wk-000001/412", TaskID{Job: "wk-000001", Index: 412}, true},
		{"wk-000001", TaskID{}, false},
		{"wk-000001/", TaskID{}, false},
		{"wk-000001/x", TaskID{}, false},
		{"wk-000001/-1", TaskID{}, false},
	} {
		got, ok := ParseTaskID(tc.name)
		if ok != tc.ok || ok && (got != tc.want || got.String() != tc.name) {
			t.Errorf("ParseTaskID(%q): got %v, %t, want %v, %t", tc.name, got, ok, tc.want, tc.ok)
		}
	}
}
