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
	// terminalStateWrites is how many writes a job's end takes: its terminal state, and the
	// deletion of its key. An entry takes one.
	terminalStateWrites = 2
	entryWrites         = 1
	// minCommitWrites is how many writes a commit may always have: a job's end and an entry.
	minCommitWrites = terminalStateWrites + entryWrites
	// terminalStateCompares is how many compares must be left for a job's end: its own, and
	// that of an entry's slot.
	terminalStateCompares = 2
	// terminalComparesShare is one over the share of the compares of a transaction that
	// jobs' ends may take: the rest is for starts of tasks.
	terminalComparesShare = 2
	// spareBudgetShare is the share of its capacity that the write budget must hold for the
	// ends of cancelled jobs to go with others.
	spareBudgetShare = 0.7
)

// LogCommit is a transaction that commits what was decided of a partition, as far as it
// fits. It compares the key of the partition's leadership and the version of the slot that
// its first entry goes to, which never comes back: of several copies at most one is ever
// carried out. A partition has at most one commit in flight.
type LogCommit struct {
	*coordination.Transaction

	PreviousSlotVersion api.Revision // of the slot that the first entry goes to
	Entries             []LogEntry
	lastEntrySize       int // bytes of the last entry

	// What it commits.
	tasks           []taskChange
	TerminalJobs    []*Job
	terminalRecords []records.TerminalRecord // of TerminalJobs
	recordChanges   []recordChange
	machineBatches  []*MachineBatch
}

// recordChange is a change of a machine's record.
type recordChange struct {
	machine *Machine
	kind    RecordChangeKind
}

// MachineBatch are machines that a partition is to record.
type MachineBatch struct {
	Records []records.MachineRecord
	// Adopt says that these are orphaned instances, which another controller might adopt
	// or have launched at the same time.
	Adopt bool
	// OnRecorded is called once the batch is recorded, or given up if it is an adoption.
	OnRecorded func()
}

// compare has a commit fail unless a key still has a version.
func (c *LogCommit) compare(key string, version api.Revision) {
	c.Request.Compares = append(c.Request.Compares, api.Compare{Key: key, Version: version})
}

// isEmpty reports whether a commit would change nothing.
func (c *LogCommit) isEmpty() bool {
	return len(c.TerminalJobs) == 0 && len(c.recordChanges) == 0 && len(c.machineBatches) == 0 && len(c.tasks) == 0
}

// BuildCommit gathers a partition's commit in at most so many writes: terminal states
// first, for their users wait, then machines, then tasks, of which a commit may hold
// thousands. It returns nil if there is nothing to commit or it waits for more budget.
func (l *PartitionLog) BuildCommit(partition *Partition, maxWrites int) *LogCommit {
	maxWrites = max(minCommitWrites, maxWrites>>partition.sizeReductions)
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
			Put: records.SlotKey(partition.Index, entry.Slot), Value: entry.value(),
		})
	}
	return commit
}

// newCommit returns an empty commit of a partition.
func (l *PartitionLog) newCommit(partition *Partition) *LogCommit {
	return &LogCommit{Transaction: &coordination.Transaction{
		Grant:       func() leadership.Grant { return l.storeLease.Grant(partition.RoleState, leadership.Write) },
		OnCommitted: func(revision api.Revision) { l.CommitSucceeded(partition, revision) },
		OnRefused:   func() { l.commitRefused(partition) },
	}}
}

// awaitsBudget reports whether a commit waits for its budget to hold more: all terminal
// states that are due, and an entry, or as much as a transaction or the budget can hold.
func (l *PartitionLog) awaitsBudget(partition *Partition, ended, maxWrites int) bool {
	wanted := min(terminalStateWrites*ended+2*entryWrites, l.Settings.Deployment.Store.MaxTransactionOps)
	if maxWrites >= min(wanted, int(l.budget.Capacity)) {
		return false
	}
	return l.Now < partition.lastCommitAt+coordination.CommitBatchWait
}

// terminalJobsDue lists the jobs among these whose terminal states are to be committed, in
// the order to do so. Jobs that have nothing to commit are no longer marked as changed.
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
		case job.ChangedTasks == 0:
			delete(partition.ChangedJobs, id)
		}
	}
	slices.SortStableFunc(ended, l.compareTerminalJobs)
	return ended
}

// compareTerminalJobs orders jobs whose terminal states are due by priority, then by when
// they ended. In the order of their names the last once waited for a hundred seconds.
func (l *PartitionLog) compareTerminalJobs(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(l.terminalPriorityOf(a), l.terminalPriorityOf(b)),
		cmp.Compare(a.endedAt, b.endedAt),
	)
}

// terminalPriority orders terminal states that are due; the lowest goes first.
type terminalPriority int

const (
	dependedOnFirst terminalPriority = iota // other jobs wait for it
	doneNext
	cancelledLast // its user was notified without it
)

func (l *PartitionLog) terminalPriorityOf(job *Job) terminalPriority {
	switch {
	case job.Cancelled:
		return cancelledLast
	case l.dependencies.ByJob[job.ID] != nil:
		return dependedOnFirst
	}
	return doneNext
}

// addTerminalStates adds terminal states, as many as leave room for an entry.
func (l *PartitionLog) addTerminalStates(commit *LogCommit, ended []*Job, maxWrites int) {
	maxCompares := l.Settings.MaxCompares() / terminalComparesShare
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
// now. Its user was notified without it, so others' ends have the budget first.
func (l *PartitionLog) mayCommitCancelled(job *Job, maxWrites int) bool {
	return float64(maxWrites) >= l.budget.Capacity*spareBudgetShare ||
		l.Now >= job.endedAt+coordination.CancelledTerminalWait
}

// addTerminalState adds a job's terminal state. It compares the job's key, so that the end
// and a cancellation cannot both win.
func (c *LogCommit) addTerminalState(job *Job) {
	record := records.TerminalRecord{State: api.JobDone, DoneTasks: job.DoneTasks, EndedAt: job.endedAt}
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

// addLogEntries adds entries of the log with what became of machines and tasks.
func (l *PartitionLog) addLogEntries(commit *LogCommit, partition *Partition, jobIDs []string, maxWrites int) {
	entryLimit := min(MaxTransactionBytes/minEntriesPerTransaction, l.Settings.MaxValueBytes()-entryOverheadBytes)
	entryLimit >>= partition.sizeReductions
	builder := &entryBuilder{
		log: l, partition: partition, commit: commit,
		maxCompares: l.Settings.MaxCompares(),
		maxEntries:  min(maxWrites-len(commit.Request.Writes), MaxTransactionBytes/entryLimit),
		entryLimit:  entryLimit,
		included:    map[*Task]bool{},
	}
	if builder.openEntry() {
		builder.addNewMachines()
		builder.addRecordChanges()
		builder.addTaskChanges(jobIDs)
	}
}
