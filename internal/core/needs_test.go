package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/wire"
)

// TestPack guards that a long list of needs comes back as it was, leading
// zeros included, and takes so little room that several hundred fit into a
// value of 2 KiB beside the job.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ count, digits, room int }{{1, 6, 60}, {500, 6, 1400}, {40, 18, 600}, {300, 1, 60}, {1000, 9, 6000}} {
		want := map[string]bool{}
		for len(want) < min(c.count, 10) || len(want) < c.count && c.digits > 2 {
			most := uint64(1)
			for range c.digits {
				most *= 10
			}
			want[fmt.Sprintf("wk-%0*d", c.digits, rng.Uint64N(most))] = true
		}
		want["wk-7"], want["wk-07"], want["wk-000000000000000000"] = true, true, true
		rec := jobRecord{Spec: wire.Job{ID: "wk-1", Needs: sorted(want)}}
		rec.pack()
		b := mustJSON(rec)
		if spec := len(mustJSON(jobRecord{Spec: wire.Job{ID: "wk-1"}})); len(b)-spec > c.room+60 {
			t.Errorf("%d ids of %d digits take %d bytes", len(want), c.digits, len(b)-spec)
		}
		got := rec.needs()
		slices.Sort(got)
		if !slices.Equal(got, sorted(want)) {
			t.Errorf("%d ids of %d digits came back as %d others", len(want), c.digits, len(got))
		}
	}
}

// FuzzNeeds guards that what is unreadable in a job's record does no harm.
func FuzzNeeds(f *testing.F) {
	f.Add([]byte{6, 2, 1, 1})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		rec := jobRecord{Packed: b}
		if ids := rec.needs(); len(ids) > len(b) {
			t.Errorf("%d bytes give %d ids", len(b), len(ids))
		}
	})
}
