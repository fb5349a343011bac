package core

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// partition is a share of the teams, held by one controller at a time.
type partition struct {
	*leadership.RoleState
	index           int
	log             []logEntry
	changedJobs     map[string]bool // jobs with changes to commit
	recordChanges   []*machine      // records to change
	machineBatches  []*machineBatch // machines to record
	commitInFlight  *logCommit
	lastCommitAt    micros.Micros                  // when the last flush was sent
	sizeReductions  int                            // how often its flushes were too large: half as much each time
	pendingMachines map[scheduler.InstanceKind]int // asked for and not recorded yet
	requests        requestLedger
	hasBlockedJobs  bool   // jobs waited at its last cycle
	requestedSpare  string // machine of another partition that is to be given to us once it is empty
}

func (p *partition) key() string { return roleKey(p.Role) }

// partitionAcquired begins to act for a partition.
func (c *Controller) partitionAcquired(index int) {
	p := c.partitions[index]
	c.logInfo("partition taken over", "partition", p.index, "term", p.Term)
	for _, m := range c.machinesByName {
		if m.record.Partition == p.index {
			c.resetObservations(m)
		}
	}
	for id, j := range c.jobs {
		if j.partition == p.index {
			p.changedJobs[id] = true
		}
	}
	c.releaseTasksWithoutMachine()
	c.adoptOpenRequests(p)
	c.requestPlanWithin(micros.Second / 5)
}

// resetObservations starts over with a machine that came to us from another holder:
// that one may have told its worker 200 until now.
func (c *Controller) resetObservations(m *machine) {
	m.tokenConfirmed, m.nextCommandAt, m.commandInFlight = false, c.now, false
	m.leaseExpiresAt = max(m.leaseExpiresAt, c.now+c.formerLeaderLeaseBound())
	m.lastSeenAt, m.awaitedSince = max(m.lastSeenAt, c.now), c.now
	m.idleSince = c.now
	// Started anew perhaps, by that holder, in a session that we know nothing of:
	// taken for seen by us they were proven gone by that session (random days).
	for _, id := range m.taskIDs {
		t := c.jobs[id.job].task(id.index)
		t.observed, t.reportedState = false, ""
	}
	m.deleteSent, m.deleteConfirmed = false, false
	m.lastCommands, m.ignoringSince = nil, 0
	m.pendingChange, m.moveToPartition = noRecordChange, -1
}

// partitionLost throws away what was not committed of a partition that is held no
// more.
func (c *Controller) partitionLost(index int, why string) {
	p := c.partitions[index]
	c.logInfo("partition lost", "partition", p.index, "why", why)
	if p.commitInFlight != nil {
		p.commitInFlight.settled = true // it was carried out before the partition went, or never
		p.commitInFlight = nil
	}
	for _, m := range p.recordChanges {
		m.pendingChange = noRecordChange
	}
	fresh := p.machineBatches
	p.recordChanges, p.machineBatches = nil, nil
	clear(p.changedJobs)
	for _, n := range fresh {
		n.onRecorded()
	}
	p.abandonRequests()
	for _, id := range sortedKeys(c.jobs) {
		if j := c.jobs[id]; j.partition == p.index {
			c.revertUncommitted(j)
		}
	}
}
