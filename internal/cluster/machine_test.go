package cluster

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// TestRecordOriginSupersededBy checks which of two records of a machine applies.
func TestRecordOriginSupersededBy(t *testing.T) {
	t.Parallel()
	known := RecordOrigin{Epoch: 2, Partition: 1, Sequence: 10}
	for _, tc := range []struct {
		name           string
		other          RecordOrigin
		namedPartition int
		want           bool
	}{
		{"later epoch", RecordOrigin{Epoch: 3, Partition: 0, Sequence: 1}, 0, true},
		{"earlier epoch", RecordOrigin{Epoch: 1, Partition: 0, Sequence: 99}, 0, false},
		{"later in the same log", RecordOrigin{Epoch: 2, Partition: 1, Sequence: 11}, 1, true},
		{"the same record", known, 1, true},
		{"earlier in the same log", RecordOrigin{Epoch: 2, Partition: 1, Sequence: 9}, 1, false},
		{"in the log of the partition that it names", RecordOrigin{Epoch: 2, Partition: 0, Sequence: 1}, 0, true},
		{"in the log of another partition", RecordOrigin{Epoch: 2, Partition: 0, Sequence: 99}, 1, false},
	} {
		if got := known.supersededBy(tc.other, tc.namedPartition); got != tc.want {
			t.Errorf("%s: got superseded %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestCacheImage uses images of 4 GB on a machine whose cache has space for two.
func TestCacheImage(t *testing.T) {
	t.Parallel()
	machine := &Machine{MachineType: &api.MachineType{CacheGB: 10}}
	for _, step := range []struct {
		use  string
		want string // the cached images, least recently used first
	}{
		{"a", "a"}, {"b", "ab"}, {"a", "ba"}, {"c", "ac"}, {"c", "ac"}, {"b", "cb"},
	} {
		machine.CacheImage(step.use, 4)
		got := ""
		for _, image := range machine.CachedImages {
			got += image.Name
		}
		if got != step.want {
			t.Errorf("after %s was used: got cached images %q, want %q", step.use, got, step.want)
		}
	}
}

// TestTrackRepeatedCommands answers one heartbeat per second with commands for a task.
func TestTrackRepeatedCommands(t *testing.T) {
	t.Parallel()
	start := api.Command{Op: api.CommandStart, Task: "wk-000001/0", Attempt: 1}
	forget := api.Command{Op: api.CommandForget, Task: "wk-000001/0", Attempt: 1}
	stop := api.Command{Op: api.CommandStop, Task: "wk-000001/0", Attempt: 1}
	machine := &Machine{}
	for second, step := range []struct {
		commands      []api.Command
		ignoringSince int // in seconds; 0: it obeys
	}{
		0: {nil, 0},
		1: {[]api.Command{start}, 0},
		2: {[]api.Command{start}, 2},
		3: {[]api.Command{forget, start}, 2},
		4: {[]api.Command{stop}, 0},
		5: {[]api.Command{stop}, 0}, // a task takes some time to stop
		6: {[]api.Command{start}, 0},
	} {
		machine.TrackRepeatedCommands(micros.Micros(second)*micros.Second, step.commands)
		if want := micros.Micros(step.ignoringSince) * micros.Second; machine.IgnoringCommandsSince != want {
			t.Errorf("second %d: got ignoring since %v s, want %v s", second, machine.IgnoringCommandsSince.Seconds(), want.Seconds())
		}
	}
}

// TestIsNewer checks that heartbeats are ordered by incarnation, then by sequence number.
func TestIsNewer(t *testing.T) {
	t.Parallel()
	machine := &Machine{Incarnation: 2, HeartbeatSequence: 5}
	for _, tc := range []struct {
		incarnation api.Incarnation
		sequence    uint64
		want        bool
	}{
		{2, 5, false}, {2, 6, true}, {2, 4, false}, {3, 1, true}, {1, 9, false},
	} {
		heartbeat := &api.Heartbeat{Incarnation: tc.incarnation, Sequence: tc.sequence}
		if got := machine.IsNewer(heartbeat); got != tc.want {
			t.Errorf("incarnation %d, sequence %d: got newer %t, want %t", tc.incarnation, tc.sequence, got, tc.want)
		}
	}
}
