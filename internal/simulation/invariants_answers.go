package simulation

import (
	"net/http"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// submissionAnswered checks the answer to a submission, or to its repetition by a user who
// knew this terminal state when it sent the request. A nil answer is none.
func (c *invariantChecker) submissionAnswered(owner *user, answer *message.Answer, finalBefore api.JobState) {
	if answer == nil {
		return
	}
	if owner.accepted && (answer.Status == http.StatusBadRequest || answer.Status == http.StatusUnprocessableEntity) {
		c.violatedf(invariantForgotten, "%s submitted again: %d", owner.id, answer.Status)
	}
	if status, ok := answer.Body.(api.JobStatus); ok && finalBefore == owner.finalState {
		c.stateReported(owner, status.State)
	}
}

// pollAnswered checks the answer to a question about an accepted job. A nil answer is none.
func (c *invariantChecker) pollAnswered(owner *user, answer *message.Answer) {
	if answer == nil {
		return
	}
	if answer.Status == http.StatusNotFound {
		c.violated(invariantForgotten, owner.id+" answered 404")
	}
	if status, ok := answer.Body.(api.JobStatus); ok && answer.Status == http.StatusOK {
		owner.lastAnswerAt = c.sim.now
		c.stateReported(owner, status.State)
	}
}

// cancellationAnswered checks the state that a cancellation is answered with. If it is
// cancelled, nothing of the job may run past cancel_s.
func (c *invariantChecker) cancellationAnswered(owner *user, state api.JobState) {
	if !isTerminal(state) {
		c.violated(invariantWentBack, owner.id+" cancelled, told "+string(state))
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
	if leader != nil && leader.missesChanges() {
		c.sim.countOccurrence(occurredUnseenCancellation)
	}
	c.sim.after(c.cancelSpan(), func() { c.checkNothingRuns(owner) })
}

// missesChanges reports whether changes at the store do not reach a node.
func (n *node) missesChanges() bool {
	return n.refusedByStore || n.watchStalled || n.cutLinks[linkStore] || n.cutLinks[linkAll]
}

// checkNothingRuns checks that no task of a job is on a machine.
func (c *invariantChecker) checkNothingRuns(owner *user) {
	for index := range max(1, owner.job.Tasks) {
		id := taskID(owner.id, index)
		if attempts := c.running[id]; len(attempts) > 0 {
			c.violated(invariantRanCancelled, id+" is still on "+attempts[0].worker.name)
		}
	}
}

// stateReported checks a state that a user receives.
func (c *invariantChecker) stateReported(owner *user, state api.JobState) {
	if state == api.JobCancelled && !owner.cancelRequested && !owner.dependencyCancelled() {
		c.violated(invariantWentBack, owner.id+" called cancelled though its user did not ask")
	}
	unfinished := state == api.JobPending || state == api.JobRunning
	if unfinished && owner.anyDependency(c.longCancelled) {
		c.violated(invariantOrphaned, owner.id+" is called "+string(state))
	}
	if owner.finalState != "" && state != owner.finalState {
		c.violated(invariantWentBack, owner.id+" was "+string(owner.finalState)+", now "+string(state))
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

// checkDone checks that all tasks of a job have completed that is called done.
func (c *invariantChecker) checkDone(owner *user) {
	for index := range max(1, owner.job.Tasks) {
		if id := taskID(owner.id, index); !c.sim.completedTasks[id] {
			c.violated(invariantNotDone, id)
		}
	}
}

// checkQuery returns a check of the answer to a query: it is no older than what the user
// knew when it sent the query.
func (c *invariantChecker) checkQuery(owner *user) receiveQuery {
	forgotten := []int{http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity}
	return func(answer message.Answer, acceptedBefore bool, finalBefore api.JobState) {
		status, ok := answer.Body.(api.JobStatus)
		switch {
		case acceptedBefore && slices.Contains(forgotten, answer.Status):
			c.violatedf(invariantForgotten, "%s is answered %d", owner.id, answer.Status)
		case ok && finalBefore != "" && status.State != finalBefore:
			c.violatedf(invariantWentBack, "%s was %s when asked about, now %s", owner.id, finalBefore, status.State)
		}
	}
}

// checkRefused checks the answer to a request that can't be granted. A controller that can
// grant nothing at all may say so instead.
func (c *invariantChecker) checkRefused(request string, answer message.Answer, want int) {
	switch answer.Status {
	case want, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		c.violatedf(invariantBadInput, "%s is answered %d, not %d", request, answer.Status, want)
	}
}
