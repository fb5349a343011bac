package core

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// partitionLog commits what was decided of the partitions that we lead: each partition's
// changes as entries of its log, several at a time, within the budget of changes.
type partitionLog struct {
	*environment
	budget       *writeBudget
	cache        *watchCache
	cluster      *clusterState
	dependencies *dependencyGraph
	peers        *peerTracker
	registry     *machineRegistry
	storeLease   *storeLease
	transactions *transactionSender

	nextPartition int // whose turn it is to commit first
}

func newPartitionLog(env *environment, budget *writeBudget, cache *watchCache, cluster *clusterState, dependencies *dependencyGraph,
	peers *peerTracker, registry *machineRegistry, lease *storeLease, transactions *transactionSender) *partitionLog {
	return &partitionLog{environment: env, budget: budget, cache: cache, cluster: cluster, dependencies: dependencies,
		peers: peers, registry: registry, storeLease: lease, transactions: transactions}
}

// logEntry is an entry of a partition's log.
type logEntry struct {
	sequence uint64
	slot     int
	version  uint64
	runs     []taskRun
	machines []machineRecord
}

// logCommit is the one transaction of a partition that is out: all that was decided,
// as far as it fits. It guards the partition's key and the version of the slot that
// its first entry goes to, which never comes back: of several copies at most
// one is ever carried out.
type logCommit struct {
	*transaction
	previousSlotVersion uint64 // version of its first slot before
	entries             []logEntry
	lastEntrySize       int // of the last entry
	tasks               []taskChange
	terminalJobs        []*job
	terminalRecords     []terminalRecord
	recordChanges       []recordChange
	machineBatches      []*machineBatch
}

type taskChange struct {
	job        *job
	index      int
	generation uint32
	record     taskRecord
	sequence   uint64
}

type recordChange struct {
	machine *machine
	kind    recordChangeKind
}

// machineBatch are machines that a partition is to record.
type machineBatch struct {
	records    []machineRecord
	adopt      bool // strays: others' logs and rentals are guarded against
	onRecorded func()
}

// Sizes of what is written. A log has at least so many slots, and so many that
// what is written anew fills a quarter of an entry.
const (
	maxTransactionBytes = 40 << 10
	minLogSlots         = 64
	entryOverheadBytes  = 60  // an entry without its runs and rows
	machineRecordBytes  = 160 // a row, at the most, without its names
	carriedOverShare    = 4
)

// commitChanges sends each held partition's next flush when there is something to
// commit, the last one is settled and the budget allows it.
func (l *partitionLog) commitChanges() {
	l.transactions.resendTransactions()
	if !l.cache.synced {
		return
	}
	l.budget.refillBudget(l.writeRateShare())
	for k := range l.cluster.partitions {
		// Each partition first in turn.
		p := l.cluster.partitions[(k+l.nextPartition)%len(l.cluster.partitions)]
		if !p.Leads() || p.commitInFlight != nil || l.now < p.lastCommitAt+micros.Second/10 || !p.hasChanges() || !l.storeLease.leaseValid() {
			continue
		}
		most := min(l.settings.Deployment.Store.MaxTransactionOps, int(l.budget.available))
		if most < min(4, l.settings.Deployment.Store.MaxTransactionOps) {
			return
		}
		if f := l.buildCommit(p, most); f != nil {
			l.budget.charge(len(f.request.Writes))
			p.commitInFlight, p.lastCommitAt = f, l.now
			l.transactions.submitTransaction(f.transaction)
			l.nextPartition++
		}
	}
}

// hasChanges tells whether anything is to be committed.
func (p *partition) hasChanges() bool {
	return len(p.changedJobs) > 0 || len(p.recordChanges) > 0 || len(p.machineBatches) > 0
}

// buildCommit gathers a partition's flush in at most so many writes: finals first, for
// their users wait, then machines, then tasks, of which a flush may hold
// thousands. Nil: there is nothing to commit, or it waits for more budget.
func (l *partitionLog) buildCommit(p *partition, most int) *logCommit {
	f := &logCommit{transaction: &transaction{grant: func() leadership.Grant { return l.storeLease.grant(p.RoleState, leadership.Write) }}}
	most = max(minCommitWrites, most>>p.sizeReductions)
	ids := slices.Sorted(maps.Keys(p.changedJobs))
	ends := l.terminalJobsDue(p, ids)
	if want := min(2*len(ends)+2, l.settings.Deployment.Store.MaxTransactionOps); most < min(want, int(l.budget.capacity)) && l.now < p.lastCommitAt+commitBatchWait {
		return nil
	}
	f.compare(p.key(), p.Term)
	l.addTerminalStates(f, ends, most)
	l.addLogEntries(f, p, ids, most)
	if f.isEmpty() {
		return nil
	}
	for _, e := range f.entries {
		f.request.Writes = append(f.request.Writes, api.Write{Put: slotKey(p.index, e.slot), Value: mustMarshal(logRecord{Sequence: e.sequence, Runs: e.runs, Machines: e.machines})})
	}
	f.onCommitted = func(rev uint64) { l.commitSucceeded(p, rev) }
	f.onRefused = func() { l.commitRefused(p) }
	return f
}

