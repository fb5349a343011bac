package core

import (
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/settings"
)

// faultsOf makes a controller with machines m-0 to m-4 and array jobs a to d,
// of which nothing is known.
func faultsOf(t *testing.T) *Controller {
	t.Helper()
	c := New(&settings.Settings{Operators: settings.Defaults()}, 1, rand.New(rand.NewPCG(1, 1)))
	for _, name := range []string{"m-0", "m-1", "m-2", "m-3", "m-4"} {
		c.cluster.Machines[name] = &cluster.Machine{Name: name, Failures: cluster.FailureEvidence{Unattributed: map[string]bool{}}}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		c.cluster.Jobs[id] = &cluster.Job{ID: id, Spec: api.Job{Kind: api.Array, Tasks: 20}, FailedMachines: map[string]bool{}}
	}
	return c
}

// TestFaultsAreTold guards against taking healthy machines for faulty ones for a
// job's mistake, and the other way round: of 44 machines quarantined on a
// recorded day all had only met jobs that failed everywhere.
func TestFaultsAreTold(t *testing.T) {
	type failure struct{ job, machine string }
	for _, tc := range []struct {
		what     string
		sound    []string // jobs of which a task was done before
		failures []failure
		proven   []string // jobs of which a task is done on m-4 afterwards
		faulty   []string
		suspect  []string
	}{
		{what: "several tasks of one job on one machine", failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-0"}, {job: "a", machine: "m-0"}}},
		{what: "a job on every machine that it meets", failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-0"}, {job: "a", machine: "m-1"}, {job: "a", machine: "m-1"}, {job: "a", machine: "m-2"}}, suspect: []string{"a"}},
		{what: "two such jobs on the same machines", failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-1"}, {job: "b", machine: "m-1"}, {job: "b", machine: "m-2"}, {job: "b", machine: "m-3"}, {job: "a", machine: "m-2"}}, suspect: []string{"a", "b"}},
		{what: "two jobs that failed nowhere else", failures: []failure{{job: "a", machine: "m-0"}, {job: "b", machine: "m-0"}}, faulty: []string{"m-0"}},
		{what: "two tasks of a sound job", sound: []string{"a"}, failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-0"}}, faulty: []string{"m-0"}},
		{what: "three jobs that failed elsewhere too, one after the other", failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-1"}, {job: "b", machine: "m-0"}, {job: "b", machine: "m-2"}, {job: "c", machine: "m-3"}, {job: "c", machine: "m-0"}}, faulty: []string{"m-0"}},
		{what: "two jobs on two machines, done elsewhere then", failures: []failure{{job: "a", machine: "m-0"}, {job: "a", machine: "m-1"}, {job: "b", machine: "m-0"}, {job: "b", machine: "m-1"}}, proven: []string{"a", "b"}, faulty: []string{"m-0", "m-1"}},
	} {
		c := faultsOf(t)
		for _, id := range tc.sound {
			c.cluster.Jobs[id].DoneTasks = 1
		}
		for _, f := range tc.failures {
			c.tasks.TaskFailed(c.cluster.Jobs[f.job], c.cluster.Machines[f.machine], f.job+"/0")
		}
		for _, id := range tc.proven {
			c.tasks.TaskSucceeded(c.cluster.Jobs[id], c.cluster.Machines["m-4"])
		}
		for name, m := range c.cluster.Machines {
			if want := slices.Contains(tc.faulty, name); m.Quarantined != want {
				t.Errorf("%s: %s is faulty: %t", tc.what, name, m.Quarantined)
			}
		}
		for id, j := range c.cluster.Jobs {
			if want := slices.Contains(tc.suspect, id); j.Suspect != want {
				t.Errorf("%s: job %s is suspect: %t", tc.what, id, j.Suspect)
			}
		}
	}
}
