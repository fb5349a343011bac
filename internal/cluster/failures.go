package cluster

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

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

// FailureEvidence are those of tasks on a machine since the last task that was done there.
type FailureEvidence struct {
	machineFaults int             // of jobs that are known to be sound
	Unattributed  map[string]bool // other jobs that failed here
}

// TaskSucceeded takes in that a task was done: the job is sound, and the
// machine works.
func (l *TaskLifecycle) TaskSucceeded(j *Job, m *Machine) {
	m.Failures.machineFaults = 0
	clear(m.Failures.Unattributed)
	j.Suspect = false
	for _, name := range slices.Sorted(maps.Keys(j.FailedMachines)) {
		if o := l.cluster.Machines[name]; o != nil && o.Failures.Unattributed[j.ID] {
			delete(o.Failures.Unattributed, j.ID)
			o.Failures.machineFaults++
			l.quarantine(o)
		}
	}
	clear(j.FailedMachines)
}

// TaskFailed takes in that a task failed on a machine.
func (l *TaskLifecycle) TaskFailed(j *Job, m *Machine, task string) {
	if j.MustNotRun() {
		return
	}
	j.FailedMachines[m.Name], j.lastFailureAt = true, l.Now
	j.FailureCount++
	if j.DoneTasks > 0 {
		m.Failures.machineFaults++
	} else {
		m.Failures.Unattributed[j.ID] = true
	}
	l.LogInfo("task failed", logkey.Task, task, logkey.Machine, m.Name, logkey.MachinesFailedOn, len(j.FailedMachines))
	l.quarantine(m)
	if l.failsAnywhere(j) {
		l.suspectJob(j)
	}
}

// evidence counts the failures that speak against a machine, and the jobs that
// failed there and elsewhere.
func (l *TaskLifecycle) evidence(m *Machine) (own, shared int) {
	own = m.Failures.machineFaults
	for id := range m.Failures.Unattributed {
		j := l.cluster.Jobs[id]
		switch {
		case j == nil:
			delete(m.Failures.Unattributed, id) // it is over, and nothing of it was done
		case j.Suspect || j.MustNotRun():
		case len(j.FailedMachines) == 1 && j.FailedMachines[m.Name]:
			own++
		default:
			shared++
		}
	}
	return own, shared
}

// quarantine has a machine drained and returned once its failures are its own.
func (l *TaskLifecycle) quarantine(m *Machine) {
	own, shared := l.evidence(m)
	if m.Quarantined || own < quarantineAfterFaults && own+shared < quarantineAfterJobs {
		return
	}
	m.Quarantined = true
	l.LogInfo("machine quarantined", logkey.Machine, m.Name, logkey.Failures, own, logkey.JobsFailedElsewhere, shared)
}

// suspectJob has a job that fails wherever it runs tried again ever more rarely.
func (l *TaskLifecycle) suspectJob(j *Job) {
	l.LogInfo("job fails on every machine", logkey.Job, j.ID, logkey.Machines, len(j.FailedMachines))
	j.Suspect = true
	j.backoff = min(maxBackoff, max(minBackoff, 2*j.backoff))
	j.NotBefore = l.Now + l.Jitter(j.backoff)
	clear(j.FailedMachines)
}

// soundMachinesFailedOn counts the machines on which a job failed that are not known to be
// faulty.
func (l *TaskLifecycle) soundMachinesFailedOn(j *Job) int {
	n := 0
	for name := range j.FailedMachines {
		if m := l.cluster.Machines[name]; m != nil && !m.Quarantined {
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
func (l *TaskLifecycle) failsAnywhere(j *Job) bool {
	n := l.soundMachinesFailedOn(j)
	return n >= suspectAfterMachines && n > j.PlacedTasks && j.DoneTasks == 0
}

// A plan looks at so many tasks of an array at least, and at one for so many machines:
// plans are the rarer the more machines there are, and one array should be able to keep
// all of them busy.
const (
	minTasksPerPlan = 500
	machinesPerTask = 4
)

// MaxTasksPerPlan bounds the tasks of a job that one plan looks at. A gang or service is
// placed whole: with a bound one of 600 tasks was placed by two plans, and what the
// first had placed held machines that waited for the second.
func (l *TaskLifecycle) MaxTasksPerPlan(j *Job) int {
	if j.Spec.Kind != api.Array {
		return j.Spec.Tasks
	}
	return max(minTasksPerPlan, len(l.cluster.Machines)/machinesPerTask)
}

// PlaceableTasks is how many tasks of a job may be placed now. An array that
// failed on several machines and of which nothing was done waits for those of
// its tasks that run; if they fail too, it is tried with one task at a time. One
// with a mistake once filled 67 machines again and again, and had machines rented.
func (l *TaskLifecycle) PlaceableTasks(j *Job) int {
	switch {
	case j.Spec.Kind != api.Array:
		return j.Spec.Tasks
	case j.Suspect && j.PlacedTasks == 0:
		return 1
	case j.Suspect, j.PlacedTasks > 0 && j.DoneTasks == 0 && l.soundMachinesFailedOn(j) >= suspectAfterMachines:
		return 0
	}
	return l.MaxTasksPerPlan(j)
}

// Deprioritized tells whether a job that fails wherever it runs must let all others
// go first. After two minutes it is tried once in its own turn.
func (l *TaskLifecycle) Deprioritized(j *Job) bool {
	return j.Suspect && l.Now < j.lastFailureAt+120*micros.Second
}
