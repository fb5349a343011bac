package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// Partition is a group of teams with their jobs and machines. At most one controller leads it
// at a time.
type Partition struct {
	// The leader and its term. Written by coordination.
	*leadership.RoleState

	Index int

	// The partition's log, sorted by sequence number. Written by State.
	Log []LogEntry

	// Changes to commit. Written by State, provisioning and the partition log, and by core
	// when leadership begins or is lost.
	ChangedJobs    map[string]bool // by job id
	RecordChanges  []*Machine      // machines with a requested change of their record
	MachineBatches []*MachineBatch // new machines to record

	// The commit whose outcome is awaited, nil if there is none. Written by the partition log,
	// and by core when leadership is lost.
	CommitInFlight *LogCommit
	lastCommitAt   micros.Micros // when the last commit was sent
	sizeHalvings   int           // how many times the size of its commits was halved, because the store refused larger ones

	// Exchange of machines between partitions. Written by planning.
	HasBlockedJobs bool   // jobs still waited after the last scheduling cycle
	RequestedSpare string // machine that another partition is to transfer to this one once it is empty
}

// Key returns the partition's leadership key in the store.
func (p *Partition) Key() string { return coordination.RoleKey(p.Role) }

// hasChanges reports whether there is anything to commit.
func (p *Partition) hasChanges() bool {
	return len(p.ChangedJobs) > 0 || len(p.RecordChanges) > 0 || len(p.MachineBatches) > 0
}
