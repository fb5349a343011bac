package core

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// chunkSize tasks are kept together in memory, made when first needed.
const chunkSize = 128

// States of tasks.
const (
	taskPending uint8 = iota
	taskPlaced        // on its machine until proven gone
	taskDone
)

// taskRecord is what the log keeps of a task.
type taskRecord struct {
	state   uint8
	attempt uint64
	machine string
}

type task struct {
	taskRecord
	committed  taskRecord // as committed
	changed    bool       // differs from what was committed, or is being committed
	generation uint32     // counts changes
	loggedIn   uint64     // the log entry that last held it; 0: none

	// what is known since take-over only
	observed         bool          // its machine has reported it
	reportedState    string        // state last reported
	runningSince     micros.Micros // running since
	placedAt         micros.Micros
	stopRequestedAt  micros.Micros // told to stop since
	graceS           float64
	notBefore        micros.Micros // not to be placed before
	directStartToken uint64        // token of a direct start that may still be on its way
}

type job struct {
	id                 string
	spec               api.Job
	request            scheduler.Resources
	acceptedAt         micros.Micros
	cancelled          bool          // its user or, doomed, that of a job that it needs did
	cancelledElsewhere bool          // another controller says that it told its user so
	stopRequiredSince  micros.Micros // since when, at the earliest, as far as we know
	version            uint64
	partition          int
	chunks             map[int][]task
	placedTasks        int
	doneTasks          int
	changedTasks       int  // tasks to commit
	terminal           bool // its final state is committed, the replica not there yet

	dependencies        []string      // jobs that must be done first
	pendingDependencies int           // of those not done, or not known to be
	unknownDependencies int           // of those over, it is not known how
	dependenciesDoneAt  micros.Micros // when the last of them was done
	dependencyCancelled bool          // one of them is withdrawn

	endedAt micros.Micros // when its final state was first due

	startUncommitted bool            // a gang whose start is being committed
	failedMachines   map[string]bool // machines that it failed on
	suspect          bool            // fails wherever it runs: submitted with a mistake
	lastFailureAt    micros.Micros
	failureCount     int  // since this controller plans it
	attemptSpoiled   bool // a task of this attempt of the gang has exited
	notBefore        micros.Micros
	backoff          micros.Micros
	// reservedSince is since when machines are promised to it; unpromised, until
	// when none are any more, for it did not begin.
	reservedSince, noReservationBefore micros.Micros
	tasksPerZone                       map[string]int
}

type taskID struct {
	job   string
	index int
}

func (t taskID) String() string { return t.job + "/" + strconv.Itoa(t.index) }

func (t taskID) compare(o taskID) int {
	return cmp.Or(strings.Compare(t.job, o.job), cmp.Compare(t.index, o.index))
}

func parseTaskID(s string) (taskID, bool) {
	id, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return taskID{id, n}, ok && err == nil && n >= 0
}

// requestJobStop has a job's machines told at once that it must not run any more.
func (c *Controller) requestJobStop(j *job) {
	if j.stopRequiredSince == 0 {
		j.stopRequiredSince = c.currentAsOf
	}
	if j.placedTasks == 0 || !c.partitions[j.partition].Leads() {
		return
	}
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if m := c.machines[j.chunks[k][i].machine]; m != nil {
				m.nextCommandAt = min(m.nextCommandAt, c.now)
			}
		}
	}
}

func (j *job) chunkIndexes() []int {
	var list []int
	for n := 0; n*chunkSize < j.spec.Tasks; n++ {
		if j.chunks[n] != nil {
			list = append(list, n)
		}
	}
	return list
}

// ensureTask gives a task, made if nothing about it was known.
func (j *job) ensureTask(n int) *task {
	ch := j.chunks[n/chunkSize]
	if ch == nil {
		ch = make([]task, min(chunkSize, j.spec.Tasks-n/chunkSize*chunkSize))
		j.chunks[n/chunkSize] = ch
	}
	return &ch[n%chunkSize]
}

// task gives a task, or nil where nothing about it was ever decided.
func (j *job) task(n int) *task {
	if n >= j.spec.Tasks {
		return nil
	}
	if ch := j.chunks[n/chunkSize]; ch != nil {
		return &ch[n%chunkSize]
	}
	return nil
}

// markChanged has a job looked at for what is to be committed.
func (c *Controller) markChanged(j *job) {
	if p := c.partitions[j.partition]; p.Leads() && c.jobs[j.id] == j && !j.terminal {
		p.changedJobs[j.id] = true
	}
}

