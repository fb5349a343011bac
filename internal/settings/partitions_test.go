package settings

import (
	"maps"
	"testing"
)

// TestAssignTeams guards against a version that assigns the same teams to other partitions:
// a job's partition follows from its team's.
func TestAssignTeams(t *testing.T) {
	teams := []Team{
		{Name: "e", GuaranteedGPUs: 4},
		{Name: "d", GuaranteedCPUs: 24},
		{Name: "a"},
		{Name: "c", GuaranteedGPUs: 1, GuaranteedCPUs: 60},
		{Name: "b", GuaranteedCPUs: 0.0005},
	}
	for partitions, want := range map[int]map[string]int{
		2: {"a": 1, "b": 1, "c": 0, "d": 1, "e": 1},
		3: {"a": 2, "b": 1, "c": 0, "d": 1, "e": 2},
		5: {"a": 4, "b": 3, "c": 0, "d": 1, "e": 2},
	} {
		if got := assignTeams(teams, partitions); !maps.Equal(got, want) {
			t.Errorf("%d partitions: got %v, want %v", partitions, got, want)
		}
	}
}
