package cluster

import (
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Jobs that wait for jobs. Whether a job may start, or is withdrawn with one
// that it needs, follows from the state service alone: every controller works
// it out from the replica, so nobody has to be told and a take-over changes
// nothing. A need whose key is gone was done or withdrawn; which of the two, the
// order of the changes says, or its final record.

// DependencyGraph is which unfinished jobs depend on which, and how jobs ended.
type DependencyGraph struct {
	*coordination.Environment
	cache   *coordination.WatchCache
	cluster *State
	trigger *CycleTrigger

	ByJob             map[string]*dependency // jobs that unfinished others depend on
	outcomesToRead    []string               // of those, the ones whose terminal records are to be read
	nextOutcomeReadAt micros.Micros
	outcomeReads      int // terminal records being read for dependencies
	TerminalStates    *terminalCache
}

// maxTerminalStates is how many terminal states are kept in memory.
const maxTerminalStates = 20_000

// NewDependencyGraph makes an empty dependency graph.
func NewDependencyGraph(env *coordination.Environment, cache *coordination.WatchCache, cluster *State, trigger *CycleTrigger) *DependencyGraph {
	return &DependencyGraph{Environment: env, cache: cache, cluster: cluster, trigger: trigger,
		ByJob: map[string]*dependency{}, TerminalStates: newTerminalCache(maxTerminalStates)}
}

// DependencyOutcome is what became of a job that others need.
type DependencyOutcome uint8

// Outcomes of jobs that others depend on.
const (
	OutcomeUnknown   DependencyOutcome = iota // over; its final record is being read
	outcomePending                            // neither
	OutcomeDone                               // done
	OutcomeCancelled                          // cancelled, or needs one that is
)

// dependency is a job that unfinished others dependency.
type dependency struct {
	Outcome    DependencyOutcome
	doneAt     micros.Micros // when it was done
	Dependents []*Job
}

// maxOutcomeReads bounds the final records being read at a time for needs.
const maxOutcomeReads = 32

// LinkDependencies notes what a job needs.
func (g *DependencyGraph) LinkDependencies(j *Job) {
	for _, id := range j.Dependencies {
		n := g.ByJob[id]
		if n == nil {
			n = &dependency{}
			if n.Outcome, n.doneAt = g.KnownOutcome(id); n.Outcome == OutcomeUnknown {
				g.outcomesToRead = append(g.outcomesToRead, id)
			}
			g.ByJob[id] = n
		}
		n.Dependents = append(n.Dependents, j)
	}
	g.reviewDependencies(j)
}

// UnlinkDependencies forgets what a job that is over needed.
func (g *DependencyGraph) UnlinkDependencies(j *Job) {
	for _, id := range j.Dependencies {
		n := g.ByJob[id]
		if n == nil {
			continue
		}
		if n.Dependents = slices.DeleteFunc(n.Dependents, func(o *Job) bool { return o == j }); len(n.Dependents) == 0 {
			delete(g.ByJob, id)
		}
	}
}

// KnownOutcome tells what became of a job, as far as no read is needed for it.
func (g *DependencyGraph) KnownOutcome(id string) (DependencyOutcome, micros.Micros) {
	if rec, ok := g.TerminalStates.Records[id]; ok {
		return outcomeOf(rec), rec.EndedAt
	}
	switch j := g.cluster.Jobs[id]; {
	case j == nil:
		return OutcomeUnknown, 0
	case j.Cancelled:
		return OutcomeCancelled, 0
	}
	return outcomePending, 0
}

func outcomeOf(r records.TerminalRecord) DependencyOutcome {
	if r.State == api.JobDone {
		return OutcomeDone
	}
	return OutcomeCancelled
}

// SettleOutcome takes in what became of a job, and what follows for those that need it.
func (g *DependencyGraph) SettleOutcome(id string, o DependencyOutcome, at micros.Micros) {
	n := g.ByJob[id]
	if n == nil || n.Outcome == o || n.Outcome >= OutcomeDone {
		return
	}
	if n.Outcome, n.doneAt = o, at; o == OutcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	for _, j := range n.Dependents {
		g.reviewDependencies(j)
	}
}

// RecordTerminalState notes how a job ended, and what follows for those that need it.
func (g *DependencyGraph) RecordTerminalState(id string, rec records.TerminalRecord) {
	g.TerminalStates.add(id, rec)
	g.SettleOutcome(id, outcomeOf(rec), rec.EndedAt)
}

// Reset forgets all dependencies, before everything is read again. What is
// known of jobs that ended stays.
func (g *DependencyGraph) Reset() {
	clear(g.ByJob)
	g.outcomesToRead = nil
}

// reviewDependencies works out anew whether a job must wait, and whether it is withdrawn.
func (g *DependencyGraph) reviewDependencies(j *Job) {
	had := j.PendingDependencies
	j.PendingDependencies, j.UnknownDependencies, j.dependenciesDoneAt = 0, 0, 0
	for _, id := range j.Dependencies {
		switch n := g.ByJob[id]; n.Outcome {
		case OutcomeDone:
			j.dependenciesDoneAt = max(j.dependenciesDoneAt, n.doneAt)
			continue
		case OutcomeUnknown:
			j.UnknownDependencies++
		case OutcomeCancelled:
			j.DependencyCancelled = true
		}
		j.PendingDependencies++
	}
	if had > 0 && j.PendingDependencies == 0 {
		g.LogDebug("job dependencies done", logkey.Job, j.ID, logkey.AfterS, (g.Now - j.AcceptedAt).WholeSeconds())
		g.trigger.RequestCycleWithin(0)
	}
	if j.DependencyCancelled && !j.Cancelled {
		j.Cancelled = true
		g.LogDebug("job cancelled with a dependency", logkey.Job, j.ID)
		g.cluster.MarkChanged(j)
		g.SettleOutcome(j.ID, OutcomeCancelled, 0)
	}
}

// EligibleAt is when a job could have started: its times count from there.
func (j *Job) EligibleAt() micros.Micros { return max(j.AcceptedAt, j.dependenciesDoneAt) }

// HasStarted tells whether some task was started, so that all it needs is done.
func (j *Job) HasStarted() bool { return j.PlacedTasks+j.DoneTasks > 0 }

// TerminalOutcome tells what a job that vanished from the replica had become, if that is
// known. A cancellation changes the job's key before its end does, and a final
// state guards the version that it follows: without one the job was done.
func (g *DependencyGraph) TerminalOutcome(j *Job) (records.TerminalRecord, bool) {
	if rec, ok := g.TerminalStates.Records[j.ID]; ok {
		return rec, true
	}
	switch {
	case j.Cancelled:
		return records.TerminalRecord{State: api.JobCancelled, DoneTasks: j.DoneTasks}, true
	case j.UnknownDependencies > 0 && !j.HasStarted():
		return records.TerminalRecord{}, false
	}
	return records.TerminalRecord{State: api.JobDone, DoneTasks: j.Spec.Tasks, EndedAt: g.Now}, true
}

// ReadUnknownOutcomes reads the final records of needs that were over before the replica
// could show how, a few at a time.
func (g *DependencyGraph) ReadUnknownOutcomes() {
	if !g.cache.Synced || g.Now < g.nextOutcomeReadAt {
		return
	}
	for len(g.outcomesToRead) > 0 && g.outcomeReads < maxOutcomeReads/2 {
		id := g.outcomesToRead[0]
		g.outcomesToRead = g.outcomesToRead[1:]
		if n := g.ByJob[id]; n == nil || n.Outcome != OutcomeUnknown {
			continue
		}
		if o, at := g.KnownOutcome(id); o != OutcomeUnknown {
			g.SettleOutcome(id, o, at)
			continue
		}
		g.readOutcome(id, func(f LookupResult) {
			if n := g.ByJob[id]; f != JobKnown && n != nil && n.Outcome == OutcomeUnknown {
				if f == JobNeverAccepted {
					g.LogError("no record of a dependency", logkey.Job, id)
				}
				g.outcomesToRead, g.nextOutcomeReadAt = append(g.outcomesToRead, id), g.Now+g.Jitter(micros.Second/2)
			}
		})
	}
}

// readOutcome is readFinal for a need, of which so many are read at a time; what
// users ask of jobs that are over does not count.
func (g *DependencyGraph) readOutcome(id string, f func(LookupResult)) {
	g.outcomeReads++
	g.ReadTerminalRecord(id, func(found LookupResult) {
		g.outcomeReads--
		f(found)
	})
}

// ReadTerminalRecord reads a job's final record, and notes what it says.
func (g *DependencyGraph) ReadTerminalRecord(id string, f func(LookupResult)) {
	g.CallStore(message.StoreCall{Op: message.OpGet, Key: records.TerminalKey + id}, func(r *message.StoreReply) {
		var rec records.TerminalRecord
		switch {
		case r.Status == 404:
			f(JobNeverAccepted)
		case r.Status == 200 && json.Unmarshal(r.Item.Value, &rec) == nil && rec.State != "":
			g.RecordTerminalState(id, rec)
			f(JobKnown)
		default:
			f(LookupFailed)
		}
	})
}

// VerifyDependencies makes sure that all jobs that a submission names were accepted, from a
// read begun after it arrived where the replica doesn't know one. It gives 0, or
// the status of a refusal.
func (g *DependencyGraph) VerifyDependencies(spec *api.Job, f func(status int, why string)) {
	if len(g.unknownDependencies(spec)) == 0 {
		f(g.rejectServiceDependencies(spec))
		return
	}
	g.cache.ReadLatest(func(ok bool) {
		if !ok {
			f(503, "the state service did not answer")
			return
		}
		// What is left is over or was never accepted. A long list is read in
		// several tries of its user, each of which finds more of it known.
		list := g.unknownDependencies(spec)
		if len(list) == 0 {
			f(g.rejectServiceDependencies(spec))
			return
		}
		most := max(0, maxOutcomeReads-g.outcomeReads)
		if most == 0 {
			f(503, "too many submissions that name others at a time")
			return
		}
		all := len(list) <= most
		g.readOutcomes(list[:min(len(list), most)], func(missing string, failed bool) {
			switch {
			case missing != "":
				f(422, missing+" was never accepted")
			case failed || !all:
				f(503, "not all jobs that it names could be looked up")
			default:
				f(g.rejectServiceDependencies(spec))
			}
		})
	})
}

// unknownDependencies lists the jobs a submission names of which nothing is known.
func (g *DependencyGraph) unknownDependencies(spec *api.Job) []string {
	var list []string
	for _, id := range spec.Dependencies {
		if o, _ := g.KnownOutcome(id); o == OutcomeUnknown {
			list = append(list, id)
		}
	}
	return list
}

// rejectServiceDependencies tells whether accepted jobs may be waited for.
func (g *DependencyGraph) rejectServiceDependencies(spec *api.Job) (status int, why string) {
	for _, id := range spec.Dependencies {
		if j := g.cluster.Jobs[id]; j != nil && j.Spec.Kind == api.Service {
			return 422, id + " is a service: it is never done"
		}
	}
	return 0, ""
}

// readOutcomes reads the final records of jobs, and tells which was never accepted,
// if any, and whether some could not be read.
func (g *DependencyGraph) readOutcomes(list []string, f func(missing string, failed bool)) {
	left, missing, failed := len(list), "", false
	for _, id := range list {
		g.readOutcome(id, func(found LookupResult) {
			left--
			switch found {
			case JobNeverAccepted:
				missing = id
			case LookupFailed:
				failed = true
			}
			if left == 0 {
				f(missing, failed)
			}
		})
	}
}

// DropSettledDependencies leaves of what a job needs only what is not over: the rest says
// nothing any more. One that needs a withdrawn job is withdrawn itself.
func (g *DependencyGraph) DropSettledDependencies(rec *records.JobRecord) {
	var left []string
	for _, id := range rec.Spec.Dependencies {
		switch o, _ := g.KnownOutcome(id); o {
		case OutcomeDone:
		case OutcomeCancelled:
			rec.Spec.Dependencies, rec.Cancelled = nil, true
			return
		default:
			left = append(left, id)
		}
	}
	rec.Spec.Dependencies = left
}

// LookupResult is what is known of a job.
type LookupResult int

// Results of looking a job up.
const (
	LookupFailed    LookupResult = iota // could not be told
	JobNeverAccepted                     // no such job was accepted
	JobKnown
)
