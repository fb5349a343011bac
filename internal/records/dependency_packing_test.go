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
		want []string // in order
	}{
		{"none", nil, nil},
		{"one", []string{"wk-000001"}, []string{"wk-000001"}},
		{"neighbours in any order", []string{"wk-000003", "wk-000001", "wk-000002"}, []string{"wk-000001", "wk-000002", "wk-000003"}},
		{"leading zeros tell ids apart", []string{"wk-01", "wk-1", "wk-001"}, []string{"wk-1", "wk-01", "wk-001"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			record := JobRecord{Spec: api.Job{Dependencies: tc.ids}}
			record.PackDependencies()
			if record.Spec.Dependencies != nil {
				t.Errorf("the list %q stays", record.Spec.Dependencies)
			}
			if got := record.Dependencies(); !slices.Equal(got, tc.want) {
				t.Errorf("read %q, want %q", got, tc.want)
			}
		})
	}
}

// TestDependenciesOfDamagedList makes sure that reading comes to an end, with ids of a
// bounded length.
func TestDependenciesOfDamagedList(t *testing.T) {
	t.Parallel()
	for _, packed := range [][]byte{
		{0x80},                      // an integer without an end
		{6},                         // no count
		{6, 0xff, 0xff, 0xff, 0x7f}, // a count of millions, and no numbers
		{0xff, 0x7f, 1, 5},          // thousands of digits
	} {
		record := JobRecord{PackedDependencies: packed}
		for _, id := range record.Dependencies() {
			if len(id) > len(jobIDPrefix)+maxIDDigits {
				t.Errorf("%x gives an id of %d bytes", packed, len(id))
			}
		}
	}
}
