package cluster

import (
	"slices"

	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// DeletionRetention is how long a DeletionLog keeps the deletion of a machine.
const DeletionRetention = 120 * micros.Second

// DeletionLog holds the machines whose records were deleted recently. The cloud's list lags
// behind and would otherwise add them again.
type DeletionLog struct {
	*coordination.Environment

	DeletedAt map[string]micros.Micros // by machine name
	ByTime    []string                 // machine names in the order of their deletions
}

// NewDeletionLog returns a log without deletions.
func NewDeletionLog(env *coordination.Environment) *DeletionLog {
	return &DeletionLog{Environment: env, DeletedAt: map[string]micros.Micros{}}
}

// Record adds the deletion of a machine's record now. It drops deletions that are older than
// DeletionRetention.
func (l *DeletionLog) Record(name string) {
	l.DeletedAt[name] = l.Now
	l.ByTime = append(l.ByTime, name)
	expired := 0
	for expired < len(l.ByTime) && l.Now > l.DeletedAt[l.ByTime[expired]]+DeletionRetention {
		delete(l.DeletedAt, l.ByTime[expired])
		expired++
	}
	l.ByTime = slices.Delete(l.ByTime, 0, expired)
}

// RecentlyDeleted reports whether a machine's record was deleted within DeletionRetention.
func (l *DeletionLog) RecentlyDeleted(name string) bool {
	at, ok := l.DeletedAt[name]
	return ok && l.Now < at+DeletionRetention
}
