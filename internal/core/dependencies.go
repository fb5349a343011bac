package core

import (
	"slices"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Jobs that wait for jobs. Whether a job may start, or is withdrawn with one
// that it needs, follows from the state service alone: every controller works
// it out from the replica, so nobody has to be told and a take-over changes
// nothing. A need whose key is gone was done or withdrawn; which of the two, the
// order of the changes says, or its final record.

// dependencyGraph is which unfinished jobs depend on which, and how jobs ended.
type dependencyGraph struct {
	*environment
	cache   *watchCache
	cluster *clusterState
	trigger *cycleTrigger

	byJob             map[string]*dependency // jobs that unfinished others depend on
	outcomesToRead    []string               // of those, the ones whose terminal records are to be read
	nextOutcomeReadAt micros.Micros
	outcomeReads      int // terminal records being read for dependencies
	terminalStates    *terminalCache
}

// maxTerminalStates is how many terminal states are kept in memory.
const maxTerminalStates = 20_000

func newDependencyGraph(env *environment, cache *watchCache, cluster *clusterState, trigger *cycleTrigger) *dependencyGraph {
	return &dependencyGraph{environment: env, cache: cache, cluster: cluster, trigger: trigger,
		byJob: map[string]*dependency{}, terminalStates: newTerminalCache(maxTerminalStates)}
}

// dependencyOutcome is what became of a job that others need.
type dependencyOutcome uint8

const (
	outcomeUnknown   dependencyOutcome = iota // over; its final record is being read
	outcomePending                            // neither
	outcomeDone                               // done
	outcomeCancelled                          // cancelled, or needs one that is
)

// dependency is a job that unfinished others dependency.
type dependency struct {
	outcome    dependencyOutcome
	doneAt     micros.Micros // when it was done
	dependents []*job
}

// maxOutcomeReads bounds the final records being read at a time for needs.
const maxOutcomeReads = 32

// linkDependencies notes what a job needs.
func (g *dependencyGraph) linkDependencies(j *job) {
	for _, id := range j.dependencies {
		n := g.byJob[id]
		if n == nil {
			n = &dependency{}
			if n.outcome, n.doneAt = g.knownOutcome(id); n.outcome == outcomeUnknown {
				g.outcomesToRead = append(g.outcomesToRead, id)
			}
			g.byJob[id] = n
		}
		n.dependents = append(n.dependents, j)
	}
	g.reviewDependencies(j)
}

// unlinkDependencies forgets what a job that is over needed.
func (g *dependencyGraph) unlinkDependencies(j *job) {
	for _, id := range j.dependencies {
		n := g.byJob[id]
		if n == nil {
			continue
		}
		if n.dependents = slices.DeleteFunc(n.dependents, func(o *job) bool { return o == j }); len(n.dependents) == 0 {
			delete(g.byJob, id)
		}
	}
}

// knownOutcome tells what became of a job, as far as no read is needed for it.
func (g *dependencyGraph) knownOutcome(id string) (dependencyOutcome, micros.Micros) {
	if rec, ok := g.terminalStates.records[id]; ok {
		return outcomeOf(rec), rec.EndedAt
	}
	switch j := g.cluster.jobs[id]; {
	case j == nil:
		return outcomeUnknown, 0
	case j.cancelled:
		return outcomeCancelled, 0
	}
	return outcomePending, 0
}

func outcomeOf(r terminalRecord) dependencyOutcome {
	if r.State == api.JobDone {
		return outcomeDone
	}
	return outcomeCancelled
}

// settleOutcome takes in what became of a job, and what follows for those that need it.
func (g *dependencyGraph) settleOutcome(id string, o dependencyOutcome, at micros.Micros) {
	n := g.byJob[id]
	if n == nil || n.outcome == o || n.outcome >= outcomeDone {
		return
	}
	if n.outcome, n.doneAt = o, at; o == outcomeUnknown {
		g.outcomesToRead = append(g.outcomesToRead, id)
	}
	for _, j := range n.dependents {
		g.reviewDependencies(j)
	}
}

// recordTerminalState notes how a job ended, and what follows for those that need it.
func (g *dependencyGraph) recordTerminalState(id string, rec terminalRecord) {
	g.terminalStates.add(id, rec)
	g.settleOutcome(id, outcomeOf(rec), rec.EndedAt)
}

// resetDependencies forgets all dependencies, before everything is read again. What is
// known of jobs that ended stays.
func (g *dependencyGraph) resetDependencies() {
	clear(g.byJob)
	g.outcomesToRead = nil
}

// reviewDependencies works out anew whether a job must wait, and whether it is withdrawn.
func (g *dependencyGraph) reviewDependencies(j *job) {
	had := j.pendingDependencies
	j.pendingDependencies, j.unknownDependencies, j.dependenciesDoneAt = 0, 0, 0
	for _, id := range j.dependencies {
		switch n := g.byJob[id]; n.outcome {
		case outcomeDone:
			j.dependenciesDoneAt = max(j.dependenciesDoneAt, n.doneAt)
			continue
		case outcomeUnknown:
			j.unknownDependencies++
		case outcomeCancelled:
			j.dependencyCancelled = true
		}
		j.pendingDependencies++
	}
	if had > 0 && j.pendingDependencies == 0 {
		g.logDebug("all that the job needs is done", "job", j.id, "after_s", (g.now - j.acceptedAt).WholeSeconds())
		g.trigger.requestPlanWithin(0)
	}
	if j.dependencyCancelled && !j.cancelled {
		j.cancelled = true
		g.logDebug("job withdrawn with one that it needs", "job", j.id)
		g.cluster.markChanged(j)
		g.settleOutcome(j.id, outcomeCancelled, 0)
	}
}

// eligibleAt is when a job could have started: its times count from there.
func (j *job) eligibleAt() micros.Micros { return max(j.acceptedAt, j.dependenciesDoneAt) }

// hasStarted tells whether some task was started, so that all it needs is done.
func (j *job) hasStarted() bool { return j.placedTasks+j.doneTasks > 0 }

// terminalOutcome tells what a job that vanished from the replica had become, if that is
// known. A cancellation changes the job's key before its end does, and a final
// state guards the version that it follows: without one the job was done.
func (g *dependencyGraph) terminalOutcome(j *job) (terminalRecord, bool) {
	if rec, ok := g.terminalStates.records[j.id]; ok {
		return rec, true
	}
	switch {
	case j.cancelled:
		return terminalRecord{State: api.JobCancelled, DoneTasks: j.doneTasks}, true
	case j.unknownDependencies > 0 && !j.hasStarted():
		return terminalRecord{}, false
	}
	return terminalRecord{State: api.JobDone, DoneTasks: j.spec.Tasks, EndedAt: g.now}, true
}

// readUnknownOutcomes reads the final records of needs that were over before the replica
// could show how, a few at a time.
func (g *dependencyGraph) readUnknownOutcomes() {
	if !g.cache.synced || g.now < g.nextOutcomeReadAt {
		return
	}
	for len(g.outcomesToRead) > 0 && g.outcomeReads < maxOutcomeReads/2 {
		id := g.outcomesToRead[0]
		g.outcomesToRead = g.outcomesToRead[1:]
		if n := g.byJob[id]; n == nil || n.outcome != outcomeUnknown {
			continue
		}
		if o, at := g.knownOutcome(id); o != outcomeUnknown {
			g.settleOutcome(id, o, at)
			continue
		}
		g.readOutcome(id, func(f lookupResult) {
			if n := g.byJob[id]; f != jobKnown && n != nil && n.outcome == outcomeUnknown {
				if f == jobNeverAccepted {
					g.logError("no trace of a job that others need", "job", id)
				}
				g.outcomesToRead, g.nextOutcomeReadAt = append(g.outcomesToRead, id), g.now+g.jitter(micros.Second/2)
			}
		})
	}
}

// readOutcome is readFinal for a need, of which so many are read at a time; what
// users ask of jobs that are over does not count.
func (g *dependencyGraph) readOutcome(id string, f func(lookupResult)) {
	g.outcomeReads++
	g.readTerminalRecord(id, func(found lookupResult) {
		g.outcomeReads--
		f(found)
	})
}

// readTerminalRecord reads a job's final record, and notes what it says.
func (g *dependencyGraph) readTerminalRecord(id string, f func(lookupResult)) {
	g.callStore(StoreCall{Op: OpGet, Key: terminalKey + id}, func(r *StoreReply) {
		var rec terminalRecord
		switch {
		case r.Status == 404:
			f(jobNeverAccepted)
		case r.Status == 200 && json.Unmarshal(r.Item.Value, &rec) == nil && rec.State != "":
			g.recordTerminalState(id, rec)
			f(jobKnown)
		default:
			f(lookupUnknown)
		}
	})
}

// verifyDependencies makes sure that all jobs that a submission names were accepted, from a
// read begun after it arrived where the replica doesn't know one. It gives 0, or
// the status of a refusal.
func (g *dependencyGraph) verifyDependencies(spec *api.Job, f func(status int, why string)) {
	if len(g.unknownDependencies(spec)) == 0 {
		f(g.rejectServiceDependencies(spec))
		return
	}
	g.cache.readLatest(func(ok bool) {
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
func (g *dependencyGraph) unknownDependencies(spec *api.Job) []string {
	var list []string
	for _, id := range spec.Dependencies {
		if o, _ := g.knownOutcome(id); o == outcomeUnknown {
			list = append(list, id)
		}
	}
	return list
}

// rejectServiceDependencies tells whether accepted jobs may be waited for.
func (g *dependencyGraph) rejectServiceDependencies(spec *api.Job) (status int, why string) {
	for _, id := range spec.Dependencies {
		if j := g.cluster.jobs[id]; j != nil && j.spec.Kind == api.Service {
			return 422, id + " is a service: it is never done"
		}
	}
	return 0, ""
}

// readOutcomes reads the final records of jobs, and tells which was never accepted,
// if any, and whether some could not be read.
func (g *dependencyGraph) readOutcomes(list []string, f func(missing string, failed bool)) {
	left, missing, failed := len(list), "", false
	for _, id := range list {
		g.readOutcome(id, func(found lookupResult) {
			left--
			switch found {
			case jobNeverAccepted:
				missing = id
			case lookupUnknown:
				failed = true
			}
			if left == 0 {
				f(missing, failed)
			}
		})
	}
}

// dropSettledDependencies leaves of what a job needs only what is not over: the rest says
// nothing any more. One that needs a withdrawn job is withdrawn itself.
func (g *dependencyGraph) dropSettledDependencies(rec *jobRecord) {
	var left []string
	for _, id := range rec.Spec.Dependencies {
		switch o, _ := g.knownOutcome(id); o {
		case outcomeDone:
		case outcomeCancelled:
			rec.Spec.Dependencies, rec.Cancelled = nil, true
			return
		default:
			left = append(left, id)
		}
	}
	rec.Spec.Dependencies = left
}

// lookupResult is what is known of a job.
type lookupResult int

const (
	lookupUnknown    lookupResult = iota // could not be told
	jobNeverAccepted                     // no such job was accepted
	jobKnown
)
