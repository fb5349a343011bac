package cluster

import (
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
	outcomeReads      int  // number of reads in flight
	outcomeScans      int  // number of scans in flight
	scanInFlight      bool // one of them is for outcomesToRead
}

// dependency is a job that unfinished jobs depend on.
type dependency struct {
	Outcome    DependencyOutcome
	doneAt     micros.Micros // 0: not done, or time not known
	Dependents []Dependent
}

// Dependent is an unfinished job that depends on another one.
type Dependent struct {
	Job  *Job
	link int // index of the dependency among the links of Job
}

// dependencyLink connects a job with a job that it depends on.
type dependencyLink struct {
	upstream *dependency
	position int // of the job among the dependents of upstream
}

// DependencyOutcome is the outcome, so far, of a job that others depend on.
type DependencyOutcome uint8

// Outcomes of jobs that others depend on. OutcomeDone and the values after it are terminal.
const (
	// OutcomeUnknown means that the job has no key: it has ended, but it is not known how.
	OutcomeUnknown DependencyOutcome = iota
	// outcomeUndetermined means that the job has a key and may be cancelled together with a job
	// that it depends on, directly or through others, and whose outcome is unknown.
	outcomeUndetermined
	// outcomePending means that the job has neither ended nor been cancelled.
	outcomePending
	// OutcomeDone means that the job is done.
	OutcomeDone
	// OutcomeCancelled means that the job, or a job that it depends on, is cancelled.
	OutcomeCancelled
)

func (o DependencyOutcome) isTerminal() bool { return o >= OutcomeDone }

// mayBeCancelled reports whether the job may be cancelled although that is not known.
func (o DependencyOutcome) mayBeCancelled() bool {
	return o == OutcomeUnknown || o == outcomeUndetermined
}

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

// Link adds a job to the dependents of the jobs that it depends on, and updates the jobs that
// depend on it: when all keys are listed, these may come before it.
func (g *DependencyGraph) Link(job *Job) {
	job.links = make([]dependencyLink, len(job.Dependencies))
	for i, id := range job.Dependencies {
		upstream := g.ensureDependency(id)
		job.links[i] = dependencyLink{upstream: upstream, position: len(upstream.Dependents)}
		upstream.Dependents = append(upstream.Dependents, Dependent{Job: job, link: i})
		job.addDependency(upstream)
	}
	g.updateDependent(job)
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
	for i, link := range job.links {
		link.upstream.remove(link.position)
		if len(link.upstream.Dependents) == 0 {
			delete(g.ByJob, job.Dependencies[i])
		}
	}
	job.links = nil
}

// remove removes the dependent at a position. The last dependent takes its place.
func (d *dependency) remove(position int) {
	last := len(d.Dependents) - 1
	moved := d.Dependents[last]
	d.Dependents[position] = moved
	moved.Job.links[moved.link].position = position
	d.Dependents = d.Dependents[:last]
}

// KnownOutcome returns the outcome of a job, as far as it is known without a read of the
// store, and the time it ended, 0 if that is not known.
func (g *DependencyGraph) KnownOutcome(id string) (DependencyOutcome, micros.Micros) {
	if record, ok := g.TerminalStates.Records[id]; ok {
		return outcomeOf(record), record.EndedAt
	}
	if job := g.cluster.Jobs[id]; job != nil {
		return job.outcome(), 0
	}
	return OutcomeUnknown, 0
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
	previous := upstream.Outcome
	upstream.Outcome, upstream.doneAt = outcome, at
	if outcome == OutcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	for _, dependent := range upstream.Dependents {
		dependent.Job.removeDependency(previous)
		dependent.Job.addDependency(upstream)
		if dependent.Job.PendingDependencies == 0 {
			g.logReleased(dependent.Job)
		}
		g.updateDependent(dependent.Job)
	}
}

// logReleased logs that all dependencies of a job are done, and requests a scheduling cycle.
func (g *DependencyGraph) logReleased(job *Job) {
	g.LogDebug("job dependencies done", logkey.Job, job.ID, logkey.AfterS, (g.Now - job.AcceptedAt).WholeSeconds())
	g.trigger.RequestWithin(0)
}

// RecordTerminalState stores the terminal state of a job and updates the jobs that depend on
// it.
func (g *DependencyGraph) RecordTerminalState(id string, record records.TerminalJob) {
	g.TerminalStates.add(id, record)
	g.SetOutcome(id, outcomeOf(record), record.EndedAt)
}

// TerminalOutcome returns how a job ended whose key was deleted, and whether that is known. A
// cancellation changes the job's key before the commit of its end deletes the key, and that
// commit compares the version of the key. So a job that was not cancelled, and that had no
// dependency left or had started, was done. Any other job ended because a job that it depends
// on, directly or through others, was cancelled before the replica was read. Its record tells.
func (g *DependencyGraph) TerminalOutcome(job *Job) (records.TerminalJob, bool) {
	if record, ok := g.TerminalStates.Records[job.ID]; ok {
		return record, true
	}
	switch {
	case job.Cancelled:
		return records.TerminalJob{State: api.JobCancelled, DoneTasks: job.DoneTasks}, true
	case job.PendingDependencies > 0 && !job.HasStarted():
		return records.TerminalJob{}, false
	}
	return records.TerminalJob{State: api.JobDone, DoneTasks: job.Spec.Tasks, EndedAt: g.Now}, true
}

// updateDependent cancels a job if a job that it depends on is cancelled, and passes its
// outcome on to the jobs that depend on it.
func (g *DependencyGraph) updateDependent(job *Job) {
	if job.DependencyCancelled && !job.Cancelled {
		job.Cancelled = true
		g.LogDebug("job cancelled with a dependency", logkey.Job, job.ID)
		g.cluster.MarkChanged(job)
	}
	g.SetOutcome(job.ID, job.outcome(), 0)
}

// ObserveTasks updates the jobs that depend on a job of which log entries were applied: if they
// show that it has started, all that it depends on was done.
func (g *DependencyGraph) ObserveTasks(job *Job) {
	if job.undeterminedDependencies > 0 {
		g.SetOutcome(job.ID, job.outcome(), 0)
	}
}

// addDependency counts a dependency by its outcome.
func (j *Job) addDependency(upstream *dependency) {
	if upstream.Outcome == OutcomeDone {
		j.dependenciesDoneAt = max(j.dependenciesDoneAt, upstream.doneAt)
		return
	}
	j.PendingDependencies++
	if upstream.Outcome.mayBeCancelled() {
		j.undeterminedDependencies++
	}
	j.DependencyCancelled = j.DependencyCancelled || upstream.Outcome == OutcomeCancelled
}

// removeDependency stops counting a dependency that had an outcome, which was not terminal.
func (j *Job) removeDependency(previous DependencyOutcome) {
	j.PendingDependencies--
	if previous.mayBeCancelled() {
		j.undeterminedDependencies--
	}
}

// MayBeCancelled reports whether the job may be cancelled together with a job that it depends
// on, directly or through others, although the replica does not show that. A job that has
// started is not: all its dependencies were done.
func (j *Job) MayBeCancelled() bool {
	return j.undeterminedDependencies > 0 && !j.Cancelled && !j.HasStarted()
}

// outcome returns the outcome of an unfinished job for the jobs that depend on it.
func (j *Job) outcome() DependencyOutcome {
	switch {
	case j.Cancelled:
		return OutcomeCancelled
	case j.MayBeCancelled():
		return outcomeUndetermined
	}
	return outcomePending
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
