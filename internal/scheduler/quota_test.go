package scheduler

import "testing"

// TestQuota checks how many tasks with one GPU each a team may start within its limit, and
// whether its guarantee covers them.
func TestQuota(t *testing.T) {
	t.Parallel()
	gpus := func(count float64) Resources { return NewResources(0, count, 0) }
	for _, tc := range []struct {
		name           string
		quota          Quota
		tasks          int
		wantPermitted  int
		wantGuaranteed bool
	}{
		{"no limit and no guarantee", Quota{Used: gpus(100)}, 5, 5, false},
		{"up to the limit", Quota{Used: gpus(7), Limit: gpus(10)}, 5, 3, false},
		{"beyond the limit", Quota{Used: gpus(11), Limit: gpus(10)}, 5, 0, false},
		{"up to what is reserved", Quota{Used: gpus(7), Limit: gpus(10), reservedForGang: gpus(2)}, 5, 1, false},
		{"within the guarantee", Quota{Used: gpus(7), Guaranteed: gpus(12)}, 5, 5, true},
		{"beyond the guarantee", Quota{Used: gpus(7), Guaranteed: gpus(11)}, 5, 5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if got := tc.quota.tasksWithinLimit(gpus(1), tc.tasks); got != tc.wantPermitted {
				t.Errorf("tasks within the limit: got %d, want %d", got, tc.wantPermitted)
			}
			if got := tc.quota.guaranteeCovers(gpus(1), tc.tasks); got != tc.wantGuaranteed {
				t.Errorf("guaranteed: got %t, want %t", got, tc.wantGuaranteed)
			}
		})
	}
}
