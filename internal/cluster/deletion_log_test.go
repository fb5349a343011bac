package cluster

import (
	"testing"

	"spurmoor/internal/micros"
)

func TestRecentlyDeleted(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	deletions := NewDeletionLog(env)
	const deletedAt = 1000 * micros.Second
	env.Now = deletedAt
	deletions.RecordDeletion("n-1")
	for _, tc := range []struct {
		name    string
		machine string
		after   micros.Micros
		want    bool
	}{
		{"at once", "n-1", 0, true},
		{"just within", "n-1", DeletionMemory - 1, true},
		{"just past", "n-1", DeletionMemory, false},
		{"another machine", "n-2", 0, false},
	} {
		env.Now = deletedAt + tc.after
		if got := deletions.RecentlyDeleted(tc.machine); got != tc.want {
			t.Errorf("%s: %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestDeletionLogIsBounded makes sure that deletions are forgotten, though nobody asks.
func TestDeletionLogIsBounded(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	deletions := NewDeletionLog(env)
	for _, name := range []string{"n-1", "n-2"} {
		deletions.RecordDeletion(name)
	}
	env.Now = DeletionMemory / 2
	deletions.RecordDeletion("n-3")
	env.Now = DeletionMemory + 1
	deletions.RecordDeletion("n-4")
	if len(deletions.ByTime) != 2 || len(deletions.DeletedAt) != 2 {
		t.Errorf("remembers %q and %v, want n-3 and n-4 alone", deletions.ByTime, deletions.DeletedAt)
	}
	if deletions.RecentlyDeleted("n-1") || !deletions.RecentlyDeleted("n-3") || !deletions.RecentlyDeleted("n-4") {
		t.Errorf("remembers %v", deletions.DeletedAt)
	}
}
