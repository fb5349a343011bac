package cluster

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/coordination"
	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// PartitionLog commits what was decided of the partitions that we lead: each partition's
// changes as entries of its log, several at a time, within the budget of changes.
type PartitionLog struct {
	*coordination.Environment
	budget       *coordination.WriteBudget
	cache        *coordination.WatchCache
	cluster      *State
	dependencies *DependencyGraph
	peers        *coordination.PeerTracker
	registry     *MachineRegistry
	storeLease   *coordination.StoreLease
	transactions *coordination.TransactionSender

	nextPartition int // whose turn it is to commit first
}

// NewPartitionLog makes a partition log.
func NewPartitionLog(env *coordination.Environment, budget *coordination.WriteBudget, cache *coordination.WatchCache, cluster *State, dependencies *DependencyGraph,
	peers *coordination.PeerTracker, registry *MachineRegistry, lease *coordination.StoreLease, transactions *coordination.TransactionSender) *PartitionLog {
	return &PartitionLog{Environment: env, budget: budget, cache: cache, cluster: cluster, dependencies: dependencies,
		peers: peers, registry: registry, storeLease: lease, transactions: transactions}
}

// LogEntry is an entry of a partition's log.
type LogEntry struct {
	Sequence uint64
	Slot     int
	Version  uint64
	Runs     []records.TaskRun
	Machines []records.MachineRecord
}

// LogCommit is the one transaction of a partition that is out: all that was decided,
// as far as it fits. It guards the partition's key and the version of the slot that
// its first entry goes to, which never comes back: of several copies at most
// one is ever carried out.
type LogCommit struct {
	*coordination.Transaction
	PreviousSlotVersion uint64 // version of its first slot before
	Entries             []LogEntry
	lastEntrySize       int // of the last entry
	tasks               []taskChange
	TerminalJobs        []*Job
	terminalRecords     []records.TerminalRecord
	recordChanges       []recordChange
	machineBatches      []*MachineBatch
}

type taskChange struct {
	job        *Job
	index      int
	generation uint32
	record     TaskRecord
	sequence   uint64
}

type recordChange struct {
	machine *Machine
	kind    RecordChangeKind
}

// MachineBatch are machines that a partition is to record.
type MachineBatch struct {
	Records    []records.MachineRecord
	Adopt      bool // strays: others' logs and rentals are guarded against
	OnRecorded func()
}

// Sizes of what is written. A log has at least so many slots, and so many that
// what is written anew fills a quarter of an entry.
const (
	MaxTransactionBytes = 40 << 10
	minLogSlots         = 64
	entryOverheadBytes  = 60  // an entry without its runs and rows
	MachineRecordBytes  = 160 // a row, at the most, without its names
	carriedOverShare    = 4
)

// CommitChanges sends each held partition's next flush when there is something to
// commit, the last one is settled and the budget allows it.
func (l *PartitionLog) CommitChanges() {
	l.transactions.ResendTransactions()
	if !l.cache.Synced {
		return
	}
	l.budget.RefillBudget(l.writeRateShare())
	for k := range l.cluster.Partitions {
		// Each partition first in turn.
		p := l.cluster.Partitions[(k+l.nextPartition)%len(l.cluster.Partitions)]
		if !p.Leads() || p.CommitInFlight != nil || l.Now < p.lastCommitAt+micros.Second/10 || !p.hasChanges() || !l.storeLease.LeaseValid() {
			continue
		}
		most := min(l.Settings.Deployment.Store.MaxTransactionOps, int(l.budget.Available))
		if most < min(4, l.Settings.Deployment.Store.MaxTransactionOps) {
			return
		}
		if f := l.BuildCommit(p, most); f != nil {
			l.budget.Charge(len(f.Request.Writes))
			p.CommitInFlight, p.lastCommitAt = f, l.Now
			l.transactions.SubmitTransaction(f.Transaction)
			l.nextPartition++
		}
	}
}

// hasChanges tells whether anything is to be committed.
func (p *Partition) hasChanges() bool {
	return len(p.ChangedJobs) > 0 || len(p.RecordChanges) > 0 || len(p.MachineBatches) > 0
}

// BuildCommit gathers a partition's flush in at most so many writes: finals first, for
// their users wait, then machines, then tasks, of which a flush may hold
// thousands. Nil: there is nothing to commit, or it waits for more budget.
func (l *PartitionLog) BuildCommit(p *Partition, most int) *LogCommit {
	f := &LogCommit{Transaction: &coordination.Transaction{Grant: func() leadership.Grant { return l.storeLease.Grant(p.RoleState, leadership.Write) }}}
	most = max(minCommitWrites, most>>p.sizeReductions)
	ids := slices.Sorted(maps.Keys(p.ChangedJobs))
	ends := l.terminalJobsDue(p, ids)
	if want := min(2*len(ends)+2, l.Settings.Deployment.Store.MaxTransactionOps); most < min(want, int(l.budget.Capacity)) && l.Now < p.lastCommitAt+coordination.CommitBatchWait {
		return nil
	}
	f.compare(p.Key(), p.Term)
	l.addTerminalStates(f, ends, most)
	l.addLogEntries(f, p, ids, most)
	if f.isEmpty() {
		return nil
	}
	for _, e := range f.Entries {
		f.Request.Writes = append(f.Request.Writes, api.Write{Put: records.SlotKey(p.Index, e.Slot), Value: records.MustMarshal(records.LogRecord{Sequence: e.Sequence, Runs: e.Runs, Machines: e.Machines})})
	}
	f.OnCommitted = func(rev uint64) { l.CommitSucceeded(p, rev) }
	f.OnRefused = func() { l.commitRefused(p) }
	return f
}

