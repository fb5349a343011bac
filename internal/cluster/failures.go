package cluster

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
)

// The failure of a task shows that its job or its machine is at fault, but not which of the
// two. This file attributes failures. A job with a task that was done works, so its failures
// are attributed to the machine. Until one is done, a failure of a job that has failed on only
// one machine is attributed to that machine. A job that failed on several machines is weak
// evidence: only several such jobs in a row are attributed to the machine.

const (
	// quarantineAfterFaults is how many failures attributed to a machine quarantine it.
	quarantineAfterFaults = 2
	// quarantineAfterJobs is how many failures quarantine a machine if jobs that also failed
	// elsewhere count as well. A task that is done on the machine resets the count.
	quarantineAfterJobs = 3
	// suspectAfterMachines is on how many machines a job must have failed to be considered as
	// failing on every machine.
	suspectAfterMachines = 3
	// minBackoff and maxBackoff bound the time between two attempts of a suspect job.
	// backoffGrowth is the factor by which each wait is longer than the last.
	minBackoff    = 4 * micros.Second
	maxBackoff    = 60 * micros.Second
	backoffGrowth = 2
	// deprioritizedFor is how long after its last failure a suspect job ranks behind all other
	// jobs.
	deprioritizedFor = 120 * micros.Second
)

// MachineFailures holds the failures of tasks on a machine since a task was last done there.
type MachineFailures struct {
	faults       int             // failures of jobs that are known to work
	Unattributed map[string]bool // ids of other jobs that failed on the machine
}

// RecordSuccess records that a task was done on a machine, which shows that both its job and
// the machine work. Earlier failures of the job are attributed to the machines it failed on.
func (l *TaskLifecycle) RecordSuccess(job *Job, machine *Machine) {
	machine.Failures.faults = 0
	clear(machine.Failures.Unattributed)
	job.Suspect = false
	for _, name := range slices.Sorted(maps.Keys(job.FailedMachines)) {
		failedOn := l.cluster.Machines[name]
		if failedOn != nil && failedOn.Failures.Unattributed[job.ID] {
			delete(failedOn.Failures.Unattributed, job.ID)
			failedOn.Failures.faults++
			l.quarantineIfFaulty(failedOn)
		}
	}
	clear(job.FailedMachines)
}

// RecordFailure records that a task failed on a machine; task is its name in the worker
// protocol. It has no effect for a job that must not run.
func (l *TaskLifecycle) RecordFailure(job *Job, machine *Machine, task string) {
	if job.MustNotRun() {
		return
	}
	job.FailedMachines[machine.Name] = true
	job.lastFailureAt = l.Now
	job.FailureCount++
	if job.DoneTasks > 0 {
		machine.Failures.faults++
	} else {
		machine.Failures.Unattributed[job.ID] = true
	}
	l.LogInfo(
		"task failed", logkey.Task, task, logkey.Machine, machine.Name,
		logkey.MachinesFailedOn, len(job.FailedMachines),
	)
	l.quarantineIfFaulty(machine)
	if l.failsEverywhere(job) {
		l.markSuspect(job)
	}
}

// countFailures returns the number of failures that are attributed to a machine, and the
// number of jobs that failed both there and elsewhere.
func (l *TaskLifecycle) countFailures(machine *Machine) (attributed, shared int) {
	attributed = machine.Failures.faults
	for id := range machine.Failures.Unattributed {
		job := l.cluster.Jobs[id]
		switch {
		case job == nil:
			delete(machine.Failures.Unattributed, id) // it has ended without a success
		case job.Suspect || job.MustNotRun():
		case len(job.FailedMachines) == 1 && job.FailedMachines[machine.Name]:
			attributed++
		default:
			shared++
		}
	}
	return attributed, shared
}

