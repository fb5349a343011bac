package cluster

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/records"
)

const (
	// terminalStateWrites is how many writes the end of a job takes: its terminal state and the
	// deletion of its key. A log entry takes one.
	terminalStateWrites = 2
	entryWrites         = 1
	// minCommitWrites is how many writes a commit may always have: the end of one job and one
	// log entry.
	minCommitWrites = terminalStateWrites + entryWrites
	// terminalStateCompares is how many compares must be left for the end of a job: its own and
	// that of the slot of the first entry.
	terminalStateCompares = 2
	// terminalComparesDivisor is the reciprocal of the share of a transaction's compares that
	// the ends of jobs may take. The rest is left for starts of tasks.
	terminalComparesDivisor = 2
	// cancelledBudgetShare is the share of its capacity that the write budget must hold for
	// a commit to include the ends of cancelled jobs at once.
	cancelledBudgetShare = 0.7
)

// LogCommit is a transaction that commits changes of a partition, as many as fit. It compares
// the leadership key of the partition and the version of the slot of its first entry. That
// version never recurs, so of several copies of the transaction at most one is carried out. A
// partition has at most one commit in flight.
type LogCommit struct {
	*coordination.Transaction

	PreviousSlotVersion api.Revision // of the slot of the first entry
	Entries             []LogEntry
	lastEntryBytes      int // encoded size of the last entry

	// The changes to commit.
	tasks           []taskChange
	TerminalJobs    []*Job
	terminalRecords []records.TerminalJob // parallel to TerminalJobs
	recordChanges   []recordChange
	machineBatches  []*MachineBatch
}

// recordChange is a change of a machine's record in a commit.
type recordChange struct {
	machine *Machine
	kind    RecordChangeKind
}

// MachineBatch is a set of machines whose first records are committed together.
type MachineBatch struct {
	Records []records.Machine
	// IsAdoption reports whether these are orphaned instances, which another controller may adopt or
	// record as launched at the same time.
	IsAdoption bool
	// OnRecorded is called after the batch is committed. It is also called when the batch is
	// dropped: because leadership is lost or, for an adoption, because a commit is refused.
	OnRecorded func()
}

// compare makes the commit fail unless a key still has the given version.
func (c *LogCommit) compare(key string, version api.Revision) {
	c.Request.Compares = append(c.Request.Compares, api.Compare{Key: key, Version: version})
}

// isEmpty reports whether the commit has no changes.
func (c *LogCommit) isEmpty() bool {
	return len(c.TerminalJobs) == 0 && len(c.recordChanges) == 0 && len(c.machineBatches) == 0 && len(c.tasks) == 0
}

// BuildCommit builds the next commit of a partition, with at most maxWrites writes. Terminal
// states come first, since users wait for them, then machines, then tasks, of which a commit
// may hold thousands. It returns nil if there is nothing to commit or if the commit waits for
// more budget.
func (l *PartitionLog) BuildCommit(partition *Partition, maxWrites int) *LogCommit {
	maxWrites = max(minCommitWrites, maxWrites>>partition.sizeHalvings)
	jobIDs := slices.Sorted(maps.Keys(partition.ChangedJobs))
	ended := l.terminalJobsDue(partition, jobIDs)
	if l.awaitsBudget(partition, len(ended), maxWrites) {
		return nil
	}
	commit := l.newCommit(partition)
	commit.compare(partition.Key(), api.Revision(partition.Term))
	l.addTerminalStates(commit, ended, maxWrites)
	l.addLogEntries(commit, partition, jobIDs, maxWrites)
	if commit.isEmpty() {
		return nil
	}
	for _, entry := range commit.Entries {
		commit.Request.Writes = append(commit.Request.Writes, api.Write{
			Put: records.SlotKey(partition.Index, entry.Slot), Value: entry.encode(),
		})
	}
	return commit
}

// newCommit returns an empty commit of a partition.
func (l *PartitionLog) newCommit(partition *Partition) *LogCommit {
	return &LogCommit{Transaction: &coordination.Transaction{
		Grant:       func() leadership.Grant { return l.storeLease.Grant(partition.RoleState, leadership.ActionWrite) },
		OnCommitted: func(revision api.Revision) { l.HandleCommitted(partition, revision) },
		OnRefused:   func() { l.handleRefused(partition) },
	}}
}

// awaitsBudget reports whether a commit waits for more write budget. It waits until the
// budget covers all terminal states that are due and two entries, or as much as one
// transaction or a full budget can hold, but at most coordination.CommitBatchWait after the
// last commit.
func (l *PartitionLog) awaitsBudget(partition *Partition, ended, maxWrites int) bool {
	wanted := min(terminalStateWrites*ended+2*entryWrites, l.Settings.Deployment.Store.MaxTransactionOps)
	if maxWrites >= min(wanted, int(l.budget.Capacity)) {
		return false
	}
	return l.Now < partition.lastCommitAt+coordination.CommitBatchWait
}

