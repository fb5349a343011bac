package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Partition is a share of the teams, held by one controller at a time.
type Partition struct {
	*leadership.RoleState
	Index          int
	Log            []LogEntry
	ChangedJobs    map[string]bool // jobs with changes to commit
	RecordChanges  []*Machine      // records to change
	MachineBatches []*MachineBatch // machines to record
	CommitInFlight *LogCommit
	lastCommitAt   micros.Micros // when the last flush was sent
	sizeReductions int           // how often its flushes were too large: half as much each time
	HasBlockedJobs bool          // jobs waited at its last cycle
	RequestedSpare string        // machine of another partition that is to be given to us once it is empty
}

// Key gives the key of the partition's leader in the store.
func (p *Partition) Key() string { return coordination.RoleKey(p.Role) }
