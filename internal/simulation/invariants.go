package simulation

import (
	"fmt"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// invariant is the name of a guarantee of PROTOCOL, or of an expectation of the scenario.
// Scenario files with a deliberate violation name the invariant that it must break.
type invariant string

// Invariants of tasks.
const (
	invariantDoubleRun              invariant = "ran_twice"       // a task runs on at most one machine at a time
	invariantEarlyStart             invariant = "too_early"       // no task starts before its job's dependencies are done
	invariantCancelledJobRuns       invariant = "ran_cancelled"   // no task runs past cancel_s after a confirmed cancellation
	invariantPlacement              invariant = "wrong_place"     // tasks run only on machines and in zones that their job permits
	invariantQuota                  invariant = "quota"           // a team uses no more GPUs than its limit
	invariantStartAfterCancellation invariant = "start_told_late" // no start is sent long after a confirmed cancellation
	invariantNotDone                invariant = "not_done"        // a job is reported done only when all its tasks are
	invariantStarved                invariant = "starved"         // no job waits long while there is room for it
	invariantLargestJobLate         invariant = "late"            // the largest jobs start in time
	invariantUnserved               invariant = "unserved"        // at least half of each group of jobs is served
	invariantNothingRan             invariant = "nothing_ran"     // at least one task is started
)

// Invariants of answers.
const (
	invariantLostJob        invariant = "forgotten"      // an accepted job stays known, and queries about it are answered
	invariantStaleAnswer    invariant = "went_back"      // no answer reports an older state than an earlier one
	invariantOrphaned       invariant = "orphaned"       // dependants of a cancelled job are reported as cancelled in time
	invariantHeartbeatSize  invariant = "report_size"    // a worker's heartbeat fits into a request
	invariantNewestRefused  invariant = "newest_refused" // a worker's newest heartbeat is not refused as outdated
	invariantInvalidRequest invariant = "bad_input"      // invalid requests are refused with the right status
)

// Invariants of orders, and of the use of services.
const (
	invariantStaleOrder       invariant = "stale_order"       // no order takes effect under an older term than an earlier one
	invariantUnrecordedLaunch invariant = "unrecorded_rental" // a launch is recorded before it is requested
	invariantStoreLimits      invariant = "store_limits"      // transactions keep within the store's limits
	invariantBudget           invariant = "budget"            // the run uses no more than the scenario permits
)

// Expectations of the scenario.
const (
	invariantScenario invariant = "scenario" // the scenario is valid, and what it demands occurs
	invariantExpected invariant = "expected" // jobs end as the scenario expects
	invariantBoot     invariant = "boot"     // controllers start
)

// maxViolations limits the number of reported violations, as one fault may cause thousands.
const maxViolations = 50

// resourceTolerance absorbs rounding errors in sums of CPUs and GPUs.
const resourceTolerance = 1e-9

// invariantChecker verifies the invariants from outside the controllers: by what the workers
// do and what the users receive.
type invariantChecker struct {
	sim        *Simulation
	violations []string // "invariant: details"

	startCount     int
	activeAttempts map[string][]*workerTask  // task → its attempts that are active on machines
	firstStart     map[string]micros.Micros  // job → when its first task was started
	gpusInUse      map[string]float64        // team → GPUs of its active tasks
	tasksInZone    map[string]map[string]int // job → zone → number of active tasks

	cancelledAt map[string]micros.Micros // job → when its cancellation was confirmed to its user
	endedAt     map[string]micros.Micros // job → when its user first received a terminal state
}

func newInvariantChecker(sim *Simulation) *invariantChecker {
	return &invariantChecker{
		sim:            sim,
		activeAttempts: map[string][]*workerTask{},
		firstStart:     map[string]micros.Micros{},
		gpusInUse:      map[string]float64{},
		tasksInZone:    map[string]map[string]int{},
		cancelledAt:    map[string]micros.Micros{},
		endedAt:        map[string]micros.Micros{},
	}
}

// report records and logs a violation, up to maxViolations.
func (c *invariantChecker) report(broken invariant, details string) {
	if len(c.violations) < maxViolations {
		c.sim.logf("VIOLATION %s %s", broken, details)
		c.violations = append(c.violations, string(broken)+": "+details)
	}
}

// reportf is like report, but formats the details.
func (c *invariantChecker) reportf(broken invariant, format string, args ...any) {
	c.report(broken, fmt.Sprintf(format, args...))
}

// cancelTimeout returns how long a job's tasks may still run after its cancellation was
// confirmed.
func (c *invariantChecker) cancelTimeout() micros.Micros {
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

// cancelTimeoutPassed reports whether a job's cancellation was confirmed more than cancel_s ago.
func (c *invariantChecker) cancelTimeoutPassed(owner *user) bool {
	at, ok := c.cancelledAt[owner.id]
	return ok && c.sim.now > at+c.cancelTimeout()
}

// teamLimit returns the maximum number of GPUs that a team may use, and whether it has a limit.
func (c *invariantChecker) teamLimit(name string) (float64, bool) {
	for _, team := range c.sim.scenario.Teams {
		if team.Name == name && team.GPUsMax > 0 {
			return team.GPUsMax, true
		}
	}
	return 0, false
}

// isTerminal reports whether a state is terminal: a job never leaves it.
func isTerminal(state api.JobState) bool { return state == api.JobDone || state == api.JobCancelled }
