package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// dependencyCheck makes sure that the jobs a submission depends on were accepted.
type dependencyCheck struct {
	graph *DependencyGraph
	spec  *api.Job
	// answer is called once, with 0 or the status and the reason of a refusal.
	answer func(status int, reason string)
}

// VerifyDependencies makes sure that all jobs that a submission depends on were accepted,
// and calls answer with 0, or with the HTTP status and the reason of a refusal. Jobs that
// the replica does not show are read from the store, once the replica is known to be newer
// than the submission.
func (g *DependencyGraph) VerifyDependencies(spec *api.Job, answer func(status int, reason string)) {
	check := &dependencyCheck{graph: g, spec: spec, answer: answer}
	if len(check.unknownDependencies()) == 0 {
		check.accept()
		return
	}
	g.cache.ReadLatest(check.replicaRead)
}

// replicaRead goes on once the replica is newer than the submission, if ok. A dependency
// that it does not show has ended or was never accepted.
func (c *dependencyCheck) replicaRead(ok bool) {
	if !ok {
		c.answer(message.StatusServiceUnavailable, "the state service did not answer")
		return
	}
	unknown := c.unknownDependencies()
	if len(unknown) == 0 {
		c.accept()
		return
	}
	limit := max(0, maxOutcomeReads-c.graph.outcomeReads)
	if limit == 0 {
		c.answer(message.StatusServiceUnavailable, "too many submissions that name others at a time")
		return
	}
	// A long list is read in several tries of its user, each of which finds more of it
	// known.
	complete := len(unknown) <= limit
	c.graph.readOutcomes(unknown[:min(len(unknown), limit)], func(batch *outcomeBatch) {
		c.outcomesRead(batch, complete)
	})
}

// outcomesRead goes on once the terminal records of the dependencies were read; complete:
// of all of them.
func (c *dependencyCheck) outcomesRead(batch *outcomeBatch, complete bool) {
	switch {
	case batch.missing != "":
		c.answer(message.StatusUnprocessableEntity, batch.missing+" was never accepted")
	case batch.failed || !complete:
		c.answer(message.StatusServiceUnavailable, "not all jobs that it names could be looked up")
	default:
		c.accept()
	}
}

// unknownDependencies lists the dependencies of which nothing is known.
func (c *dependencyCheck) unknownDependencies() []string {
	var unknown []string
	for _, id := range c.spec.Dependencies {
		if outcome, _ := c.graph.KnownOutcome(id); outcome == OutcomeUnknown {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// accept answers that the dependencies are sound, all of which were accepted, unless one of
// them is never done.
func (c *dependencyCheck) accept() {
	for _, id := range c.spec.Dependencies {
		if job := c.graph.cluster.Jobs[id]; job != nil && job.Spec.Kind == api.Service {
			c.answer(message.StatusUnprocessableEntity, id+" is a service: it is never done")
			return
		}
	}
	c.answer(0, "")
}
