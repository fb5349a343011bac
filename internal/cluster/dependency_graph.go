package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// maxTerminalStates is how many terminal states are kept in memory.
const maxTerminalStates = 20_000

// DependencyGraph is which unfinished jobs depend on which, and how jobs ended.
//
// Whether a job may start, or is cancelled with one that it depends on, follows from the
// store alone: every controller works it out from the replica, so nobody has to be
// notified and a failover changes nothing. A dependency whose key is gone was done or
// cancelled; which of the two, the order of the changes says, or its terminal record.
type DependencyGraph struct {
	*coordination.Environment
	cache   *coordination.WatchCache
	cluster *State
	trigger *CycleTrigger

	// ByJob are the jobs that unfinished others depend on.
	ByJob map[string]*dependency
	// TerminalStates are those of jobs that ended lately.
	TerminalStates *terminalCache

	// Reading the terminal records of dependencies; see ReadUnknownOutcomes.
	outcomesToRead    []string // ids, each of which is in ByJob or was
	nextOutcomeReadAt micros.Micros
	outcomeReads      int // how many are in flight
}

// dependency is a job that unfinished others depend on.
type dependency struct {
	Outcome    DependencyOutcome
	doneAt     micros.Micros // when it was done; 0: not known, or it is not
	Dependents []*Job
}

// DependencyOutcome is what became of a job that others depend on.
type DependencyOutcome uint8

// Outcomes of jobs that others depend on. From OutcomeDone on they are terminal.
const (
	// OutcomeUnknown is that of a job that has no key: it has ended, it is not known how.
	OutcomeUnknown DependencyOutcome = iota
	// outcomePending is that of a job that has neither ended nor is cancelled.
	outcomePending
	// OutcomeDone is that of a job that is done.
	OutcomeDone
	// OutcomeCancelled is that of a job that is cancelled, or depends on one that is.
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

// Reset forgets all dependencies, before everything is read again. What is known of jobs
// that ended stays.
func (g *DependencyGraph) Reset() {
	clear(g.ByJob)
	g.outcomesToRead = nil
}

// LinkDependencies adds a job to the dependents of those that it depends on.
func (g *DependencyGraph) LinkDependencies(job *Job) {
	for _, id := range job.Dependencies {
		upstream := g.ensureDependency(id)
		upstream.Dependents = append(upstream.Dependents, job)
	}
	g.reviewDependencies(job)
}

// ensureDependency returns a job that others depend on, and has its outcome read if it has
// ended and nothing is known of it.
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

// UnlinkDependencies removes a job that has ended from the dependents of those that it
// depended on.
func (g *DependencyGraph) UnlinkDependencies(job *Job) {
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

// KnownOutcome returns what became of a job, as far as no read is needed for it, and when
// it ended if that is known.
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

func outcomeOf(record records.TerminalRecord) DependencyOutcome {
	if record.State == api.JobDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}

// SettleOutcome records what became of a job and when, and what follows for those that
// depend on it. It has no effect once the outcome is terminal.
func (g *DependencyGraph) SettleOutcome(id string, outcome DependencyOutcome, at micros.Micros) {
	upstream := g.ByJob[id]
	if upstream == nil || upstream.Outcome == outcome || upstream.Outcome.isTerminal() {
		return
	}
	upstream.Outcome, upstream.doneAt = outcome, at
	if outcome == OutcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	for _, dependent := range upstream.Dependents {
		g.reviewDependencies(dependent)
	}
}

// RecordTerminalState notes how a job ended, and what follows for those that depend on it.
func (g *DependencyGraph) RecordTerminalState(id string, record records.TerminalRecord) {
	g.TerminalStates.add(id, record)
	g.SettleOutcome(id, outcomeOf(record), record.EndedAt)
}

// TerminalOutcome returns how a job ended that vanished from the replica, if that is known.
// A cancellation changes the job's key before its end deletes it, and an end compares the
// version that it follows: without a cancellation the job was done.
func (g *DependencyGraph) TerminalOutcome(job *Job) (records.TerminalRecord, bool) {
	if record, ok := g.TerminalStates.Records[job.ID]; ok {
		return record, true
	}
	switch {
	case job.Cancelled:
		return records.TerminalRecord{State: api.JobCancelled, DoneTasks: job.DoneTasks}, true
	case job.UnknownDependencies > 0 && !job.HasStarted():
		return records.TerminalRecord{}, false
	}
	return records.TerminalRecord{State: api.JobDone, DoneTasks: job.Spec.Tasks, EndedAt: g.Now}, true
}

// reviewDependencies works out anew whether a job must wait, and whether it is cancelled.
func (g *DependencyGraph) reviewDependencies(job *Job) {
	pendingBefore := job.PendingDependencies
	g.countDependencies(job)
	if pendingBefore > 0 && job.PendingDependencies == 0 {
		g.LogDebug("job dependencies done", logkey.Job, job.ID, logkey.AfterS, (g.Now - job.AcceptedAt).WholeSeconds())
		g.trigger.RequestCycleWithin(0)
	}
	if job.DependencyCancelled && !job.Cancelled {
		job.Cancelled = true
		g.LogDebug("job cancelled with a dependency", logkey.Job, job.ID)
		g.cluster.MarkChanged(job)
		g.SettleOutcome(job.ID, OutcomeCancelled, 0)
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

// DropSettledDependencies leaves of a job's dependencies, in the record of its submission,
// only those that have not ended: the rest says nothing any more. A job that depends on a
// cancelled one is cancelled itself.
func (g *DependencyGraph) DropSettledDependencies(record *records.JobRecord) {
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
