package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Partition is a share of the teams, with their jobs and machines. One controller leads
// it at a time.
type Partition struct {
	// Who leads it, at which term. Written by coordination.
	*leadership.RoleState

	Index int

	// Its log, in the order of the sequences. Written by State.
	Log []LogEntry

	// What is to be committed. Written by State, planning and provisioning.
	ChangedJobs    map[string]bool // by id
	RecordChanges  []*Machine      // machines whose records are to change
	MachineBatches []*MachineBatch // machines to be recorded

	// The commit whose outcome is awaited, nil: none. Written by the partition log, and
	// by core as leadership is lost.
	CommitInFlight *LogCommit
	lastCommitAt   micros.Micros // when the last commit was sent
	sizeReductions int           // how often its commits were too large: each halves their size

	// Exchange of machines between partitions. Written by planning.
	HasBlockedJobs bool   // jobs waited after the last scheduling cycle
	RequestedSpare string // machine of another partition that we are to get once it is empty
}

// Key returns the key of the partition's leadership in the store.
func (p *Partition) Key() string { return coordination.RoleKey(p.Role) }

// hasChanges reports whether anything is to be committed.
func (p *Partition) hasChanges() bool {
	return len(p.ChangedJobs) > 0 || len(p.RecordChanges) > 0 || len(p.MachineBatches) > 0
}
