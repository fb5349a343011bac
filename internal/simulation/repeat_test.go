package simulation

import (
	"slices"
	"testing"
)

// TestSameDayTwice guards against decisions that depend on the order of a map or
// on anything else but the inputs: a day played twice gives the same log.
func TestSameDayTwice(t *testing.T) {
	t.Parallel()
	days := digestScenarios(t)
	random := days[len(days)-digestSeeds:]
	for _, text := range random[20:30] { // 1026 among them, which once differed
		var logs [2][]string
		for i := range logs {
			sc, err := Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			w, _, err := Play(sc)
			if err != nil {
				t.Fatal(err)
			}
			logs[i] = w.Log
		}
		if !slices.Equal(logs[0], logs[1]) {
			t.Errorf("two logs of one day:\n%s", text)
		}
	}
}
