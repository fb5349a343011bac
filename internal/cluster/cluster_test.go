package cluster

import (
	"math/rand/v2"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// newEnvironment returns an environment with empty settings, at time 0.
func newEnvironment(t *testing.T) *coordination.Environment {
	t.Helper()
	return coordination.NewEnvironment(&settings.Settings{}, 1, rand.New(rand.NewPCG(1, 2)))
}

// newState returns a replica with one partition, which has no leader, and without jobs and
// machines.
func newState(t *testing.T, env *coordination.Environment) *State {
	t.Helper()
	return &State{
		Environment: env,
		cache:       coordination.NewWatchCache(env),
		Partitions:  []*Partition{{RoleState: &leadership.RoleState{}, ChangedJobs: map[string]bool{}}},
		Jobs:        map[string]*Job{}, TeamUsage: map[string]*scheduler.Resources{},
		Machines: map[string]*Machine{}, tombstones: map[string]RecordOrigin{}, logReferences: map[string]int{},
		tasksOfUnread: map[string][]TaskID{},
	}
}

// addTestMachine adds a machine of that type.
func addTestMachine(t *testing.T, state *State, name, machineType string) *Machine {
	t.Helper()
	return state.addMachine(records.Machine{Name: name, Type: machineType, Zone: "alta", MinToken: 1})
}

// addTestJob adds an array with that many tasks.
func addTestJob(t *testing.T, state *State, id string, tasks int) *Job {
	t.Helper()
	spec := api.Job{ID: id, Kind: api.KindArray, Tasks: tasks}
	job := state.AddJob(id, spec)
	job.Spec = spec
	return job
}
