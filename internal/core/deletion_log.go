package core

import (
	"slices"

	"spurmoor/internal/micros"
)

// deletionLog remembers the machines whose records were deleted lately, so that lagging
// lists do not bring them back.
type deletionLog struct {
	*environment

	deletedAt map[string]micros.Micros
	byTime    []string
}

func newDeletionLog(env *environment) *deletionLog {
	return &deletionLog{environment: env, deletedAt: map[string]micros.Micros{}}
}

// deletionMemory is how long a deletion is remembered.
const deletionMemory = 120 * micros.Second

// recordDeletion remembers a deletion, and forgets those of long ago.
func (l *deletionLog) recordDeletion(name string) {
	d := l
	d.deletedAt[name] = l.now
	d.byTime = append(d.byTime, name)
	old := 0
	for old < len(d.byTime) && l.now > d.deletedAt[d.byTime[old]]+deletionMemory {
		delete(d.deletedAt, d.byTime[old])
		old++
	}
	d.byTime = slices.Delete(d.byTime, 0, old)
}

// recentlyDeleted tells whether a machine's record was deleted not long ago.
func (l *deletionLog) recentlyDeleted(name string) bool {
	at, ok := l.deletedAt[name]
	return ok && l.now < at+deletionMemory
}