// changeTask changes a task, to be committed.
func (c *Controller) changeTask(j *job, n int, s taskRecord) {
	t := j.ensureTask(n)
	if m := c.machines[t.machine]; m != nil && m.name != s.machine {
		m.departedJobs[j.id] = true
	}
	c.setTask(j, n, s)
	t.generation++
	if !t.changed {
		t.changed = true
		j.changedTasks++
	}
	c.markChanged(j)
}

// revertUncommitted throws away what is not committed of a job.
func (c *Controller) revertUncommitted(j *job) {
	j.startUncommitted = false
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if t := &j.chunks[k][i]; t.changed {
				c.setTask(j, k*chunkSize+i, t.committed)
			}
		}
	}
}

// isCommitted tells whether what is known of a task is committed.
func (j *job) isCommitted(n int) bool {
	t := j.task(n)
	return t == nil || !t.changed
}

// setTask changes a task and every count that depends on it.
func (c *Controller) setTask(j *job, n int, s taskRecord) {
	t := j.ensureTask(n)
	if t.changed {
		t.changed = false
		j.changedTasks--
	}
	c.countTask(j, n, t, -1)
	*t = task{taskRecord: s, committed: t.committed, generation: t.generation, loggedIn: t.loggedIn, placedAt: c.now, notBefore: t.notBefore}
	c.countTask(j, n, t, 1)
	if j.placedTasks == 0 {
		j.attemptSpoiled = false
	}
}

func (c *Controller) countTask(j *job, n int, t *task, by int) {
	switch t.state {
	case taskDone:
		j.doneTasks += by
	case taskPlaced:
		j.placedTasks += by
		if u := c.teamUsage[j.spec.Team]; u != nil {
			*u = u.Add(j.request, int64(by))
		}
		if m := c.machines[t.machine]; m != nil {
			c.countOnMachine(j, n, m, by)
		}
	}
}

func (c *Controller) countOnMachine(j *job, n int, m *machine, by int) {
	m.allocated = m.allocated.Add(j.request, int64(by))
	j.tasksPerZone[m.record.Zone] += by
	id := taskID{j.id, n}
	at, found := slices.BinarySearchFunc(m.taskIDs, id, taskID.compare)
	switch {
	case by > 0 && !found:
		m.taskIDs = slices.Insert(m.taskIDs, at, id)
	case by < 0 && found:
		m.taskIDs = slices.Delete(m.taskIDs, at, at+1)
		if len(m.taskIDs) == 0 {
			m.idleSince = c.now
		}
	}
}

// countTasksOn counts the tasks of a job on a machine whose record came later
// than theirs.
func (c *Controller) countTasksOn(j *job, m *machine) {
	for _, k := range j.chunkIndexes() {
		for i := range j.chunks[k] {
			if t := &j.chunks[k][i]; t.state == taskPlaced && t.machine == m.name {
				c.countOnMachine(j, k*chunkSize+i, m, 1)
			}
		}
	}
}

// addJob makes a job of which nothing was known.
func (c *Controller) addJob(id string, spec api.Job) *job {
	j := &job{id: id, chunks: map[int][]task{}, failedMachines: map[string]bool{}, tasksPerZone: map[string]int{},
		request: scheduler.ResourcesOf(spec.CPUs, spec.GPUs, spec.MemoryGB), partition: c.settings.TeamPartition[spec.Team]}
	c.jobs[id] = j
	return j
}

// removeJob forgets a job whose key is gone.
func (c *Controller) removeJob(j *job) {
	delete(c.jobs, j.id)
	delete(c.partitions[j.partition].changedJobs, j.id)
}

// forgetMachine forgets a machine whose record is deleted.
func (c *Controller) forgetMachine(m *machine) {
	delete(c.machines, m.name)
	c.machinesByName = slices.DeleteFunc(c.machinesByName, func(o *machine) bool { return o == m })
}

// setTombstone notes that a machine's record is deleted by an entry of a log.
func (c *Controller) setTombstone(name string, by recordOrigin) { c.tombstones[name] = by }

// clearTombstone notes that a machine has a record again.
func (c *Controller) clearTombstone(name string) { delete(c.tombstones, name) }

// observeAdoption takes in the version of the key that every adoption changes.
func (c *Controller) observeAdoption(version uint64) {
	c.adoptionVersion = max(c.adoptionVersion, version)
}

// resetCluster forgets all jobs and machines, before everything is read again.
func (c *Controller) resetCluster() {
	clear(c.machines)
	clear(c.jobs)
	clear(c.tombstones)
	clear(c.logReferences)
	c.machinesByName = nil
	for _, u := range c.teamUsage {
		*u = scheduler.Resources{}
	}
}
