package simulation

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// answeredWithin is for how long, once all faults are over, an accepted job's user may
	// get no answer; firstAnswerAllowance is added after its submission.
	answeredWithin       = 75 * micros.Second
	firstAnswerAllowance = 5 * micros.Second
)

// checkAtEnd checks what is known only at the end, and what the scenario expects.
func (c *invariantChecker) checkAtEnd() {
	if c.startCount == 0 {
		c.violated(invariantNothingRan, "no task was started")
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

// checkBudgets checks how much was asked of the services and how many machines there were.
func (c *invariantChecker) checkBudgets() {
	scenario, store := c.sim.scenario, c.sim.store
	for _, budget := range []struct {
		what        string
		used, limit int // limit zero: none
	}{
		{"changes", store.writes.admitted, scenario.MaxWrites},
		{"requests to the store", store.requests.admitted, scenario.MaxStoreRequests},
		{"calls of the cloud", c.sim.cloud.calls, scenario.MaxCloudCalls},
		{"machines launched", len(c.sim.workers), scenario.MaxLaunched},
		{"requests waiting at a controller at a time", c.sim.peakWaiting, scenario.MaxWaiting},
		{"direct commands out at a time", c.sim.peakCommandsInFlight, scenario.MaxCommandsInFlight},
	} {
		c.logBudget(budget.used, budget.what)
		if budget.limit > 0 && budget.used > budget.limit {
			c.violatedf(invariantBudget, "%d %s, at most %d", budget.used, budget.what, budget.limit)
		}
	}
	const tooFew = "machines at a time, too few for the scenario"
	missing := scenario.MinMachines - c.sim.peakMachines
	c.logBudget(missing, tooFew)
	if missing > 0 {
		c.violatedf(invariantBudget, "%d %s, at most %d", missing, tooFew, 0)
	}
}

// logBudget logs how much was used, beside what the store refused.
func (c *invariantChecker) logBudget(used int, what string) {
	store := c.sim.store
	c.sim.logf("%d %s, %d and %d of the store refused", used, what, store.requests.refused, store.writes.refused)
}

// checkOccurrences checks how often what the scenario names was brought about.
func (c *invariantChecker) checkOccurrences() {
	scenario, occurrences := c.sim.scenario, c.sim.occurrences
	for _, what := range slices.Sorted(maps.Keys(scenario.AtLeast)) {
		if occurrences[what] < scenario.AtLeast[what] {
			c.violatedf(invariantScenario, "%d %s, at least %d", occurrences[what], what, scenario.AtLeast[what])
		}
	}
	for _, what := range slices.Sorted(maps.Keys(scenario.AtMost)) {
		if occurrences[what] > scenario.AtMost[what] {
			c.violatedf(invariantScenario, "%d %s, at most %d", occurrences[what], what, scenario.AtMost[what])
		}
	}
	c.sim.logf("brought about: %v", occurrences)
}

// checkAnswered checks that once all faults were over, no accepted job's user went without
// an answer for long.
func (c *invariantChecker) checkAnswered() {
	for _, owner := range c.sim.users {
		since := max(owner.lastAnswerAt, c.sim.faultsOverAt, owner.submittedAt+firstAnswerAllowance)
		if owner.accepted && owner.finalState == "" && c.sim.now > since+answeredWithin {
			c.violatedf(invariantForgotten, "%s: no question answered for %.0f s", owner.id, (c.sim.now - since).Seconds())
		}
	}
}

// checkExpectation checks what became of one job, and when.
func (c *invariantChecker) checkExpectation(expectation Expectation, id string) {
	for _, owner := range c.sim.users {
		if owner.id != id || expectation.State == api.JobDone && owner.cancelledByFaultOrDependency() {
			continue
		}
		deadline := c.sim.startedAt + micros.FromSeconds(expectation.ByS)
		switch {
		case owner.lastState != expectation.State:
			c.violatedf(invariantExpected, "%s %s, is %q", id, expectation.State, owner.lastState)
		case expectation.ByS > 0 && owner.finalAt > deadline:
			c.violatedf(invariantExpected, "%s by %.0f s, came at %.1f",
				id, expectation.ByS, (owner.finalAt - c.sim.startedAt).Seconds())
		}
	}
}

// cancelledByFaultOrDependency reports whether a job is cancelled because a fault had its
// user, or the user of a dependency, cancel it.
func (u *user) cancelledByFaultOrDependency() bool {
	byFault := func(other *user) bool { return other.cancelledByFault }
	return u.lastState == api.JobCancelled && (byFault(u) || u.anyDependency(byFault))
}
