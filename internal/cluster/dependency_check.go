package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// dependencyCheck checks that the jobs that a submission depends on were accepted.
type dependencyCheck struct {
	graph *DependencyGraph
	spec  *api.Job
	// answer is called once, with 0, or with the HTTP status and the reason of a refusal.
	answer func(status int, reason string)
}

// Verify checks that all jobs that a submission depends on were accepted. It then calls
// answer once, at once or later, with 0, or with the HTTP status and the reason of a refusal.
// Jobs that the replica does not have are read from the store, after the replica is known to
// be newer than the submission.
func (g *DependencyGraph) Verify(spec *api.Job, answer func(status int, reason string)) {
	check := &dependencyCheck{graph: g, spec: spec, answer: answer}
	if len(check.unknownDependencies()) == 0 {
		check.accept()
		return
	}
	g.cache.ReadLatest(check.handleReplicaRead)
}

// handleReplicaRead continues once the replica is newer than the submission; ok reports
// whether it could be read. A dependency that the replica does not have has ended or was never
// accepted.
func (c *dependencyCheck) handleReplicaRead(ok bool) {
	if !ok {
		c.answer(message.StatusServiceUnavailable, "the state service did not answer")
		return
	}
	unknown := c.unknownDependencies()
	if len(unknown) == 0 {
		c.accept()
		return
	}
	switch {
	case len(unknown) <= maxOutcomeReads-c.graph.outcomeReads:
		c.graph.readOutcomes(unknown, func(batch *outcomeBatch) { c.handleOutcomes(batch.missing, batch.failed) })
	case c.graph.outcomeScans < maxOutcomeScans:
		// A scan may take longer than the user waits. The user's next attempt finds what it has
		// read in memory.
		c.graph.scanOutcomes(unknown, func(scan *outcomeScan) { c.handleOutcomes(scan.firstMissing(), len(scan.failed()) > 0) })
	default:
		c.answer(message.StatusServiceUnavailable, "too many submissions that name others at a time")
	}
}

// handleOutcomes continues once the terminal records of the unknown dependencies were read.
// missing is a dependency without a record, or empty. failed reports that not all were read.
func (c *dependencyCheck) handleOutcomes(missing string, failed bool) {
	switch {
	case missing != "":
		c.answer(message.StatusUnprocessableEntity, missing+" was never accepted")
	case failed:
		c.answer(message.StatusServiceUnavailable, "not all jobs that it names could be looked up")
	default:
		c.accept()
	}
}

// unknownDependencies returns the dependencies whose outcome is not known.
func (c *dependencyCheck) unknownDependencies() []string {
	var unknown []string
	for _, id := range c.spec.Dependencies {
		if outcome, _ := c.graph.KnownOutcome(id); outcome == OutcomeUnknown {
			unknown = append(unknown, id)
		}
	}
	return unknown
}

// accept accepts the dependencies, all of which are known to exist. It refuses services, since
// they are never done.
func (c *dependencyCheck) accept() {
	for _, id := range c.spec.Dependencies {
		if job := c.graph.cluster.Jobs[id]; job != nil && job.Spec.Kind == api.KindService {
			c.answer(message.StatusUnprocessableEntity, id+" is a service: it is never done")
			return
		}
	}
	c.answer(0, "")
}
