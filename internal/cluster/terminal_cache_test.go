package cluster

import (
	"fmt"
	"testing"

	"spurmoor/internal/records"
)

// TestTerminalCacheEvictsOldest adds several times as many terminal states as the cache holds.
func TestTerminalCacheEvictsOldest(t *testing.T) {
	t.Parallel()
	const capacity, added = 3, 10
	cache := newTerminalCache(capacity)
	for latest := range added {
		cache.add(fmt.Sprint(latest), records.TerminalJob{DoneTasks: latest})
		if want := min(latest+1, capacity); len(cache.Records) != want {
			t.Fatalf("got %d terminal states after %d were added, want %d", len(cache.Records), latest+1, want)
		}
		for job := range latest + 1 {
			_, ok := cache.Records[fmt.Sprint(job)]
			if want := job > latest-capacity; ok != want {
				t.Errorf("after job %d was added: got job %d cached %t, want %t", latest, job, ok, want)
			}
		}
	}
}

// TestTerminalCacheKeepsFirst checks that adding a job again neither changes its terminal state
// nor evicts another one.
func TestTerminalCacheKeepsFirst(t *testing.T) {
	t.Parallel()
	cache := newTerminalCache(2)
	cache.add("a", records.TerminalJob{DoneTasks: 1})
	cache.add("b", records.TerminalJob{DoneTasks: 2})
	cache.add("b", records.TerminalJob{DoneTasks: 3})
	if len(cache.Records) != 2 || cache.Records["a"].DoneTasks != 1 || cache.Records["b"].DoneTasks != 2 {
		t.Errorf("got %v, want a with 1 done task and b with 2", cache.Records)
	}
}
