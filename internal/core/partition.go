package core

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// partition is a share of the teams, held by one controller at a time.
type partition struct {
	*leadership.RoleState
	index          int
	log            []logEntry
	changedJobs    map[string]bool // jobs with changes to commit
	recordChanges  []*machine      // records to change
	machineBatches []*machineBatch // machines to record
	commitInFlight *logCommit
	lastCommitAt   micros.Micros // when the last flush was sent
	sizeReductions int           // how often its flushes were too large: half as much each time
	hasBlockedJobs bool          // jobs waited at its last cycle
	requestedSpare string        // machine of another partition that is to be given to us once it is empty
}

func (p *partition) key() string { return roleKey(p.Role) }
