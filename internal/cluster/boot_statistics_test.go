package cluster

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// TestBootStatisticsIsOverdue checks the age at which booting machines become overdue. The
// nominal boot time of their type is 60 s.
func TestBootStatisticsIsOverdue(t *testing.T) {
	t.Parallel()
	const launchedAt = 1000 * micros.Second
	machineType := &api.MachineType{Name: "g4", BootS: 60}
	booted := func(duration micros.Micros) bootTime {
		return bootTime{latestLaunchAt: launchedAt, typicalDuration: duration}
	}
	for _, tc := range []struct {
		name        string
		machineType *api.MachineType
		boot        bootTime
		overdueAt   micros.Micros // last age at which the machine is not overdue
	}{
		{"type not in the catalog", nil, bootTime{}, untypedBootTimeout},
		{"none is up", machineType, bootTime{}, 180 * micros.Second},
		{"others took the nominal boot time", machineType, booted(60 * micros.Second), 150 * micros.Second},
		{"others were quick", machineType, booted(20 * micros.Second), 120 * micros.Second},
		{
			"those that are up were launched much earlier", machineType,
			bootTime{latestLaunchAt: launchedAt - sameLaunchWithin - 1, typicalDuration: 20 * micros.Second},
			180 * micros.Second,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			statistics := NewBootStatistics(env)
			statistics.bootTimes["g4"] = tc.boot
			machine := addTestMachine(t, newState(t, env), "n-1", "g4")
			machine.MachineType, machine.LaunchedAt = tc.machineType, launchedAt
			env.Now = launchedAt + tc.overdueAt
			if statistics.IsOverdue(machine) {
				t.Errorf("IsOverdue at an age of %v s: got true, want false", tc.overdueAt.Seconds())
			}
			env.Now++
			if !statistics.IsOverdue(machine) {
				t.Errorf("IsOverdue after an age of %v s: got false, want true", tc.overdueAt.Seconds())
			}
			machine.FirstHeartbeatAt = env.Now
			if statistics.IsOverdue(machine) {
				t.Error("IsOverdue of a machine that is up: got true, want false")
			}
		})
	}
}

// TestBootStatisticsRecord checks that the typical duration falls at once and rises slowly, and
// that only machines count that this controller awaited from their launch.
func TestBootStatisticsRecord(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	statistics := NewBootStatistics(env)
	state := newState(t, env)
	for _, tc := range []struct {
		name         string
		duration     micros.Micros
		awaitedAfter micros.Micros
		want         micros.Micros
	}{
		{"the first", 80 * micros.Second, 0, 80 * micros.Second},
		{"a quicker one", 40 * micros.Second, 0, 40 * micros.Second},
		{"a slower one", 80 * micros.Second, bootObservedWithin - 1, 50 * micros.Second},
		{"one that another controller awaited first", 10 * micros.Second, bootObservedWithin, 50 * micros.Second},
	} {
		machine := addTestMachine(t, state, tc.name, "g4")
		machine.LaunchedAt, machine.AwaitingHeartbeatSince = env.Now, env.Now+tc.awaitedAfter
		env.Now += tc.duration
		statistics.Record(machine)
		boot := statistics.bootTimes["g4"]
		if boot.typicalDuration != tc.want || boot.latestLaunchAt != machine.LaunchedAt {
			t.Errorf(
				"%s: got a typical duration of %v s, want %v s; got the latest launch at %v s, want %v s",
				tc.name, boot.typicalDuration.Seconds(), tc.want.Seconds(),
				boot.latestLaunchAt.Seconds(), machine.LaunchedAt.Seconds(),
			)
		}
	}
}
