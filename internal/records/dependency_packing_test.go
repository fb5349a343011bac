package records

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
)

func TestPackDependencies(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		ids  []string
		want []string // sorted
	}{
		{"none", nil, nil},
		{"one", []string{"wk-000001"}, []string{"wk-000001"}},
		{"neighbours in any order", []string{"wk-000003", "wk-000001", "wk-000002"}, []string{"wk-000001", "wk-000002", "wk-000003"}},
		{"leading zeros tell ids apart", []string{"wk-01", "wk-1", "wk-001"}, []string{"wk-1", "wk-01", "wk-001"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			record := Job{Spec: api.Job{Dependencies: tc.ids}}
			record.PackDependencies()
			if record.Spec.Dependencies != nil {
				t.Errorf("got plain dependencies %q, want nil", record.Spec.Dependencies)
			}
			if got := record.Dependencies(); !slices.Equal(got, tc.want) {
				t.Errorf("got dependencies %q, want %q", got, tc.want)
			}
		})
	}
}

// TestDependenciesOfDamagedList checks that reading a damaged list terminates and returns ids of
// bounded length.
func TestDependenciesOfDamagedList(t *testing.T) {
	t.Parallel()
	for _, packed := range [][]byte{
		{0x80},                      // an unterminated integer
		{6},                         // no count
		{6, 0xff, 0xff, 0xff, 0x7f}, // a count of millions without numbers
		{0xff, 0x7f, 1, 5},          // thousands of digits
	} {
		record := Job{PackedDependencies: packed}
		for _, id := range record.Dependencies() {
			if len(id) > len(jobIDPrefix)+maxIDDigits {
				t.Errorf("%x: got an id of %d bytes, want at most %d", packed, len(id), len(jobIDPrefix)+maxIDDigits)
			}
		}
	}
}
