package core

import (
	"slices"
	"testing"
)

// attributionCase is a sequence of failures, and the machines and jobs that they are
// attributed to.
type attributionCase struct {
	name            string
	succeededBefore []string // jobs with a task that succeeded before the failures
	failures        []failure
	succeededAfter  []string // jobs with a task that succeeds on m-4 after the failures
	quarantined     []string
	suspect         []string
}

// failure is the failure of a job's task on a machine.
type failure struct{ job, machine string }

var attributionCases = []attributionCase{
	{
		name:     "several tasks of one job on one machine",
		failures: []failure{{"a", "m-0"}, {"a", "m-0"}, {"a", "m-0"}},
	},
	{
		name:     "a job on every machine that it meets",
		failures: []failure{{"a", "m-0"}, {"a", "m-0"}, {"a", "m-1"}, {"a", "m-1"}, {"a", "m-2"}},
		suspect:  []string{"a"},
	},
	{
		name:     "two such jobs on the same machines",
		failures: []failure{{"a", "m-0"}, {"a", "m-1"}, {"b", "m-1"}, {"b", "m-2"}, {"b", "m-3"}, {"a", "m-2"}},
		suspect:  []string{"a", "b"},
	},
	{
		name:        "two jobs that failed nowhere else",
		failures:    []failure{{"a", "m-0"}, {"b", "m-0"}},
		quarantined: []string{"m-0"},
	},
	{
		name:            "two tasks of a sound job",
		succeededBefore: []string{"a"},
		failures:        []failure{{"a", "m-0"}, {"a", "m-0"}},
		quarantined:     []string{"m-0"},
	},
	{
		name:        "three jobs that failed elsewhere too, one after the other",
		failures:    []failure{{"a", "m-0"}, {"a", "m-1"}, {"b", "m-0"}, {"b", "m-2"}, {"c", "m-3"}, {"c", "m-0"}},
		quarantined: []string{"m-0"},
	},
	{
		name:           "two jobs on two machines, done elsewhere then",
		failures:       []failure{{"a", "m-0"}, {"a", "m-1"}, {"b", "m-0"}, {"b", "m-1"}},
		succeededAfter: []string{"a", "b"},
		quarantined:    []string{"m-0", "m-1"},
	},
}

// TestFailureAttribution guards against quarantining healthy machines because of a faulty
// job, and against attributing failures to jobs because of a faulty machine. On one
// recorded day, all 44 quarantined machines have only run jobs that fail everywhere.
func TestFailureAttribution(t *testing.T) {
	for _, tc := range attributionCases {
		t.Run(tc.name, func(t *testing.T) {
			controller := newMachinesFixture(t)
			jobs, machines := controller.cluster.Jobs, controller.cluster.Machines
			for _, id := range tc.succeededBefore {
				jobs[id].DoneTasks = 1
			}
			for _, failed := range tc.failures {
				controller.tasks.RecordFailure(jobs[failed.job], machines[failed.machine], failed.job+"/0")
			}
			for _, id := range tc.succeededAfter {
				controller.tasks.RecordSuccess(jobs[id], machines["m-4"])
			}
			for name, machine := range machines {
				if want := slices.Contains(tc.quarantined, name); machine.Quarantined != want {
					t.Errorf("machine %s quarantined: got %t, want %t", name, machine.Quarantined, want)
				}
			}
			for id, job := range jobs {
				if want := slices.Contains(tc.suspect, id); job.Suspect != want {
					t.Errorf("job %s suspect: got %t, want %t", id, job.Suspect, want)
				}
			}
		})
	}
}
