package scheduler

import "testing"

func TestResourcesMultiples(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		available, other Resources
		want             int
		fits             bool
	}{
		{"the scarcest counts", ResourcesOf(8, 4, 64), ResourcesOf(1, 2, 1), 2, true},
		{"exact decimals", ResourcesOf(0.3, 0, 0), ResourcesOf(0.1, 0, 0), 3, true},
		{"not once", ResourcesOf(1, 0, 64), ResourcesOf(1, 1, 1), 0, false},
		{"overcommitted", Resources{CPU: -1}, ResourcesOf(1, 0, 0), 0, false},
		{"a request for nothing", ResourcesOf(1, 1, 1), Resources{}, unlimitedMultiples, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if got := tc.available.Multiples(tc.other); got != tc.want {
				t.Errorf("it fits %d times, not %d", got, tc.want)
			}
			if got := tc.available.Fits(tc.other); got != tc.fits {
				t.Errorf("it fits: %t", got)
			}
		})
	}
}