// terminalJobsDue returns the jobs among jobIDs whose terminal states are due, in the order to
// commit them. It removes jobs without changes to commit from the partition's changed jobs.
func (l *PartitionLog) terminalJobsDue(partition *Partition, jobIDs []string) []*Job {
	var ended []*Job
	for _, id := range jobIDs {
		job := l.cluster.Jobs[id]
		switch {
		case job == nil || job.Terminal:
			delete(partition.ChangedJobs, id)
		case job.isFinished():
			if job.endedAt == 0 {
				job.endedAt = l.Now
			}
			ended = append(ended, job)
		case job.UncommittedTasks == 0:
			delete(partition.ChangedJobs, id)
		}
	}
	slices.SortStableFunc(ended, l.compareTerminalJobs)
	return ended
}

// compareTerminalJobs orders jobs whose terminal states are due by priority, then by the time
// they ended. Ordered by id, the last job can wait for a hundred seconds.
func (l *PartitionLog) compareTerminalJobs(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(l.terminalPriorityOf(a), l.terminalPriorityOf(b)),
		cmp.Compare(a.endedAt, b.endedAt),
	)
}

// terminalPriority is the priority of a terminal state that is due. The lowest value is
// committed first.
type terminalPriority int

const (
	priorityDependedOn terminalPriority = iota // other jobs depend on the job
	priorityDone
	priorityCancelled // its user was notified without the commit
)

func (l *PartitionLog) terminalPriorityOf(job *Job) terminalPriority {
	switch {
	case job.Cancelled:
		return priorityCancelled
	case l.dependencies.ByJob[job.ID] != nil:
		return priorityDependedOn
	}
	return priorityDone
}

// addTerminalStates adds as many terminal states as leave space for a log entry.
func (l *PartitionLog) addTerminalStates(commit *LogCommit, ended []*Job, maxWrites int) {
	maxCompares := l.Settings.MaxCompares() / terminalComparesDivisor
	for _, job := range ended {
		if len(commit.Request.Writes)+minCommitWrites > maxWrites {
			continue
		}
		if len(commit.Request.Compares)+terminalStateCompares > maxCompares {
			continue
		}
		if job.Cancelled && !l.mayCommitCancelled(job, maxWrites) {
			continue
		}
		commit.addTerminalState(job)
	}
}

// mayCommitCancelled reports whether the terminal state of a cancelled job may be committed
// now. Other jobs get the budget first, since the user of a cancelled job was notified without
// the commit.
func (l *PartitionLog) mayCommitCancelled(job *Job, maxWrites int) bool {
	return float64(maxWrites) >= l.budget.Capacity*cancelledBudgetShare ||
		l.Now >= job.endedAt+coordination.CancelledTerminalWait
}

// addTerminalState adds a job's terminal state. It compares the version of the job's key, so
// that of the job's end and a concurrent cancellation only one succeeds.
func (c *LogCommit) addTerminalState(job *Job) {
	record := records.TerminalJob{State: api.JobDone, DoneTasks: job.DoneTasks, EndedAt: job.endedAt}
	if job.Cancelled {
		record.State = api.JobCancelled
	}
	c.compare(records.JobPrefix+job.ID, job.Version)
	c.Request.Writes = append(
		c.Request.Writes,
		api.Write{Put: records.TerminalPrefix + job.ID, Value: records.MustMarshal(record)},
		api.Write{Delete: records.JobPrefix + job.ID},
	)
	c.TerminalJobs = append(c.TerminalJobs, job)
	c.terminalRecords = append(c.terminalRecords, record)
}

// addLogEntries adds log entries with the changes of machines and tasks, as many as fit. The
// other changes remain for later commits.
func (l *PartitionLog) addLogEntries(commit *LogCommit, partition *Partition, jobIDs []string, maxWrites int) {
	maxEntryBytes := min(MaxTransactionBytes/minEntriesPerTransaction, l.Settings.MaxValueBytes()-maxEntryOverheadBytes)
	maxEntryBytes >>= partition.sizeHalvings
	builder := &entryBuilder{
		log: l, partition: partition, commit: commit,
		maxCompares:   l.Settings.MaxCompares(),
		maxEntries:    min(maxWrites-len(commit.Request.Writes), MaxTransactionBytes/maxEntryBytes),
		maxEntryBytes: maxEntryBytes,
		included:      map[*Task]bool{},
	}
	if builder.openEntry() {
		builder.addNewMachines()
		builder.addRecordChanges()
		builder.addTaskChanges(jobIDs)
	}
}
