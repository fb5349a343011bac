package simulation

import (
	"slices"
	"testing"
)

// TestSameScenarioTwice guards against decisions that depend on the order of a map or on
// anything else but the inputs: a scenario run twice produces the same log.
func TestSameScenarioTwice(t *testing.T) {
	t.Parallel()
	scenarios := digestScenarios(t)
	random := scenarios[len(scenarios)-digestSeeds:]
	for _, scenario := range random[20:30] { // 1026 among them, which once differed
		var logs [2][]string
		for i := range logs {
			sim, _, err := Play(mustParse(t, scenario.text))
			if err != nil {
				t.Fatal(err)
			}
			logs[i] = sim.Log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Errorf("two logs of %s:\n%s", scenario.name, scenario.text)
		}
	}
}
