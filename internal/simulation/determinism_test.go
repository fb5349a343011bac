package simulation

import (
	"slices"
	"testing"
)

// TestSameScenarioTwice checks that a scenario run twice produces the same log. It guards
// against decisions that depend on the iteration order of a map or on anything else but
// the inputs.
func TestSameScenarioTwice(t *testing.T) {
	t.Parallel()
	scenarios := digestScenarios(t)
	random := scenarios[len(scenarios)-digestSeedCount:]
	for _, scenario := range random[20:30] { // seeds 1020 to 1029: the two logs of seed 1026 have differed before
		var logs [2][]string
		for i := range logs {
			sim, _, err := Run(mustParse(t, scenario.text))
			if err != nil {
				t.Fatal(err)
			}
			logs[i] = sim.Log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Errorf("got two different logs of %s, want the same log twice; the scenario:\n%s", scenario.name, scenario.text)
		}
	}
}
