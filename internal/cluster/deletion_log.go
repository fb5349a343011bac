package cluster

import (
	"slices"

	"spurmoor/internal/coordination"

	"spurmoor/internal/micros"
)

// DeletionLog remembers the machines whose records were deleted lately, so that lagging
// lists do not bring them back.
type DeletionLog struct {
	*coordination.Environment

	DeletedAt map[string]micros.Micros
	ByTime    []string
}

// NewDeletionLog makes a deletion log.
func NewDeletionLog(env *coordination.Environment) *DeletionLog {
	return &DeletionLog{Environment: env, DeletedAt: map[string]micros.Micros{}}
}

// DeletionMemory is how long a deletion is remembered.
const DeletionMemory = 120 * micros.Second

// RecordDeletion remembers a deletion, and forgets those of long ago.
func (l *DeletionLog) RecordDeletion(name string) {
	d := l
	d.DeletedAt[name] = l.Now
	d.ByTime = append(d.ByTime, name)
	old := 0
	for old < len(d.ByTime) && l.Now > d.DeletedAt[d.ByTime[old]]+DeletionMemory {
		delete(d.DeletedAt, d.ByTime[old])
		old++
	}
	d.ByTime = slices.Delete(d.ByTime, 0, old)
}

// RecentlyDeleted tells whether a machine's record was deleted not long ago.
func (l *DeletionLog) RecentlyDeleted(name string) bool {
	at, ok := l.DeletedAt[name]
	return ok && l.Now < at+DeletionMemory
}
