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
	deletions.Record("n-1")
	for _, tc := range []struct {
		name    string
		machine string
		after   micros.Micros
		want    bool
	}{
		{"at once", "n-1", 0, true},
		{"just within", "n-1", DeletionRetention - 1, true},
		{"just past", "n-1", DeletionRetention, false},
		{"another machine", "n-2", 0, false},
	} {
		env.Now = deletedAt + tc.after
		if got := deletions.RecentlyDeleted(tc.machine); got != tc.want {
			t.Errorf("%s: got recently deleted %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestDeletionLogIsBounded checks that old deletions are dropped even if nobody queries them.
func TestDeletionLogIsBounded(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	deletions := NewDeletionLog(env)
	for _, name := range []string{"n-1", "n-2"} {
		deletions.Record(name)
	}
	env.Now = DeletionRetention / 2
	deletions.Record("n-3")
	env.Now = DeletionRetention + 1
	deletions.Record("n-4")
	if len(deletions.ByTime) != 2 || len(deletions.DeletedAt) != 2 {
		t.Errorf("got %q and %v, want only n-3 and n-4", deletions.ByTime, deletions.DeletedAt)
	}
	if deletions.RecentlyDeleted("n-1") || !deletions.RecentlyDeleted("n-3") || !deletions.RecentlyDeleted("n-4") {
		t.Errorf("got %v, want n-3 and n-4 recently deleted and n-1 not", deletions.DeletedAt)
	}
}