// quarantineIfFaulty quarantines a machine if enough failures are attributed to it. It is then
// drained and scaled in.
func (l *TaskLifecycle) quarantineIfFaulty(machine *Machine) {
	attributed, shared := l.countFailures(machine)
	if machine.Quarantined || attributed < quarantineAfterFaults && attributed+shared < quarantineAfterJobs {
		return
	}
	machine.Quarantined = true
	l.LogInfo(
		"machine quarantined", logkey.Machine, machine.Name, logkey.Failures, attributed,
		logkey.JobsFailedElsewhere, shared,
	)
}

// markSuspect marks a job as failing on every machine and delays its next attempt, each time
// for longer.
func (l *TaskLifecycle) markSuspect(job *Job) {
	l.LogInfo(
		"job fails on every machine", logkey.Job, job.ID, logkey.Machines, len(job.FailedMachines),
	)
	job.Suspect = true
	job.backoff = min(maxBackoff, max(minBackoff, backoffGrowth*job.backoff))
	job.NotBefore = l.Now + l.Jitter(job.backoff)
	clear(job.FailedMachines)
}

// healthyMachinesFailedOn returns the number of machines on which a job failed and which still
// have a record and are not quarantined.
func (l *TaskLifecycle) healthyMachinesFailedOn(job *Job) int {
	count := 0
	for name := range job.FailedMachines {
		if machine := l.cluster.Machines[name]; machine != nil && !machine.Quarantined {
			count++
		}
	}
	return count
}

// failsEverywhere reports whether a job's failures are attributed to the job. This holds if none
// of its tasks was ever done, it failed on at least three machines, these are not quarantined,
// and they outnumber its placed tasks, which have not failed. Without the last two conditions, a
// gang of eight that meets one faulty machine in each of three attempts is deprioritized and
// starts only after ten minutes.
func (l *TaskLifecycle) failsEverywhere(job *Job) bool {
	machines := l.healthyMachinesFailedOn(job)
	return machines >= suspectAfterMachines && machines > job.PlacedTasks && job.DoneTasks == 0
}

// IsDeprioritized reports whether a suspect job ranks behind all other jobs. Two minutes after
// its last failure it is tried once in its regular rank.
func (l *TaskLifecycle) IsDeprioritized(job *Job) bool {
	return job.Suspect && l.Now < job.lastFailureAt+deprioritizedFor
}

// A scheduling cycle considers at least minTasksPerCycle tasks of an array, or one for every
// machinesPerTask machines if that is more. Cycles are rarer the more machines there are, and
// one array should be able to keep all machines busy.
const (
	minTasksPerCycle = 500
	machinesPerTask  = 4
)

// MaxTasksPerCycle returns how many tasks of a job one scheduling cycle considers at most. A
// gang or service has no limit below its size: otherwise one of 600 tasks would be placed by
// two cycles, and the tasks placed by the first would occupy machines while they wait for the
// second.
func (l *TaskLifecycle) MaxTasksPerCycle(job *Job) int {
	if job.Spec.Kind != api.KindArray {
		return job.Spec.Tasks
	}
	return max(minTasksPerCycle, len(l.cluster.Machines)/machinesPerTask)
}

// PlaceableLimit returns how many tasks of a job may be placed now. An array that failed on
// several machines and has no done task waits for its running tasks. If they fail too, it is
// tried with one task at a time. Without this limit an array with a mistake fills all machines
// again and again (67 in one case), and machines are launched for it.
func (l *TaskLifecycle) PlaceableLimit(job *Job) int {
	switch {
	case job.Spec.Kind != api.KindArray:
		return job.Spec.Tasks
	case job.Suspect && job.PlacedTasks == 0:
		return 1
	case job.Suspect || l.awaitsRunningTasks(job):
		return 0
	}
	return l.MaxTasksPerCycle(job)
}

// awaitsRunningTasks reports whether a job has failed on so many machines that its other tasks
// wait for the outcome of the placed ones.
func (l *TaskLifecycle) awaitsRunningTasks(job *Job) bool {
	return job.PlacedTasks > 0 && job.DoneTasks == 0 && l.healthyMachinesFailedOn(job) >= suspectAfterMachines
}
