package planning

import (
	"testing"

	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
)

// TestFaultReasons guards against scaling in a machine before its fault is certain, and
// against never scaling in a faulty one.
func TestFaultReasons(t *testing.T) {
	t.Parallel()
	const second = micros.Second
	// launched returns a change to a machine that was launched that long ago and has not come up.
	launched := func(ago micros.Micros) func(*fixture, *cluster.Machine) {
		return func(f *fixture, machine *cluster.Machine) {
			machine.FirstHeartbeatAt = 0
			machine.LaunchedAt = f.env.Now - ago
			machine.AwaitingHeartbeatSince = machine.LaunchedAt
		}
	}
	silent := func(ago micros.Micros) func(*fixture, *cluster.Machine) {
		return func(f *fixture, machine *cluster.Machine) { machine.LastSeenAt = f.env.Now - ago }
	}
	ignoring := func(ago micros.Micros) func(*fixture, *cluster.Machine) {
		return func(f *fixture, machine *cluster.Machine) { machine.IgnoringCommandsSince = f.env.Now - ago }
	}
	for _, tc := range []struct {
		name       string
		change     func(*fixture, *cluster.Machine)
		blocked    bool // jobs wait in its partition
		mostSilent bool
		want       string
	}{
		{name: "idle and heard from", change: silent(0)},
		{name: "booting", change: launched(90 * second)},
		{name: "overdue", change: launched(90*second + 1), want: reasonBootOverdue},
		{name: "overdue while jobs wait", change: launched(110 * second), blocked: true},
		{name: "never came up", change: launched(110*second + 1), blocked: true, want: reasonNeverCameUp},
		{name: "overdue, awaited by this controller only recently", change: func(f *fixture, machine *cluster.Machine) {
			launched(300*second)(f, machine)
			machine.AwaitingHeartbeatSince = f.env.Now - 20*second
		}},
		{name: "of an unknown type", change: func(f *fixture, machine *cluster.Machine) {
			launched(200*second)(f, machine)
			machine.MachineType = nil
		}, blocked: true},
		{name: "of an unknown type, never came up", change: func(f *fixture, machine *cluster.Machine) {
			launched(200*second+1)(f, machine)
			machine.MachineType = nil
		}, blocked: true, want: reasonNeverCameUp},
		{name: "silent for 12 s", change: silent(12 * second)},
		{name: "silent for longer", change: silent(12*second + 1), want: reasonSilent},
		{name: "silent as most are", change: silent(12*second + 1), mostSilent: true},
		{name: "ignores commands for 15 s", change: ignoring(15 * second)},
		{name: "ignores commands for longer", change: ignoring(15*second + 1), want: reasonIgnoresCommands},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			machine := f.addIdleMachine(t)
			tc.change(f, machine)
			f.state.Partitions[0].HasBlockedJobs = tc.blocked
			if got := f.manager.faultReason(machine, tc.mostSilent); got != tc.want {
				t.Errorf("faultReason: got %q, want %q", got, tc.want)
			}
		})
	}
}
