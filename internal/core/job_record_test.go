package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/records"
)

// TestStaleWatchReplyIsIgnored guards against a watch reply that arrives after a later one. If
// it is applied, it permanently restores a job that has ended.
func TestStaleWatchReplyIsIgnored(t *testing.T) {
	fixture := newSyncedFixture(t)
	if fixture.cluster.Jobs[testJob] == nil {
		t.Fatal("got no job in the replica, want the submitted one")
	}
	fixture.applyWatchReply(5, fixture.jobPut, api.Event{Delete: fixture.jobPut.Put, Version: 5})
	fixture.applyWatchReply(3, fixture.jobPut)
	terminal := fixture.dependencies.TerminalStates.Records[testJob]
	if fixture.cluster.Jobs[testJob] != nil || terminal.State != api.JobDone {
		t.Errorf(
			"got job in the replica %t, terminal record %+v, want false and state done",
			fixture.cluster.Jobs[testJob] != nil, terminal,
		)
	}
}

// TestCancelledJobKeepsDoneTasks guards against controllers that tell users different numbers of
// done tasks of a cancelled job: that of its terminal record, or none.
func TestCancelledJobKeepsDoneTasks(t *testing.T) {
	fixture := newSyncedFixture(t)
	job := fixture.cluster.Jobs[testJob]
	fixture.cluster.SetTask(job, 0, cluster.TaskRecord{State: records.TaskDone, Attempt: 1})
	cancelled := records.MustMarshal(records.Job{Spec: job.Spec, AcceptedAt: 1, Cancelled: true})
	fixture.applyWatchReply(
		5, api.Event{Put: fixture.jobPut.Put, Value: cancelled, Version: 4}, api.Event{Delete: fixture.jobPut.Put, Version: 5},
	)
	want := records.TerminalJob{State: api.JobCancelled, DoneTasks: 1}
	if got := fixture.dependencies.TerminalStates.Records[testJob]; got != want {
		t.Errorf("got terminal state %+v, want %+v", got, want)
	}
}

// TestPackedDependencies checks that unpacking a long list of dependencies restores it,
// including leading zeros. The packed list must be short enough that several hundred
// dependencies fit into a value of 2 KiB together with the job.
func TestPackedDependencies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, tc := range []struct{ count, digits, maxBytes int }{
		{count: 1, digits: 6, maxBytes: 60},
		{count: 500, digits: 6, maxBytes: 1400},
		{count: 40, digits: 18, maxBytes: 600},
		{count: 300, digits: 1, maxBytes: 60},
		{count: 1000, digits: 9, maxBytes: 6000},
	} {
		t.Run(fmt.Sprintf("%d IDs of %d digits", tc.count, tc.digits), func(t *testing.T) {
			want := randomJobIDs(rng, tc.count, tc.digits)
			record := records.Job{Spec: api.Job{ID: "wk-1", Dependencies: slices.Clone(want)}}
			record.PackDependencies()
			alone := len(records.MustMarshal(records.Job{Spec: api.Job{ID: "wk-1"}}))
			if packed := len(records.MustMarshal(record)) - alone; packed > tc.maxBytes+60 {
				t.Errorf("packed size of %d IDs: got %d bytes, want at most %d", len(want), packed, tc.maxBytes+60)
			}
			got := record.Dependencies()
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("after unpacking: got %d IDs %q, want %d IDs %q", len(got), got, len(want), want)
			}
		})
	}
}

// randomJobIDs returns about count distinct IDs with the given number of digits, or fewer if
// there are not that many, and three fixed IDs with and without leading zeros. The IDs are
// sorted.
func randomJobIDs(rng *rand.Rand, count, digits int) []string {
	limit := uint64(1)
	for range digits {
		limit *= 10
	}
	ids := map[string]bool{}
	for len(ids) < min(count, 10) || len(ids) < count && digits > 2 {
		ids[fmt.Sprintf("wk-%0*d", digits, rng.Uint64N(limit))] = true
	}
	ids["wk-7"], ids["wk-07"], ids["wk-000000000000000000"] = true, true, true
	return slices.Sorted(maps.Keys(ids))
}

// FuzzPackedDependencies checks that unreadable packed dependencies in a job's record neither
// cause a panic nor expand to more IDs than they have bytes.
func FuzzPackedDependencies(f *testing.F) {
	f.Add([]byte{6, 2, 1, 1})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, packed []byte) {
		record := records.Job{PackedDependencies: packed}
		if ids := record.Dependencies(); len(ids) > len(packed) {
			t.Errorf("unpacking %d bytes: got %d IDs, want at most one per byte", len(packed), len(ids))
		}
	})
}
