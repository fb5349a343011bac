package core

import (
	"cmp"
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
	return taskID{job: id, index: n}, ok && err == nil && n >= 0
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

// isCommitted tells whether what is known of a task is committed.
func (j *job) isCommitted(n int) bool {
	t := j.task(n)
	return t == nil || !t.changed
}

// placeable lists tasks that may be placed now.
func (j *job) placeable(now micros.Micros, most int) []int {
	var list []int
	for k := 0; k*chunkSize < j.spec.Tasks; k++ {
		ch := j.chunks[k]
		for n := k * chunkSize; n < min(j.spec.Tasks, (k+1)*chunkSize); n++ {
			if len(list) >= most && j.spec.Kind != api.Gang {
				return list
			}
			if ch == nil {
				list = append(list, n)
			} else if t := &ch[n%chunkSize]; t.state == taskPending && now >= t.notBefore {
				list = append(list, n)
			}
		}
	}
	// A gang starts whole; but once one of its tasks is done all are, and what
	// a lost machine could not report any more is only asked for again.
	if j.spec.Kind == api.Gang && len(list)+j.doneTasks < j.spec.Tasks && !j.isReassembling() {
		return nil
	}
	return list
}

func (j *job) lastAttempt() uint64 {
	var last uint64
	for _, ch := range j.chunks {
		for i := range ch {
			last = max(last, ch[i].attempt)
		}
	}
	return last
}

func (j *job) status() api.JobStatus {
	state := api.JobPending
	switch {
	case j.cancelled:
		state = api.JobCancelled
	case j.placedTasks > 0:
		state = api.JobRunning
	}
	d, r := j.doneTasks, j.placedTasks
	return api.JobStatus{ID: j.id, State: state, Done: &d, Running: &r}
}
