package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// maxTerminalStates bounds the terminal states that are kept in memory.
const maxTerminalStates = 20_000

// DependencyGraph holds which unfinished jobs depend on which jobs, and how jobs ended.
//
// The store alone determines whether a job may start or is cancelled together with a job that
// it depends on. Every controller derives that from its replica, so no notifications are
// needed and a failover changes nothing. A dependency whose key was deleted was done or
// cancelled: the order of the changes or its terminal record tells which.
type DependencyGraph struct {
	*coordination.Environment
	cache   *coordination.WatchCache
	cluster *State
	trigger *CycleTrigger

	// ByJob holds the jobs that unfinished jobs depend on, by id.
	ByJob map[string]*dependency
	// TerminalStates holds the terminal states of jobs that ended recently.
	TerminalStates *terminalCache

	// Reads of terminal records of dependencies; see ReadUnknownOutcomes.
	outcomesToRead    []string // ids of jobs that are or were in ByJob
	nextOutcomeReadAt micros.Micros
	outcomeReads      int // number of reads in flight
}

// dependency is a job that unfinished jobs depend on.
type dependency struct {
	Outcome    DependencyOutcome
	doneAt     micros.Micros // 0: not done, or time not known
	Dependents []*Job
}

// DependencyOutcome is the outcome, so far, of a job that others depend on.
type DependencyOutcome uint8

// Outcomes of jobs that others depend on. OutcomeDone and the values after it are terminal.
const (
	// OutcomeUnknown means that the job has no key: it has ended, but it is not known how.
	OutcomeUnknown DependencyOutcome = iota
	// outcomePending means that the job has neither ended nor been cancelled.
	outcomePending
	// OutcomeDone means that the job is done.
	OutcomeDone
	// OutcomeCancelled means that the job, or a job that it depends on, is cancelled.
	OutcomeCancelled
)

func (o DependencyOutcome) isTerminal() bool { return o >= OutcomeDone }

// NewDependencyGraph returns an empty dependency graph.
func NewDependencyGraph(
	env *coordination.Environment, cache *coordination.WatchCache, cluster *State, trigger *CycleTrigger,
) *DependencyGraph {
	return &DependencyGraph{
		Environment: env, cache: cache, cluster: cluster, trigger: trigger,
		ByJob: map[string]*dependency{}, TerminalStates: newTerminalCache(maxTerminalStates),
	}
}

// Reset removes all dependencies, before everything is read again. The terminal states of
// ended jobs are kept.
func (g *DependencyGraph) Reset() {
	clear(g.ByJob)
	g.outcomesToRead = nil
}

// Link adds a job to the dependents of the jobs that it depends on.
func (g *DependencyGraph) Link(job *Job) {
	for _, id := range job.Dependencies {
		upstream := g.ensureDependency(id)
		upstream.Dependents = append(upstream.Dependents, job)
	}
	g.recomputeDependencies(job)
}

// ensureDependency returns the dependency of that id, and adds it if necessary. If its
// outcome is unknown, it is queued to be read.
func (g *DependencyGraph) ensureDependency(id string) *dependency {
	if known := g.ByJob[id]; known != nil {
		return known
	}
	outcome, doneAt := g.KnownOutcome(id)
	if outcome == OutcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	g.ByJob[id] = &dependency{Outcome: outcome, doneAt: doneAt}
	return g.ByJob[id]
}

// Unlink removes a job that has ended from the dependents of the jobs that it depended on.
func (g *DependencyGraph) Unlink(job *Job) {
	for _, id := range job.Dependencies {
		upstream := g.ByJob[id]
		if upstream == nil {
			continue
		}
		upstream.Dependents = slices.DeleteFunc(upstream.Dependents, func(other *Job) bool { return other == job })
		if len(upstream.Dependents) == 0 {
			delete(g.ByJob, id)
		}
	}
}

// KnownOutcome returns the outcome of a job, as far as it is known without a read of the
// store, and the time it ended, 0 if that is not known.
func (g *DependencyGraph) KnownOutcome(id string) (DependencyOutcome, micros.Micros) {
	if record, ok := g.TerminalStates.Records[id]; ok {
		return outcomeOf(record), record.EndedAt
	}
	job := g.cluster.Jobs[id]
	switch {
	case job == nil:
		return OutcomeUnknown, 0
	case job.Cancelled:
		return OutcomeCancelled, 0
	}
	return outcomePending, 0
}

