package cluster

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
)

// A task that fails says that its job or its machine is at fault, not which of the two.
// This file tells them apart: a job of which a task was ever done is sound, so its
// failures are the machine's. Until then a job that failed on one machine alone speaks
// against that machine. One that failed on several says little: only several such jobs in
// a row speak against the machine.

const (
	// quarantineAfterFaults is how many failures of its own quarantine a machine.
	quarantineAfterFaults = 2
	// quarantineAfterJobs is how many jobs that failed elsewhere as well, with nothing
	// done in between, quarantine it too.
	quarantineAfterJobs = 3
	// suspectAfterMachines is on how many machines a job has failed when it is taken for
	// one that fails wherever it runs.
	suspectAfterMachines = 3
	// minBackoff and maxBackoff bound the time between two tries of a suspect job, and
	// backoffGrowth is how many times as long each wait is as the last.
	minBackoff    = 4 * micros.Second
	maxBackoff    = 60 * micros.Second
	backoffGrowth = 2
	// deprioritizedFor is for how long after its last failure a suspect job lets all
	// others go first.
	deprioritizedFor = 120 * micros.Second
)

// FailureEvidence is what failures of tasks say against a machine, since the last task
// that was done there.
type FailureEvidence struct {
	machineFaults int             // failures of jobs that are known to be sound
	Unattributed  map[string]bool // other jobs that failed here, by id
}

// TaskSucceeded records that a task was done: its job is sound, and the machine works.
func (l *TaskLifecycle) TaskSucceeded(job *Job, machine *Machine) {
	machine.Failures.machineFaults = 0
	clear(machine.Failures.Unattributed)
	job.Suspect = false
	for _, name := range slices.Sorted(maps.Keys(job.FailedMachines)) {
		failedOn := l.cluster.Machines[name]
		if failedOn != nil && failedOn.Failures.Unattributed[job.ID] {
			delete(failedOn.Failures.Unattributed, job.ID)
			failedOn.Failures.machineFaults++
			l.quarantineIfFaulty(failedOn)
		}
	}
	clear(job.FailedMachines)
}

// TaskFailed records that a task, named as in the protocol, failed on a machine.
func (l *TaskLifecycle) TaskFailed(job *Job, machine *Machine, task string) {
	if job.MustNotRun() {
		return
	}
	job.FailedMachines[machine.Name] = true
	job.lastFailureAt = l.Now
	job.FailureCount++
	if job.DoneTasks > 0 {
		machine.Failures.machineFaults++
	} else {
		machine.Failures.Unattributed[job.ID] = true
	}
	l.LogInfo(
		"task failed", logkey.Task, task, logkey.Machine, machine.Name,
		logkey.MachinesFailedOn, len(job.FailedMachines),
	)
	l.quarantineIfFaulty(machine)
	if l.failsAnywhere(job) {
		l.suspectJob(job)
	}
}

// countEvidence counts the failures that speak against a machine itself, and the jobs that
// failed there and elsewhere.
func (l *TaskLifecycle) countEvidence(machine *Machine) (own, shared int) {
	own = machine.Failures.machineFaults
	for id := range machine.Failures.Unattributed {
		job := l.cluster.Jobs[id]
		switch {
		case job == nil:
			delete(machine.Failures.Unattributed, id) // it has ended, and no task of it was done
		case job.Suspect || job.MustNotRun():
		case len(job.FailedMachines) == 1 && job.FailedMachines[machine.Name]:
			own++
		default:
			shared++
		}
	}
	return own, shared
}

// quarantineIfFaulty has a machine drained and scaled in once the failures on it are its
// own.
func (l *TaskLifecycle) quarantineIfFaulty(machine *Machine) {
	own, shared := l.countEvidence(machine)
	if machine.Quarantined || own < quarantineAfterFaults && own+shared < quarantineAfterJobs {
		return
	}
	machine.Quarantined = true
	l.LogInfo(
		"machine quarantined", logkey.Machine, machine.Name, logkey.Failures, own,
		logkey.JobsFailedElsewhere, shared,
	)
}

// suspectJob has a job that fails wherever it runs retried ever more rarely.
func (l *TaskLifecycle) suspectJob(job *Job) {
	l.LogInfo(
		"job fails on every machine", logkey.Job, job.ID, logkey.Machines, len(job.FailedMachines),
	)
	job.Suspect = true
	job.backoff = min(maxBackoff, max(minBackoff, backoffGrowth*job.backoff))
	job.NotBefore = l.Now + l.Jitter(job.backoff)
	clear(job.FailedMachines)
}

// soundMachinesFailedOn counts the machines on which a job failed that are not known to be
// faulty.
func (l *TaskLifecycle) soundMachinesFailedOn(job *Job) int {
	count := 0
	for name := range job.FailedMachines {
		if machine := l.cluster.Machines[name]; machine != nil && !machine.Quarantined {
			count++
		}
	}
	return count
}

// failsAnywhere reports whether a job's failures are its own fault: none of its tasks was
// ever done, it failed on three machines that nothing else shows to be faulty, and on more
// than hold tasks of it that did not fail. Without the last two conditions, a gang of
// eight that met one faulty machine at each of three attempts was put behind all others,
// and started after ten minutes.
func (l *TaskLifecycle) failsAnywhere(job *Job) bool {
	machines := l.soundMachinesFailedOn(job)
	return machines >= suspectAfterMachines && machines > job.PlacedTasks && job.DoneTasks == 0
}

// Deprioritized reports whether a job that fails wherever it runs must let all others go
// first. After two minutes it is tried once in its own turn.
func (l *TaskLifecycle) Deprioritized(job *Job) bool {
	return job.Suspect && l.Now < job.lastFailureAt+deprioritizedFor
}

// A scheduling cycle considers at least minTasksPerCycle tasks of an array, and one for
// every machinesPerTask machines: the more machines there are, the rarer the cycles, and
// one array should be able to keep all machines busy.
const (
	minTasksPerCycle = 500
	machinesPerTask  = 4
)

// MaxTasksPerCycle bounds the tasks of a job that one scheduling cycle considers. A gang or
// service is placed whole: with a bound, one of 600 tasks was placed by two cycles, and
// what the first had placed held machines that waited for the second.
func (l *TaskLifecycle) MaxTasksPerCycle(job *Job) int {
	if job.Spec.Kind != api.Array {
		return job.Spec.Tasks
	}
	return max(minTasksPerCycle, len(l.cluster.Machines)/machinesPerTask)
}

// PlaceableTasks returns how many tasks of a job may be placed now. An array that failed on
// several machines and of which nothing was done waits for those of its tasks that run; if
// they fail too, it is tried with one task at a time. One submitted with a mistake once
// filled 67 machines again and again, and had machines launched for it.
func (l *TaskLifecycle) PlaceableTasks(job *Job) int {
	switch {
	case job.Spec.Kind != api.Array:
		return job.Spec.Tasks
	case job.Suspect && job.PlacedTasks == 0:
		return 1
	case job.Suspect || l.awaitsEvidence(job):
		return 0
	}
	return l.MaxTasksPerCycle(job)
}

// awaitsEvidence reports whether a job has failed so often that the rest of it waits for
// the outcome of the tasks that run.
func (l *TaskLifecycle) awaitsEvidence(job *Job) bool {
	return job.PlacedTasks > 0 && job.DoneTasks == 0 && l.soundMachinesFailedOn(job) >= suspectAfterMachines
}
