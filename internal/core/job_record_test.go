package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/records"
)

// TestOvertakenWatchReply guards against a reply of a watch that a later one overtook: it
// brought back a job that had ended, for good.
func TestOvertakenWatchReply(t *testing.T) {
	fixture := newSyncedFixture(t)
	if fixture.cluster.Jobs[testJob] == nil {
		t.Fatal("the job is not in the replica")
	}
	fixture.watchReply(5, fixture.jobPut, api.Event{Delete: fixture.jobPut.Put, Version: 5})
	fixture.watchReply(3, fixture.jobPut)
	terminal := fixture.dependencies.TerminalStates.Records[testJob]
	if fixture.cluster.Jobs[testJob] != nil || terminal.State != api.JobDone {
		t.Errorf("a job that had ended came back; its terminal state is taken for %+v", terminal)
	}
}

// TestPackedDependencies guards that a long list of dependencies comes back as it was,
// leading zeros included, and is so short that several hundred fit into a value of 2 KiB
// beside the job.
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
				t.Errorf("%d IDs take %d bytes", len(want), packed)
			}
			got := record.Dependencies()
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("%d IDs came back as %d others", len(want), len(got))
			}
		})
	}
}

// randomJobIDs makes about count different IDs, sorted, as far as there are so many of
// these digits, and three with and without leading zeros.
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

// FuzzPackedDependencies guards that what is unreadable in a job's record does no harm.
func FuzzPackedDependencies(f *testing.F) {
	f.Add([]byte{6, 2, 1, 1})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, packed []byte) {
		record := records.Job{PackedDependencies: packed}
		if ids := record.Dependencies(); len(ids) > len(packed) {
			t.Errorf("%d bytes give %d IDs", len(packed), len(ids))
		}
	})
}
