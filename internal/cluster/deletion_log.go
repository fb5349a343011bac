package cluster

import (
	"slices"

	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// DeletionMemory is how long the deletion of a machine is remembered.
const DeletionMemory = 120 * micros.Second

// DeletionLog remembers the machines whose records were deleted lately, so that the
// cloud's list, which lags, does not bring them back.
type DeletionLog struct {
	*coordination.Environment

	DeletedAt map[string]micros.Micros // by name
	ByTime    []string                 // names in the order of their deletions
}

// NewDeletionLog returns a log of no deletions.
func NewDeletionLog(env *coordination.Environment) *DeletionLog {
	return &DeletionLog{Environment: env, DeletedAt: map[string]micros.Micros{}}
}

// RecordDeletion remembers that a machine's record is deleted now, and forgets deletions
// that have become older than DeletionMemory.
func (l *DeletionLog) RecordDeletion(name string) {
	l.DeletedAt[name] = l.Now
	l.ByTime = append(l.ByTime, name)
	expired := 0
	for expired < len(l.ByTime) && l.Now > l.DeletedAt[l.ByTime[expired]]+DeletionMemory {
		delete(l.DeletedAt, l.ByTime[expired])
		expired++
	}
	l.ByTime = slices.Delete(l.ByTime, 0, expired)
}

// RecentlyDeleted reports whether a machine's record was deleted within DeletionMemory.
func (l *DeletionLog) RecentlyDeleted(name string) bool {
	at, ok := l.DeletedAt[name]
	return ok && l.Now < at+DeletionMemory
}
