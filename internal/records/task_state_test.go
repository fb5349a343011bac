package records

import (
	"testing"

	"github.com/go-json-experiment/json"
)

// TestTaskStateTransitions checks every pair of states, including one that is not defined.
func TestTaskStateTransitions(t *testing.T) {
	t.Parallel()
	permitted := map[[2]TaskState]bool{
		{TaskPending, TaskPlaced}: true,
		{TaskPlaced, TaskPending}: true,
		{TaskPlaced, TaskDone}:    true,
	}
	unknown := TaskDone + 1
	states := []TaskState{TaskPending, TaskPlaced, TaskDone, unknown}
	for _, from := range states {
		for _, to := range states {
			if got, want := from.CanBecome(to), permitted[[2]TaskState{from, to}]; got != want {
				t.Errorf("%v can become %v: got %t, want %t", from, to, got, want)
			}
		}
	}
}

// TestTaskStateEncoding checks the encoding in the store, which other versions read.
func TestTaskStateEncoding(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		state TaskState
		want  string
	}{
		{TaskPending, `{"j":"wk-1"}`},
		{TaskPlaced, `{"j":"wk-1","s":1}`},
		{TaskDone, `{"j":"wk-1","s":2}`},
	} {
		encoded := MustMarshal(TaskRun{Job: "wk-1", State: tc.state})
		if string(encoded) != tc.want {
			t.Errorf("encoding %v: got %s, want %s", tc.state, encoded, tc.want)
		}
		var run TaskRun
		if err := json.Unmarshal([]byte(tc.want), &run); err != nil || run.State != tc.state {
			t.Errorf("decoding %s: got state %v and error %v, want %v and no error", tc.want, run.State, err, tc.state)
		}
	}
}
