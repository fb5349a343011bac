package cluster

import (
	"fmt"
	"testing"

	"spurmoor/internal/records"
)

// TestTerminalCacheEvictsOldest adds more terminal states than the cache holds, several
// times round.
func TestTerminalCacheEvictsOldest(t *testing.T) {
	t.Parallel()
	const capacity, added = 3, 10
	cache := newTerminalCache(capacity)
	for latest := range added {
		cache.add(fmt.Sprint(latest), records.TerminalRecord{DoneTasks: latest})
		if want := min(latest+1, capacity); len(cache.Records) != want {
			t.Fatalf("%d terminal states after %d were added, want %d", len(cache.Records), latest+1, want)
		}
		for job := range latest + 1 {
			_, ok := cache.Records[fmt.Sprint(job)]
			if want := job > latest-capacity; ok != want {
				t.Errorf("after job %d was added, job %d is there: %t, want %t", latest, job, ok, want)
			}
		}
	}
}

// TestTerminalCacheKeepsFirst makes sure that adding a job again neither changes its
// terminal state nor pushes another one out.
func TestTerminalCacheKeepsFirst(t *testing.T) {
	t.Parallel()
	cache := newTerminalCache(2)
	cache.add("a", records.TerminalRecord{DoneTasks: 1})
	cache.add("b", records.TerminalRecord{DoneTasks: 2})
	cache.add("b", records.TerminalRecord{DoneTasks: 3})
	if len(cache.Records) != 2 || cache.Records["a"].DoneTasks != 1 || cache.Records["b"].DoneTasks != 2 {
		t.Errorf("kept %v", cache.Records)
	}
}
