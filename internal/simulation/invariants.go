package simulation

import (
	"fmt"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// invariant names a guarantee of PROTOCOL, or an expectation of the scenario. Scenario
// files with a deliberate violation name the one that is to be violated.
type invariant string

// Invariants of tasks.
const (
	invariantRanTwice      invariant = "ran_twice"       // a task runs on one machine at a time
	invariantTooEarly      invariant = "too_early"       // no task starts before its job's dependencies are done
	invariantRanCancelled  invariant = "ran_cancelled"   // no task runs past cancel_s after a cancellation was confirmed
	invariantWrongPlace    invariant = "wrong_place"     // tasks run where their job permits
	invariantQuota         invariant = "quota"           // a team stays within its limit
	invariantLateStartSent invariant = "start_told_late" // no start is sent long after a cancellation was confirmed
	invariantNotDone       invariant = "not_done"        // a job is done when all its tasks are
	invariantStarved       invariant = "starved"         // no job waits long beside room for it
	invariantLate          invariant = "late"            // the largest jobs begin in time
	invariantUnserved      invariant = "unserved"        // half of each group of jobs is served
	invariantNothingRan    invariant = "nothing_ran"     // a scenario starts tasks
)

// Invariants of answers.
const (
	invariantForgotten invariant = "forgotten" // an accepted job stays known, and questions about it are answered
	invariantWentBack  invariant = "went_back" // no answer is older than one given before
	invariantOrphaned  invariant = "orphaned"  // dependants of a cancelled job are reported cancelled in time
	invariantBadInput  invariant = "bad_input" // what can't be granted is refused with the right status
)

// Invariants of orders, and of the use of services.
const (
	invariantStaleOrder       invariant = "stale_order"       // orders take effect under one term after the other
	invariantUnrecordedLaunch invariant = "unrecorded_rental" // a launch is recorded before it is requested
	invariantStoreLimits      invariant = "store_limits"      // transactions keep the store's limits
	invariantBudget           invariant = "budget"            // no more is used than the scenario permits
)

// Expectations of the scenario.
const (
	invariantScenario invariant = "scenario" // it is valid, and brings about what it must
	invariantExpected invariant = "expected" // jobs end as it expects
	invariantBoot     invariant = "boot"     // controllers start
)

// violationLimit is how many violations are noted: one fault may cause thousands.
const violationLimit = 50

// resourceTolerance absorbs the rounding of sums of CPUs and GPUs.
const resourceTolerance = 1e-9

// invariantChecker watches the invariants from outside the controllers: by what the
// workers do and what the users receive.
type invariantChecker struct {
	sim        *Simulation
	violations []string // "invariant: details"

	startCount  int
	running     map[string][]*workerTask  // task → its attempts that are on machines
	firstStart  map[string]micros.Micros  // job → its first start
	gpusInUse   map[string]float64        // team → GPUs
	tasksInZone map[string]map[string]int // job → zone → tasks

	cancelledAt map[string]micros.Micros // job → when its user received that it is cancelled
	endedAt     map[string]micros.Micros // job → when its user received a terminal state
}

func newInvariantChecker(sim *Simulation) *invariantChecker {
	return &invariantChecker{
		sim:         sim,
		running:     map[string][]*workerTask{},
		firstStart:  map[string]micros.Micros{},
		gpusInUse:   map[string]float64{},
		tasksInZone: map[string]map[string]int{},
		cancelledAt: map[string]micros.Micros{},
		endedAt:     map[string]micros.Micros{},
	}
}

// violated notes a violation.
func (c *invariantChecker) violated(which invariant, details string) {
	if len(c.violations) < violationLimit {
		c.sim.logf("BROKEN %s %s", which, details)
		c.violations = append(c.violations, string(which)+": "+details)
	}
}

// violatedf notes a violation with formatted details.
func (c *invariantChecker) violatedf(which invariant, format string, args ...any) {
	c.violated(which, fmt.Sprintf(format, args...))
}

// cancelSpan is within which time after a confirmed cancellation nothing of it may run.
func (c *invariantChecker) cancelSpan() micros.Micros {
	return micros.FromSeconds(c.sim.scenario.CancelS)
}

// completed reports whether all tasks of a job have completed.
func (c *invariantChecker) completed(owner *user) bool {
	for index := range max(1, owner.job.Tasks) {
		if !c.sim.completedTasks[taskID(owner.id, index)] {
			return false
		}
	}
	return true
}

// longCancelled reports whether a job's cancellation was confirmed more than cancel_s ago.
func (c *invariantChecker) longCancelled(owner *user) bool {
	at, ok := c.cancelledAt[owner.id]
	return ok && c.sim.now > at+c.cancelSpan()
}

// teamLimit returns the most GPUs that a team may use, and whether it has a limit.
func (c *invariantChecker) teamLimit(name string) (float64, bool) {
	for _, team := range c.sim.scenario.Teams {
		if team.Name == name && team.GPUsMax > 0 {
			return team.GPUsMax, true
		}
	}
	return 0, false
}

// isTerminal reports whether a state is a job's last.
func isTerminal(state api.JobState) bool { return state == api.JobDone || state == api.JobCancelled }
