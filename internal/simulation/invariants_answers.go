package simulation

import (
	"net/http"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// submissionAnswered checks the answer to a submission or to its repetition. finalBefore is
// the terminal state that the user knew when it sent the request, if any. The answer is nil
// if none arrived.
func (c *invariantChecker) submissionAnswered(owner *user, answer *message.Answer, finalBefore api.JobState) {
	if answer == nil {
		return
	}
	if owner.accepted && (answer.Status == http.StatusBadRequest || answer.Status == http.StatusUnprocessableEntity) {
		c.reportf(invariantLostJob, "%s submitted again: %d", owner.id, answer.Status)
	}
	if status, ok := answer.Body.(api.JobStatus); ok && finalBefore == owner.finalState {
		c.stateReported(owner, status.State)
	}
}

// pollAnswered checks the answer to a poll of an accepted job. The answer is nil if none
// arrived.
func (c *invariantChecker) pollAnswered(owner *user, answer *message.Answer) {
	if answer == nil {
		return
	}
	if answer.Status == http.StatusNotFound {
		c.report(invariantLostJob, owner.id+" answered 404")
	}
	if status, ok := answer.Body.(api.JobStatus); ok && answer.Status == http.StatusOK {
		owner.lastAnswerAt = c.sim.now
		c.stateReported(owner, status.State)
	}
}

// cancellationAnswered checks the state in the answer to a cancellation. If the job is
// cancelled, it schedules the check that none of its tasks runs after cancel_s.
func (c *invariantChecker) cancellationAnswered(owner *user, state api.JobState) {
	if !isTerminal(state) {
		c.report(invariantStaleAnswer, owner.id+" cancelled, answered with "+string(state))
	}
	c.stateReported(owner, state)
	if state != api.JobCancelled {
		return
	}
	if _, ok := c.cancelledAt[owner.id]; ok {
		return
	}
	c.cancelledAt[owner.id] = c.sim.now
	leader := c.sim.leaderOf(c.sim.scenario.partitionOf(owner))
	if leader != nil && leader.receivesNoChanges() {
		c.sim.countOccurrence(occurredUnseenCancellation)
	}
	c.sim.after(c.cancelTimeout(), func() { c.checkNothingRuns(owner) })
}

// receivesNoChanges reports whether a node receives no changes from the store.
func (n *node) receivesNoChanges() bool {
	return n.refusedByStore || n.watchStalled || n.cutLinks[linkStore] || n.cutLinks[linkAll]
}

// checkNothingRuns checks that no task of a job is active on a machine.
func (c *invariantChecker) checkNothingRuns(owner *user) {
	for index := range max(1, owner.job.Tasks) {
		id := taskID(owner.id, index)
		if attempts := c.activeAttempts[id]; len(attempts) > 0 {
			c.report(invariantCancelledJobRuns, id+" is still on "+attempts[0].worker.name)
		}
	}
}

// stateReported checks a state that a user receives, and records it as the user's last state.
func (c *invariantChecker) stateReported(owner *user, state api.JobState) {
	if state == api.JobCancelled && !owner.cancelRequested && !owner.dependencyCancelled() {
		c.report(invariantStaleAnswer, owner.id+" is reported cancelled, but its user did not request it")
	}
	unfinished := state == api.JobPending || state == api.JobRunning
	if unfinished && owner.anyDependency(c.cancelTimeoutPassed) {
		c.report(invariantOrphaned, owner.id+" is reported "+string(state))
	}
	if owner.finalState != "" && state != owner.finalState {
		c.report(invariantStaleAnswer, owner.id+" was "+string(owner.finalState)+", now "+string(state))
	}
	if state == api.JobDone {
		c.checkDone(owner)
	}
	if isTerminal(state) && owner.finalState == "" {
		owner.finalState, owner.finalAt = state, c.sim.now
		c.endedAt[owner.id] = c.sim.now
		owner.queryAllNodes()
	}
	owner.lastState = state
}

// checkDone checks that all tasks of a job that is reported done have completed.
func (c *invariantChecker) checkDone(owner *user) {
	for index := range max(1, owner.job.Tasks) {
		if id := taskID(owner.id, index); !c.sim.completedTasks[id] {
			c.report(invariantNotDone, id)
		}
	}
}

// checkQuery returns a callback that checks the answer to a query: it must not report an older
// state than the user knew when it sent the query.
func (c *invariantChecker) checkQuery(owner *user) queryCallback {
	unknownStatuses := []int{http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity}
	return func(answer message.Answer, acceptedBefore bool, finalBefore api.JobState) {
		status, ok := answer.Body.(api.JobStatus)
		switch {
		case acceptedBefore && slices.Contains(unknownStatuses, answer.Status):
			c.reportf(invariantLostJob, "%s is answered %d", owner.id, answer.Status)
		case ok && finalBefore != "" && status.State != finalBefore:
			c.reportf(invariantStaleAnswer, "%s was %s when asked about, now %s", owner.id, finalBefore, status.State)
		}
	}
}

// checkRefused checks that a request that can't be granted is refused with the wanted status.
// The statuses 429 and 503 are right too: a controller may be unable to serve any request.
func (c *invariantChecker) checkRefused(request string, answer message.Answer, want int) {
	switch answer.Status {
	case want, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		c.reportf(invariantInvalidRequest, "%s is answered %d, not %d", request, answer.Status, want)
	}
}
