package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// A task that fails says that its job or its machine is at fault, not which of
// the two. This file tells them apart: a job of which a task was ever done is
// sound, so its failures are the machine's. Until then a job that failed on one
// machine alone speaks against that machine. One that failed on several says
// little: only several such jobs in a row speak against the machine.

const (
	// quarantineAfterFaults is how many failures of its own quarantine a machine.
	quarantineAfterFaults = 2
	// quarantineAfterJobs is how many jobs that failed elsewhere as well, with nothing
	// done in between, quarantine it too.
	quarantineAfterJobs = 3
	// suspectAfterMachines is on how many machines a job has failed when it is taken for
	// one that fails wherever it runs.
	suspectAfterMachines = 3
	// minBackoff and maxBackOff bound the time between two tries of a suspect job.
	minBackoff = 4 * micros.Second
	maxBackoff = 60 * micros.Second
)

// failureEvidence are those of tasks on a machine since the last task that was done there.
type failureEvidence struct {
	machineFaults int             // of jobs that are known to be sound
	unattributed  map[string]bool // other jobs that failed here
}

// taskSucceeded takes in that a task was done: the job is sound, and the
// machine works.
func (l *taskLifecycle) taskSucceeded(j *job, m *machine) {
	m.failures.machineFaults = 0
	clear(m.failures.unattributed)
	j.suspect = false
	for _, name := range slices.Sorted(maps.Keys(j.failedMachines)) {
		if o := l.cluster.machines[name]; o != nil && o.failures.unattributed[j.id] {
			delete(o.failures.unattributed, j.id)
			o.failures.machineFaults++
			l.quarantine(o)
		}
	}
	clear(j.failedMachines)
}

// taskFailed takes in that a task failed on a machine.
func (l *taskLifecycle) taskFailed(j *job, m *machine, task string) {
	if j.mustNotRun() {
		return
	}
	j.failedMachines[m.name], j.lastFailureAt = true, l.now
	j.failureCount++
	if j.doneTasks > 0 {
		m.failures.machineFaults++
	} else {
		m.failures.unattributed[j.id] = true
	}
	l.logInfo("task failed", "task", task, "machine", m.name, "job_failed_on", len(j.failedMachines))
	l.quarantine(m)
	if l.failsAnywhere(j) {
		l.suspectJob(j)
	}
}

// evidence counts the failures that speak against a machine, and the jobs that
// failed there and elsewhere.
func (l *taskLifecycle) evidence(m *machine) (own, shared int) {
	own = m.failures.machineFaults
	for id := range m.failures.unattributed {
		j := l.cluster.jobs[id]
		switch {
		case j == nil:
			delete(m.failures.unattributed, id) // it is over, and nothing of it was done
		case j.suspect || j.mustNotRun():
		case len(j.failedMachines) == 1 && j.failedMachines[m.name]:
			own++
		default:
			shared++
		}
	}
	return own, shared
}

// quarantine has a machine drained and returned once its failures are its own.
func (l *taskLifecycle) quarantine(m *machine) {
	own, shared := l.evidence(m)
	if m.quarantined || own < quarantineAfterFaults && own+shared < quarantineAfterJobs {
		return
	}
	m.quarantined = true
	l.logInfo("machine quarantined", "machine", m.name, "failures", own, "jobs_failed_elsewhere_too", shared)
}

// suspectJob has a job that fails wherever it runs tried again ever more rarely.
func (l *taskLifecycle) suspectJob(j *job) {
	l.logInfo("job fails wherever it runs", "job", j.id, "machines", len(j.failedMachines))
	j.suspect = true
	j.backoff = min(maxBackoff, max(minBackoff, 2*j.backoff))
	j.notBefore = l.now + l.jitter(j.backoff)
	clear(j.failedMachines)
}

// soundMachinesFailedOn counts the machines on which a job failed that are not known to be
// faulty.
func (l *taskLifecycle) soundMachinesFailedOn(j *job) int {
	n := 0
	for name := range j.failedMachines {
		if m := l.cluster.machines[name]; m != nil && !m.quarantined {
			n++
		}
	}
	return n
}

// failsAnywhere tells whether a job's failures are its own fault: none of its
// tasks was ever done, it failed on three machines that nothing else shows to
// be faulty, and on more than hold tasks of it that did not fail. Without the
// last two, a gang of eight that met one faulty machine at each of three attempts
// was put behind all others, and began after ten minutes.
func (l *taskLifecycle) failsAnywhere(j *job) bool {
	n := l.soundMachinesFailedOn(j)
	return n >= suspectAfterMachines && n > j.placedTasks && j.doneTasks == 0
}

// A plan looks at so many tasks of an array at least, and at one for so many machines:
// plans are the rarer the more machines there are, and one array should be able to keep
// all of them busy.
const (
	minTasksPerPlan = 500
	machinesPerTask = 4
)

// maxTasksPerPlan bounds the tasks of a job that one plan looks at. A gang or service is
// placed whole: with a bound one of 600 tasks was placed by two plans, and what the
// first had placed held machines that waited for the second.
func (l *taskLifecycle) maxTasksPerPlan(j *job) int {
	if j.spec.Kind != api.Array {
		return j.spec.Tasks
	}
	return max(minTasksPerPlan, len(l.cluster.machines)/machinesPerTask)
}

// placeableTasks is how many tasks of a job may be placed now. An array that
// failed on several machines and of which nothing was done waits for those of
// its tasks that run; if they fail too, it is tried with one task at a time. One
// with a mistake once filled 67 machines again and again, and had machines rented.
func (l *taskLifecycle) placeableTasks(j *job) int {
	switch {
	case j.spec.Kind != api.Array:
		return j.spec.Tasks
	case j.suspect && j.placedTasks == 0:
		return 1
	case j.suspect, j.placedTasks > 0 && j.doneTasks == 0 && l.soundMachinesFailedOn(j) >= suspectAfterMachines:
		return 0
	}
	return l.maxTasksPerPlan(j)
}

// deprioritized tells whether a job that fails wherever it runs must let all others
// go first. After two minutes it is tried once in its own turn.
func (l *taskLifecycle) deprioritized(j *job) bool {
	return j.suspect && l.now < j.lastFailureAt+120*micros.Second
}