// compare has a flush fail unless a key still has a version.
func (f *logCommit) compare(key string, version uint64) {
	f.request.Compares = append(f.request.Compares, api.Compare{Key: key, Version: version})
}

// isEmpty tells whether a flush would change nothing.
func (f *logCommit) isEmpty() bool {
	return len(f.terminalJobs) == 0 && len(f.recordChanges) == 0 && len(f.machineBatches) == 0 && len(f.tasks) == 0
}

// addTerminalStates adds final states, as many as leave room for an entry.
func (l *partitionLog) addTerminalStates(f *logCommit, ends []*job, most int) {
	for _, j := range ends {
		if len(f.request.Writes)+2+1 > most || len(f.request.Compares)+2 > l.settings.maxCompares()/2 {
			continue
		}
		if j.cancelled && float64(most) < l.budget.capacity*0.7 && l.now < j.endedAt+cancelledTerminalWait {
			continue // its user was told without it: others' ends need the budget
		}
		f.addTerminalState(j)
	}
}

// addLogEntries adds entries of the log with what became of machines and tasks.
func (l *partitionLog) addLogEntries(f *logCommit, p *partition, ids []string, most int) {
	limit := min(maxTransactionBytes/2, l.settings.maxValueBytes()-entryOverheadBytes) >> p.sizeReductions
	b := &entryBuilder{log: l, partition: p, commit: f, compare: f.compare, maxCompares: l.settings.maxCompares(), entryLimit: limit, included: map[*task]bool{}}
	b.maxEntries = min(most-len(f.request.Writes), maxTransactionBytes/b.entryLimit)
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
func (l *partitionLog) terminalJobsDue(p *partition, ids []string) []*job {
	var ends []*job
	for _, id := range ids {
		j := l.cluster.jobs[id]
		if j == nil || j.terminal {
			delete(p.changedJobs, id)
			continue
		}
		if !j.isFinished() {
			if j.changedTasks == 0 {
				delete(p.changedJobs, id)
			}
			continue
		}
		if j.endedAt == 0 {
			j.endedAt = l.now
		}
		ends = append(ends, j)
	}
	slices.SortStableFunc(ends, l.compareTerminalJobs)
	return ends
}

// isFinished tells whether a job is done, or cancelled and without tasks.
func (j *job) isFinished() bool {
	if j.cancelled {
		return j.placedTasks == 0
	}
	return j.spec.Kind != api.Service && j.doneTasks == j.spec.Tasks
}

// addTerminalState adds a job's final state. It guards the job's key: an end and a
// cancellation cannot both win.
func (f *logCommit) addTerminalState(j *job) {
	rec := terminalRecord{State: api.JobDone, DoneTasks: j.doneTasks, EndedAt: j.endedAt}
	if j.cancelled {
		rec.State = api.JobCancelled
	}
	f.request.Compares = append(f.request.Compares, api.Compare{Key: jobKey + j.id, Version: j.version})
	f.request.Writes = append(f.request.Writes, api.Write{Put: terminalKey + j.id, Value: mustMarshal(rec)}, api.Write{Delete: jobKey + j.id})
	f.terminalJobs, f.terminalRecords = append(f.terminalJobs, j), append(f.terminalRecords, rec)
}

// compareTerminalJobs orders final states: first of jobs that others wait for, then of
// those done, in the order of their ends. In the order of their names the last
// once waited for a hundred seconds.
func (l *partitionLog) compareTerminalJobs(a, b *job) int {
	class := func(j *job) int {
		switch {
		case j.cancelled:
			return 2 // told without it
		case l.dependencies.byJob[j.id] != nil:
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.endedAt, b.endedAt))
}

// commitSucceeded takes in that a partition's flush was carried out.
func (l *partitionLog) commitSucceeded(p *partition, rev uint64) {
	f := p.commitInFlight
	if f == nil {
		return
	}
	p.commitInFlight, f.settled = nil, true
	for _, e := range f.entries {
		e.version = rev
		l.cluster.recordLogEntry(p, e)
	}
	for _, s := range f.recordChanges {
		if s.machine.pendingChange == s.kind {
			s.machine.pendingChange = noRecordChange
		}
	}
	for _, e := range f.entries {
		for _, r := range e.machines {
			l.registry.applyMachineRecord(r, recordOrigin{epoch: r.Epoch, partition: p.index, sequence: e.sequence}, rev)
		}
	}
	l.recordLaunchTimes(f)
	for _, s := range f.tasks {
		if l.cluster.jobs[s.job.id] == s.job {
			l.taskCommitted(s)
		}
	}
	for i, j := range f.terminalJobs {
		l.terminalStateCommitted(p, j, f.terminalRecords[i])
	}
	p.machineBatches = slices.DeleteFunc(p.machineBatches, func(n *machineBatch) bool {
		sent := slices.Contains(f.machineBatches, n)
		if sent {
			n.onRecorded()
		}
		return sent
	})
	if len(f.terminalJobs) > 0 {
		l.cache.readLatest(func(bool) {})
	}
}

// recordLaunchTimes notes when the machines were rented that a flush recorded.
func (l *partitionLog) recordLaunchTimes(f *logCommit) {
	for _, n := range f.machineBatches {
		for _, r := range n.records {
			if m := l.cluster.machines[r.Name]; m != nil {
				m.launchedAt = min(m.launchedAt, r.LaunchedAt) // by our own clock
			}
		}
	}
}

// taskCommitted takes in that what a task became is committed.
func (l *partitionLog) taskCommitted(s taskChange) {
	t := s.job.ensureTask(s.index)
	t.committed, t.loggedIn = s.record, s.sequence
	if t.changed && t.generation == s.generation {
		t.changed = false
		s.job.changedTasks--
	}
	if t.state == taskPlaced && !t.changed && !t.observed && t.directStartToken == 0 {
		if m := l.cluster.machines[t.machine]; m != nil {
			m.nextCommandAt = min(m.nextCommandAt, l.now) // start it without waiting for a report
		}
	}
	// Before any machine reports: one that died first left the gang
	// taken for one still being placed, and it waited for ever.
	s.job.startUncommitted = s.job.startUncommitted && s.job.changedTasks > 0
}

// terminalStateCommitted takes in that a job's final state is committed.
func (l *partitionLog) terminalStateCommitted(p *partition, j *job, rec terminalRecord) {
	j.terminal = true
	delete(p.changedJobs, j.id)
	l.dependencies.recordTerminalState(j.id, rec)
	l.logInfo("job over", "job", j.id, "team", j.spec.Team, "class", j.spec.Class, "state", rec.State,
		"after_s", (l.now - j.acceptedAt).WholeSeconds(), "deadline_s", j.spec.DeadlineS)
}

// commitRefused takes in that a partition's flush was refused for good: a job was
// cancelled meanwhile, say. The replica is newer than the refusal, so the next
// flush says the same in the light of it. Strays can wait.
func (l *partitionLog) commitRefused(p *partition) {
	p.machineBatches = slices.DeleteFunc(p.machineBatches, func(n *machineBatch) bool {
		if n.adopt {
			n.onRecorded()
		}
		return n.adopt
	})
	if p.commitInFlight.malformed {
		// Less is admitted than we were told: never the same again.
		p.sizeReductions = min(p.sizeReductions+1, 3)
	}
	p.commitInFlight = nil
}

// writeRateShare is how many changes a second we may make: a fixed share, by the partitions held,
// and what the others said they do not use. All the same may want it at once: then
// some are refused and repeated until each has heard of the others.
func (l *partitionLog) writeRateShare() float64 {
	held := 0
	for _, p := range l.cluster.partitions {
		if p.Leads() {
			held++
		}
	}
	all := l.settings.Deployment.Store.WriteRPS
	fixed := all * (0.1 + 0.65*float64(held)/float64(len(l.cluster.partitions)))
	free := 0.9 * all
	for _, node := range l.settings.Nodes {
		if node == l.settings.Node {
			continue
		}
		h := l.peers.byNode[node]
		if h == nil || l.now > h.lastHeartbeatAt+3*micros.Second || h.writeRate == 0 {
			return fixed // not known: one that was not heard may use its share
		}
		free -= max(h.writeRate*1.2, 0.1*all)
	}
	return max(fixed, min(free, 0.8*all))
}
