package scheduler

import "testing"

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
