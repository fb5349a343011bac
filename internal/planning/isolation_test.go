package planning

import (
	"testing"

	"spurmoor/internal/micros"
)

// TestIsolationSilence guards against a small cluster that takes a lost heartbeat or two for
// its isolation, and a large one that waits for longer than it takes to be certain.
func TestIsolationSilence(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	guard := NewIsolationGuard(fix.env, fix.state, nil, nil, nil)
	for _, tc := range []struct {
		machinesUp int
		want       micros.Micros
	}{
		{machinesUp: 2, want: 8 * micros.Second}, // two thirds of the 12 s after which one is scaled in
		{machinesUp: 8, want: 7500 * micros.Millisecond},
		{machinesUp: 12, want: 5 * micros.Second},
		{machinesUp: 4000, want: 5 * micros.Second},
	} {
		if got := guard.isolationSilence(tc.machinesUp); got != tc.want {
			t.Errorf("%d machines: %d, want %d", tc.machinesUp, got, tc.want)
		}
	}
}
