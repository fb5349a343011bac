package planning

import (
	"testing"

	"spurmoor/internal/micros"
)

// TestMinCycleInterval guards against planning that uses more than a bounded share of the
// processor.
func TestMinCycleInterval(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		machines, jobs int
		want           micros.Micros
	}{
		{0, 0, 100 * micros.Millisecond},
		{1, 0, 100*micros.Millisecond + 400},
		{0, 1, 100*micros.Millisecond + 400},
		{4000, 1000, 2100 * micros.Millisecond},
	} {
		if got := minCycleInterval(tc.machines, tc.jobs); got != tc.want {
			t.Errorf("minCycleInterval(%d, %d): got %d, want %d", tc.machines, tc.jobs, got, tc.want)
		}
	}
}
