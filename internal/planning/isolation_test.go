package planning

import (
	"testing"

	"spurmoor/internal/micros"
)

// TestIsolationTimeout checks that in a small cluster one or two lost heartbeats do not
// count as isolation, and that a large one waits no longer than it takes to be certain.
func TestIsolationTimeout(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	monitor := NewIsolationMonitor(fix.env, fix.state, nil, nil, nil)
	for _, tc := range []struct {
		machinesUp int
		want       micros.Micros
	}{
		{machinesUp: 2, want: 8 * micros.Second}, // two thirds of the heartbeat timeout of 12 s
		{machinesUp: 8, want: 7500 * micros.Millisecond},
		{machinesUp: 12, want: 5 * micros.Second},
		{machinesUp: 4000, want: 5 * micros.Second},
	} {
		if got := monitor.isolationTimeout(tc.machinesUp); got != tc.want {
			t.Errorf("isolationTimeout(%d): got %d, want %d", tc.machinesUp, got, tc.want)
		}
	}
}
