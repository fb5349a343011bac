package core

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// logEntry is an entry of a partition's log.
type logEntry struct {
	sequence uint64
	slot     int
	version  uint64
	runs     []taskRun
	machines []machineRecord
}

// recordLogEntry notes an entry in the place of what its slot held before.
func (c *Controller) recordLogEntry(p *partition, e logEntry) {
	for _, r := range e.machines {
		c.logReferences[r.Name]++
	}
	p.log = slices.DeleteFunc(p.log, func(o logEntry) bool {
		if o.slot != e.slot {
			return false
		}
		for _, r := range o.machines {
			if c.logReferences[r.Name]--; c.logReferences[r.Name] == 0 {
				delete(c.logReferences, r.Name)
				delete(c.tombstones, r.Name)
			}
		}
		return true
	})
	at, _ := slices.BinarySearchFunc(p.log, e.sequence, func(o logEntry, seq uint64) int { return cmp.Compare(o.sequence, seq) })
	p.log = slices.Insert(p.log, at, e)
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

// encodedSize is how many bytes a row takes in an entry.
func (r machineRecord) encodedSize() int { return len(mustMarshal(r)) + 1 }

// encodedSize is how many bytes a run takes in an entry.
func (r taskRun) encodedSize() int {
	n := len(`{"j":""},`) + len(r.Job)
	for _, v := range []uint64{uint64(r.First), uint64(r.Tasks), uint64(r.State), r.Attempt} {
		if v > 0 {
			n += len(`,"f":`) + len(strconv.FormatUint(v, 10))
		}
	}
	if r.Machine != "" {
		n += len(`,"m":""`) + len(r.Machine)
	}
	return n
}

// commitChanges sends each held partition's next flush when there is something to
// commit, the last one is settled and the budget allows it.
func (c *Controller) commitChanges() {
	c.resendTransactions()
	if !c.synced {
		return
	}
	c.refillBudget(c.writeRateShare())
	for k := range c.partitions {
		// Each partition first in turn.
		p := c.partitions[(k+c.nextPartition)%len(c.partitions)]
		if !p.Leads() || p.commitInFlight != nil || c.now < p.lastCommitAt+micros.Second/10 || !p.hasChanges() || !c.leaseValid() {
			continue
		}
		most := min(c.settings.Deployment.Store.MaxTransactionOps, int(c.budget.available))
		if most < min(4, c.settings.Deployment.Store.MaxTransactionOps) {
			return
		}
		if f := c.buildCommit(p, most); f != nil {
			c.budget.charge(len(f.request.Writes))
			p.commitInFlight, p.lastCommitAt = f, c.now
			c.submitTransaction(f.transaction)
			c.nextPartition++
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
func (c *Controller) buildCommit(p *partition, most int) *logCommit {
	f := &logCommit{transaction: &transaction{grant: func() leadership.Grant { return c.grant(p.RoleState, leadership.Write) }}}
	most = max(minCommitWrites, most>>p.sizeReductions)
	ids := sortedKeys(p.changedJobs)
	ends := c.terminalJobsDue(p, ids)
	if want := min(2*len(ends)+2, c.settings.Deployment.Store.MaxTransactionOps); most < min(want, int(c.budget.capacity)) && c.now < p.lastCommitAt+commitBatchWait {
		return nil
	}
	f.compare(p.key(), p.Term)
	c.addTerminalStates(f, ends, most)
	c.addLogEntries(f, p, ids, most)
	if f.isEmpty() {
		return nil
	}
	for _, e := range f.entries {
		f.request.Writes = append(f.request.Writes, api.Write{Put: slotKey(p.index, e.slot), Value: mustMarshal(logRecord{e.sequence, e.runs, e.machines})})
	}
	f.onCommitted = func(rev uint64) { c.commitSucceeded(p, rev) }
	f.onRefused = func() { c.commitRefused(p) }
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

// maxCompares is how many conditions a transaction may have.
func (c *Controller) maxCompares() int { return 4 * c.settings.Deployment.Store.MaxTransactionOps }

// addTerminalStates adds final states, as many as leave room for an entry.
func (c *Controller) addTerminalStates(f *logCommit, ends []*job, most int) {
	for _, j := range ends {
		if len(f.request.Writes)+2+1 > most || len(f.request.Compares)+2 > c.maxCompares()/2 {
			continue
		}
		if j.cancelled && float64(most) < c.budget.capacity*0.7 && c.now < j.endedAt+cancelledTerminalWait {
			continue // its user was told without it: others' ends need the budget
		}
		f.addTerminalState(j)
	}
}

// addLogEntries adds entries of the log with what became of machines and tasks.
func (c *Controller) addLogEntries(f *logCommit, p *partition, ids []string, most int) {
	limit := min(maxTransactionBytes/2, c.maxValueBytes()-entryOverheadBytes) >> p.sizeReductions
	b := &entryBuilder{c: c, partition: p, commit: f, compare: f.compare, maxCompares: c.maxCompares(), entryLimit: limit, included: map[*task]bool{}}
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
func (c *Controller) terminalJobsDue(p *partition, ids []string) []*job {
	var ends []*job
	for _, id := range ids {
		j := c.jobs[id]
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
			j.endedAt = c.now
		}
		ends = append(ends, j)
	}
	slices.SortStableFunc(ends, c.compareTerminalJobs)
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
func (c *Controller) compareTerminalJobs(a, b *job) int {
	class := func(j *job) int {
		switch {
		case j.cancelled:
			return 2 // told without it
		case c.dependencies[j.id] != nil:
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.endedAt, b.endedAt))
}

// commitSucceeded takes in that a partition's flush was carried out.
func (c *Controller) commitSucceeded(p *partition, rev uint64) {
	f := p.commitInFlight
	if f == nil {
		return
	}
	p.commitInFlight, f.settled = nil, true
	for _, e := range f.entries {
		e.version = rev
		c.recordLogEntry(p, e)
	}
	for _, s := range f.recordChanges {
		if s.machine.pendingChange == s.kind {
			s.machine.pendingChange = noRecordChange
		}
	}
	for _, e := range f.entries {
		for _, r := range e.machines {
			c.applyMachineRecord(r, recordOrigin{r.Epoch, p.index, e.sequence}, rev)
		}
	}
	c.recordLaunchTimes(f)
	for _, s := range f.tasks {
		if c.jobs[s.job.id] == s.job {
			c.taskCommitted(s)
		}
	}
	for i, j := range f.terminalJobs {
		c.terminalStateCommitted(p, j, f.terminalRecords[i])
	}
	p.machineBatches = slices.DeleteFunc(p.machineBatches, func(n *machineBatch) bool {
		sent := slices.Contains(f.machineBatches, n)
		if sent {
			n.onRecorded()
		}
		return sent
	})
	if len(f.terminalJobs) > 0 {
		c.readLatest(func(bool) {})
	}
}

// recordLaunchTimes notes when the machines were rented that a flush recorded.
func (c *Controller) recordLaunchTimes(f *logCommit) {
	for _, n := range f.machineBatches {
		for _, r := range n.records {
			if m := c.machines[r.Name]; m != nil {
				m.launchedAt = min(m.launchedAt, r.LaunchedAt) // by our own clock
			}
		}
	}
}

// taskCommitted takes in that what a task became is committed.
func (c *Controller) taskCommitted(s taskChange) {
	t := s.job.ensureTask(s.index)
	t.committed, t.loggedIn = s.record, s.sequence
	if t.changed && t.generation == s.generation {
		t.changed = false
		s.job.changedTasks--
	}
	if t.state == taskPlaced && !t.changed && !t.observed && t.directStartToken == 0 {
		if m := c.machines[t.machine]; m != nil {
			m.nextCommandAt = min(m.nextCommandAt, c.now) // start it without waiting for a report
		}
	}
	// Before any machine reports: one that died first left the gang
	// taken for one still being placed, and it waited for ever.
	s.job.startUncommitted = s.job.startUncommitted && s.job.changedTasks > 0
}

// terminalStateCommitted takes in that a job's final state is committed.
func (c *Controller) terminalStateCommitted(p *partition, j *job, rec terminalRecord) {
	j.terminal = true
	delete(p.changedJobs, j.id)
	c.recordTerminalState(j.id, rec)
	c.logInfo("job over", "job", j.id, "team", j.spec.Team, "class", j.spec.Class, "state", rec.State,
		"after_s", (c.now - j.acceptedAt).WholeSeconds(), "deadline_s", j.spec.DeadlineS)
}

// commitRefused takes in that a partition's flush was refused for good: a job was
// cancelled meanwhile, say. The replica is newer than the refusal, so the next
// flush says the same in the light of it. Strays can wait.
func (c *Controller) commitRefused(p *partition) {
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

// requestRecordChange wants a machine's record changed.
func (c *Controller) requestRecordChange(m *machine, op recordChangeKind) {
	m.pendingChange = op
	p := c.partitions[m.record.Partition]
	p.recordChanges = append(p.recordChanges, m)
}

// maxValueBytes is the longest value written, in bytes.
func (c *Controller) maxValueBytes() int { return int(c.settings.Deployment.Store.ValueKB * 1000) }

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own plain records: cannot fail
	}
	return b
}
