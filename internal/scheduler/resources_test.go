package scheduler

import (
	"fmt"
	"testing"

	"spurmoor/internal/api"

	"github.com/go-json-experiment/json"
)

// TestMachineHoldsWhatItsHeartbeatNames guards against machines with more tasks than a heartbeat
// of 64 KiB can name. It fills machines with tasks that ask for nothing else, and checks the
// heartbeats in which they have the longest statuses.
func TestMachineHoldsWhatItsHeartbeatNames(t *testing.T) {
	t.Parallel()
	capacity := MachineCapacity(&api.MachineType{CPUs: 24, GPUs: 4, MemoryGB: 144})
	for _, tc := range []struct {
		id       string
		minTasks int
	}{
		{"wk-000412", 550},
		{"wk-000000000000000412", 500},
	} {
		t.Run(tc.id, func(t *testing.T) {
			t.Parallel()
			tasks := capacity.FitCount(TaskRequest(&api.Job{ID: tc.id, Tasks: 100_000}))
			if tasks < tc.minTasks {
				t.Errorf("tasks on a machine: got %d, want at least %d", tasks, tc.minTasks)
			}
			heartbeat := api.Heartbeat{Machine: "n-000231", Address: "10.1.0.232:9000", Type: "ceiba", Zone: "volcan"}
			for i := range tasks {
				heartbeat.Tasks = append(heartbeat.Tasks, api.TaskStatus{
					Task: fmt.Sprintf("%s/%d", tc.id, 99_999-i), Attempt: 1000, State: api.TaskExited,
					ExitReason: api.ExitGangEnded, CheckpointStored: true,
				})
			}
			body, err := json.Marshal(&heartbeat)
			if err != nil || len(body) > api.MaxBodyBytes {
				t.Errorf("heartbeat with %d tasks: got %d bytes, error %v, want at most %d bytes", tasks, len(body), err, api.MaxBodyBytes)
			}
		})
	}
}

func TestResourcesFitCount(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		available, other Resources
		wantCount        int
		wantFits         bool
	}{
		{"the scarcest resource decides", NewResources(8, 4, 64), NewResources(1, 2, 1), 2, true},
		{"exact decimals", NewResources(0.3, 0, 0), NewResources(0.1, 0, 0), 3, true},
		{"does not fit", NewResources(1, 0, 64), NewResources(1, 1, 1), 0, false},
		{"overcommitted", Resources{MilliCPU: -1}, NewResources(1, 0, 0), 0, false},
		{"a request for nothing", NewResources(1, 1, 1), Resources{}, unlimitedFitCount, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if got := tc.available.FitCount(tc.other); got != tc.wantCount {
				t.Errorf("fit count: got %d, want %d", got, tc.wantCount)
			}
			if got := tc.available.Fits(tc.other); got != tc.wantFits {
				t.Errorf("fits: got %t, want %t", got, tc.wantFits)
			}
		})
	}
}
