package simulation

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// maxTimeUnanswered is the longest time that the user of an accepted job may get no answer
	// after all faults are over. firstAnswerAllowance is added after the job's submission.
	maxTimeUnanswered    = 75 * micros.Second
	firstAnswerAllowance = 5 * micros.Second
)

// checkAtEnd checks the invariants that can be checked only at the end of the run, and the
// expectations of the scenario.
func (c *invariantChecker) checkAtEnd() {
	if c.startCount == 0 {
		c.report(invariantNothingRan, "no task was started")
	}
	c.checkBudgets()
	c.checkOccurrences()
	c.checkAnswered()
	if !c.sim.scenario.MayLeaveUnserved {
		c.checkServed()
	}
	for _, expectation := range c.sim.scenario.Expectations {
		for i := range max(1, expectation.Count) {
			c.checkExpectation(expectation, jobID(expectation.ID+i))
		}
	}
}

// checkBudgets checks the use of the services and the number of machines against the limits of
// the scenario.
func (c *invariantChecker) checkBudgets() {
	scenario, store := c.sim.scenario, c.sim.store
	for _, budget := range []struct {
		what        string
		used, limit int // limit zero: no limit
	}{
		{"changes", store.writes.admitted, scenario.MaxWrites},
		{"requests to the store", store.requests.admitted, scenario.MaxStoreRequests},
		{"calls of the cloud", c.sim.cloud.calls, scenario.MaxCloudCalls},
		{"machines launched", len(c.sim.workers), scenario.MaxLaunched},
		{"requests waiting at a controller at a time", c.sim.peakPendingRequests, scenario.MaxPendingRequests},
		{"direct commands out at a time", c.sim.peakCommandsInFlight, scenario.MaxCommandsInFlight},
	} {
		c.logBudget(budget.used, budget.what)
		if budget.limit > 0 && budget.used > budget.limit {
			c.reportf(invariantBudget, "%d %s, at most %d", budget.used, budget.what, budget.limit)
		}
	}
	const tooFew = "machines at a time, too few for the scenario"
	missing := scenario.MinMachines - c.sim.peakMachines
	c.logBudget(missing, tooFew)
	if missing > 0 {
		c.reportf(invariantBudget, "%d %s, at most %d", missing, tooFew, 0)
	}
}

// logBudget logs a measured number, and how many requests and writes the store refused.
func (c *invariantChecker) logBudget(used int, what string) {
	store := c.sim.store
	c.sim.logf("%d %s, %d and %d of the store refused", used, what, store.requests.refused, store.writes.refused)
}

// checkOccurrences checks the numbers of occurrences against the scenario's bounds.
func (c *invariantChecker) checkOccurrences() {
	scenario, occurrences := c.sim.scenario, c.sim.occurrences
	for _, what := range slices.Sorted(maps.Keys(scenario.AtLeast)) {
		if occurrences[what] < scenario.AtLeast[what] {
			c.reportf(invariantScenario, "%d %s, at least %d", occurrences[what], what, scenario.AtLeast[what])
		}
	}
	for _, what := range slices.Sorted(maps.Keys(scenario.AtMost)) {
		if occurrences[what] > scenario.AtMost[what] {
			c.reportf(invariantScenario, "%d %s, at most %d", occurrences[what], what, scenario.AtMost[what])
		}
	}
	c.sim.logf("occurrences: %v", occurrences)
}

// checkAnswered checks that no user of an accepted job was without an answer for longer than
// maxTimeUnanswered once all faults were over.
func (c *invariantChecker) checkAnswered() {
	for _, owner := range c.sim.users {
		since := max(owner.lastAnswerAt, c.sim.faultsOverAt, owner.submittedAt+firstAnswerAllowance)
		if owner.accepted && owner.finalState == "" && c.sim.now > since+maxTimeUnanswered {
			c.reportf(invariantLostJob, "%s: no query answered for %.0f s", owner.id, (c.sim.now - since).Seconds())
		}
	}
}

// checkExpectation checks that a job has the expected state and reached it in time. A job that
// is expected to be done may be cancelled because of a fault.
func (c *invariantChecker) checkExpectation(expectation Expectation, id string) {
	for _, owner := range c.sim.users {
		if owner.id != id || expectation.State == api.JobDone && owner.cancelledByFaultOrDependency() {
			continue
		}
		deadline := c.sim.startedAt + micros.FromSeconds(expectation.ByS)
		switch {
		case owner.lastState != expectation.State:
			c.reportf(invariantExpected, "%s: want %s, got %q", id, expectation.State, owner.lastState)
		case expectation.ByS > 0 && owner.finalAt > deadline:
			c.reportf(invariantExpected, "%s: want an end by %.0f s, got %.1f s",
				id, expectation.ByS, (owner.finalAt - c.sim.startedAt).Seconds())
		}
	}
}

// cancelledByFaultOrDependency reports whether a job is cancelled because a fault made its
// user, or the user of a dependency, cancel a job.
func (u *user) cancelledByFaultOrDependency() bool {
	byFault := func(other *user) bool { return other.cancelledByFault }
	return u.lastState == api.JobCancelled && (byFault(u) || u.anyDependency(byFault))
}