func outcomeOf(record records.TerminalJob) DependencyOutcome {
	if record.State == api.JobDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}

// SetOutcome sets the outcome of a job and its time, and updates the jobs that depend on it.
// It has no effect after the outcome has become terminal.
func (g *DependencyGraph) SetOutcome(id string, outcome DependencyOutcome, at micros.Micros) {
	upstream := g.ByJob[id]
	if upstream == nil || upstream.Outcome == outcome || upstream.Outcome.isTerminal() {
		return
	}
	upstream.Outcome, upstream.doneAt = outcome, at
	if outcome == OutcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	for _, dependent := range upstream.Dependents {
		g.recomputeDependencies(dependent)
	}
}

// RecordTerminalState stores the terminal state of a job and updates the jobs that depend on
// it.
func (g *DependencyGraph) RecordTerminalState(id string, record records.TerminalJob) {
	g.TerminalStates.add(id, record)
	g.SetOutcome(id, outcomeOf(record), record.EndedAt)
}

// TerminalOutcome returns how a job ended whose key was deleted, and whether that is known. A
// cancellation changes the job's key before the commit of its end deletes the key, and that
// commit compares the version of the key. So a job that was not cancelled was done. It is not
// known how a job ended that had not started and has a dependency with an unknown outcome: it may
// have been cancelled with that dependency.
func (g *DependencyGraph) TerminalOutcome(job *Job) (records.TerminalJob, bool) {
	if record, ok := g.TerminalStates.Records[job.ID]; ok {
		return record, true
	}
	switch {
	case job.Cancelled:
		return records.TerminalJob{State: api.JobCancelled, DoneTasks: job.DoneTasks}, true
	case job.UnknownDependencies > 0 && !job.HasStarted():
		return records.TerminalJob{}, false
	}
	return records.TerminalJob{State: api.JobDone, DoneTasks: job.Spec.Tasks, EndedAt: g.Now}, true
}

// recomputeDependencies recomputes whether a job must wait for its dependencies and whether it
// is cancelled with one of them.
func (g *DependencyGraph) recomputeDependencies(job *Job) {
	pendingBefore := job.PendingDependencies
	g.countDependencies(job)
	if pendingBefore > 0 && job.PendingDependencies == 0 {
		g.LogDebug("job dependencies done", logkey.Job, job.ID, logkey.AfterS, (g.Now - job.AcceptedAt).WholeSeconds())
		g.trigger.RequestWithin(0)
	}
	if job.DependencyCancelled && !job.Cancelled {
		job.Cancelled = true
		g.LogDebug("job cancelled with a dependency", logkey.Job, job.ID)
		g.cluster.MarkChanged(job)
		g.SetOutcome(job.ID, OutcomeCancelled, 0)
	}
}

// countDependencies counts a job's dependencies by their outcomes.
func (g *DependencyGraph) countDependencies(job *Job) {
	job.PendingDependencies, job.UnknownDependencies, job.dependenciesDoneAt = 0, 0, 0
	for _, id := range job.Dependencies {
		upstream := g.ByJob[id]
		if upstream.Outcome == OutcomeDone {
			job.dependenciesDoneAt = max(job.dependenciesDoneAt, upstream.doneAt)
			continue
		}
		job.PendingDependencies++
		switch upstream.Outcome {
		case OutcomeUnknown:
			job.UnknownDependencies++
		case OutcomeCancelled:
			job.DependencyCancelled = true
		case outcomePending, OutcomeDone:
		}
	}
}

// DropEnded removes the jobs that are done from the dependencies in the record of a
// submission, since they no longer matter. A job that depends on a cancelled job is cancelled
// itself, and its dependencies are removed.
func (g *DependencyGraph) DropEnded(record *records.Job) {
	var left []string
	for _, id := range record.Spec.Dependencies {
		switch outcome, _ := g.KnownOutcome(id); outcome {
		case OutcomeDone:
		case OutcomeCancelled:
			record.Spec.Dependencies, record.Cancelled = nil, true
			return
		default:
			left = append(left, id)
		}
	}
	record.Spec.Dependencies = left
}