// compare has a flush fail unless a key still has a version.
func (f *LogCommit) compare(key string, version uint64) {
	f.Request.Compares = append(f.Request.Compares, api.Compare{Key: key, Version: version})
}

// isEmpty tells whether a flush would change nothing.
func (f *LogCommit) isEmpty() bool {
	return len(f.TerminalJobs) == 0 && len(f.recordChanges) == 0 && len(f.machineBatches) == 0 && len(f.tasks) == 0
}

// addTerminalStates adds final states, as many as leave room for an entry.
func (l *PartitionLog) addTerminalStates(f *LogCommit, ends []*Job, most int) {
	for _, j := range ends {
		if len(f.Request.Writes)+2+1 > most || len(f.Request.Compares)+2 > l.Settings.MaxCompares()/2 {
			continue
		}
		if j.Cancelled && float64(most) < l.budget.Capacity*0.7 && l.Now < j.endedAt+coordination.CancelledTerminalWait {
			continue // its user was told without it: others' ends need the budget
		}
		f.addTerminalState(j)
	}
}

// addLogEntries adds entries of the log with what became of machines and tasks.
func (l *PartitionLog) addLogEntries(f *LogCommit, p *Partition, ids []string, most int) {
	limit := min(MaxTransactionBytes/2, l.Settings.MaxValueBytes()-entryOverheadBytes) >> p.sizeReductions
	b := &entryBuilder{log: l, partition: p, commit: f, compare: f.compare, maxCompares: l.Settings.MaxCompares(), entryLimit: limit, included: map[*Task]bool{}}
	b.maxEntries = min(most-len(f.Request.Writes), MaxTransactionBytes/b.entryLimit)
	if b.openEntry() {
		b.addNewMachines()
		b.addRecordChanges()
		b.addTaskChanges(ids)
	}
}

// minCommitWrites is how many writes a flush may always have: a final state, the
// deletion of its job's key, and an entry.
const minCommitWrites = 3

// terminalJobsDue lists the jobs among these whose final states are to be committed, in the
// order in which they are. What has nothing to commit is not looked at again.
func (l *PartitionLog) terminalJobsDue(p *Partition, ids []string) []*Job {
	var ends []*Job
	for _, id := range ids {
		j := l.cluster.Jobs[id]
		if j == nil || j.Terminal {
			delete(p.ChangedJobs, id)
			continue
		}
		if !j.isFinished() {
			if j.ChangedTasks == 0 {
				delete(p.ChangedJobs, id)
			}
			continue
		}
		if j.endedAt == 0 {
			j.endedAt = l.Now
		}
		ends = append(ends, j)
	}
	slices.SortStableFunc(ends, l.compareTerminalJobs)
	return ends
}

// isFinished tells whether a job is done, or cancelled and without tasks.
func (j *Job) isFinished() bool {
	if j.Cancelled {
		return j.PlacedTasks == 0
	}
	return j.Spec.Kind != api.Service && j.DoneTasks == j.Spec.Tasks
}

// addTerminalState adds a job's final state. It guards the job's key: an end and a
// cancellation cannot both win.
func (f *LogCommit) addTerminalState(j *Job) {
	rec := records.TerminalRecord{State: api.JobDone, DoneTasks: j.DoneTasks, EndedAt: j.endedAt}
	if j.Cancelled {
		rec.State = api.JobCancelled
	}
	f.Request.Compares = append(f.Request.Compares, api.Compare{Key: records.JobKey + j.ID, Version: j.Version})
	f.Request.Writes = append(f.Request.Writes, api.Write{Put: records.TerminalKey + j.ID, Value: records.MustMarshal(rec)}, api.Write{Delete: records.JobKey + j.ID})
	f.TerminalJobs, f.terminalRecords = append(f.TerminalJobs, j), append(f.terminalRecords, rec)
}

// compareTerminalJobs orders final states: first of jobs that others wait for, then of
// those done, in the order of their ends. In the order of their names the last
// once waited for a hundred seconds.
func (l *PartitionLog) compareTerminalJobs(a, b *Job) int {
	class := func(j *Job) int {
		switch {
		case j.Cancelled:
			return 2 // told without it
		case l.dependencies.ByJob[j.ID] != nil:
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.endedAt, b.endedAt))
}

// CommitSucceeded takes in that a partition's flush was carried out.
func (l *PartitionLog) CommitSucceeded(p *Partition, rev uint64) {
	f := p.CommitInFlight
	if f == nil {
		return
	}
	p.CommitInFlight, f.Settled = nil, true
	for _, e := range f.Entries {
		e.Version = rev
		l.cluster.RecordLogEntry(p, e)
	}
	for _, s := range f.recordChanges {
		if s.machine.PendingChange == s.kind {
			s.machine.PendingChange = NoRecordChange
		}
	}
	for _, e := range f.Entries {
		for _, r := range e.Machines {
			l.registry.ApplyMachineRecord(r, RecordOrigin{Epoch: r.Epoch, Partition: p.Index, Sequence: e.Sequence}, rev)
		}
	}
	l.recordLaunchTimes(f)
	for _, s := range f.tasks {
		if l.cluster.Jobs[s.job.ID] == s.job {
			l.taskCommitted(s)
		}
	}
	for i, j := range f.TerminalJobs {
		l.terminalStateCommitted(p, j, f.terminalRecords[i])
	}
	p.MachineBatches = slices.DeleteFunc(p.MachineBatches, func(n *MachineBatch) bool {
		sent := slices.Contains(f.machineBatches, n)
		if sent {
			n.OnRecorded()
		}
		return sent
	})
	if len(f.TerminalJobs) > 0 {
		l.cache.ReadLatest(func(bool) {})
	}
}

// recordLaunchTimes notes when the machines were rented that a flush recorded.
func (l *PartitionLog) recordLaunchTimes(f *LogCommit) {
	for _, n := range f.machineBatches {
		for _, r := range n.Records {
			if m := l.cluster.Machines[r.Name]; m != nil {
				m.LaunchedAt = min(m.LaunchedAt, r.LaunchedAt) // by our own clock
			}
		}
	}
}

// taskCommitted takes in that what a task became is committed.
func (l *PartitionLog) taskCommitted(s taskChange) {
	t := s.job.EnsureTask(s.index)
	t.Committed, t.LogSequence = s.record, s.sequence
	if t.changed && t.generation == s.generation {
		t.changed = false
		s.job.ChangedTasks--
	}
	if t.State == TaskPlaced && !t.changed && !t.Observed && t.DirectStartToken == 0 {
		if m := l.cluster.Machines[t.Machine]; m != nil {
			m.NextCommandAt = min(m.NextCommandAt, l.Now) // start it without waiting for a report
		}
	}
	// Before any machine reports: one that died first left the gang
	// taken for one still being placed, and it waited for ever.
	s.job.StartUncommitted = s.job.StartUncommitted && s.job.ChangedTasks > 0
}

// terminalStateCommitted takes in that a job's final state is committed.
func (l *PartitionLog) terminalStateCommitted(p *Partition, j *Job, rec records.TerminalRecord) {
	j.Terminal = true
	delete(p.ChangedJobs, j.ID)
	l.dependencies.RecordTerminalState(j.ID, rec)
	l.LogInfo("job ended", logkey.Job, j.ID, logkey.Team, j.Spec.Team, logkey.Class, j.Spec.Class, logkey.State, rec.State,
		logkey.AfterS, (l.Now - j.AcceptedAt).WholeSeconds(), logkey.DeadlineS, j.Spec.DeadlineS)
}

// commitRefused takes in that a partition's flush was refused for good: a job was
// cancelled meanwhile, say. The replica is newer than the refusal, so the next
// flush says the same in the light of it. Strays can wait.
func (l *PartitionLog) commitRefused(p *Partition) {
	p.MachineBatches = slices.DeleteFunc(p.MachineBatches, func(n *MachineBatch) bool {
		if n.Adopt {
			n.OnRecorded()
		}
		return n.Adopt
	})
	if p.CommitInFlight.Malformed {
		// Less is admitted than we were told: never the same again.
		p.sizeReductions = min(p.sizeReductions+1, 3)
	}
	p.CommitInFlight = nil
}

// writeRateShare is how many changes a second we may make: a fixed share, by the partitions held,
// and what the others said they do not use. All the same may want it at once: then
// some are refused and repeated until each has heard of the others.
func (l *PartitionLog) writeRateShare() float64 {
	held := 0
	for _, p := range l.cluster.Partitions {
		if p.Leads() {
			held++
		}
	}
	all := l.Settings.Deployment.Store.WriteRPS
	fixed := all * (0.1 + 0.65*float64(held)/float64(len(l.cluster.Partitions)))
	free := 0.9 * all
	for _, node := range l.Settings.Nodes {
		if node == l.Settings.Node {
			continue
		}
		h := l.peers.ByNode[node]
		if h == nil || l.Now > h.LastHeartbeatAt+3*micros.Second || h.WriteRate == 0 {
			return fixed // not known: one that was not heard may use its share
		}
		free -= max(h.WriteRate*1.2, 0.1*all)
	}
	return max(fixed, min(free, 0.8*all))
}
