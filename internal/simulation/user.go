package simulation

import (
	"net/http"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// answerTimeout is how long a user waits for an answer.
	answerTimeout = 5 * micros.Second
	// pollPeriod is how often a user asks about an unfinished job.
	pollPeriod = 5 * micros.Second
	// pollPeriodAfterEnd is how often it asks about a finished one, pollsAfterEndLimit how
	// many times altogether.
	pollPeriodAfterEnd = 10 * micros.Second
	pollsAfterEndLimit = 8
	// retryDelay is the least time before a request is sent again, retrySpread what is
	// drawn on top for a submission.
	retryDelay  = micros.Second
	retrySpread = micros.Second
	// dependencyCheckPeriod is how often a user checks whether it can submit a job with
	// dependencies.
	dependencyCheckPeriod = micros.Second / 5
)

// user stands in for the owner of one job.
type user struct {
	sim          *Simulation
	id           string // of the job
	body         []byte // of the submission
	job          Job
	dependencies []*user

	accepted         bool
	cancelRequested  bool
	cancelledByFault bool // a fault had the user cancel, not the scenario
	lastState        api.JobState
	finalState       api.JobState // terminal state that the user received; empty: none
	finalAt          micros.Micros
	submittedAt      micros.Micros
	lastAnswerAt     micros.Micros // when a question about the job was last answered
	pollsAfterEnd    int
	fitsSince        micros.Micros // since when the job waits though there is room for it
}

// addUsers adds the users of all jobs of the scenario.
func (s *Simulation) addUsers() {
	for _, job := range s.scenario.Jobs {
		for i := range max(1, job.Count) {
			at := s.startedAt + micros.FromSeconds(job.AtS+float64(i)*job.EveryS)
			s.addUser(job, job.ID+i, at)
		}
	}
}

// addUser adds the user of the job with a number, who submits it at an instant, or once
// its dependencies permit.
func (s *Simulation) addUser(job Job, number int, at micros.Micros) {
	spec := job.spec(number)
	job.Kind = spec.Kind
	owner := &user{sim: s, id: spec.ID, body: submission(spec), job: job}
	s.users = append(s.users, owner)
	s.usersByID[owner.id] = owner
	for _, id := range spec.Dependencies {
		owner.dependencies = append(owner.dependencies, s.usersByID[id])
	}
	s.schedule(at, owner.submitWhenPermitted)
	if job.CancelAtS > 0 {
		s.schedule(at+micros.FromSeconds(job.CancelAtS), owner.cancel)
	}
}

// submitWhenPermitted submits the job once its dependencies are accepted: they can't be
// named before. It waits for their ends if the scenario wants so.
func (u *user) submitWhenPermitted() {
	for _, dependency := range u.dependencies {
		if !dependency.accepted || u.job.SubmitAfterDependencies && dependency.finalState == "" {
			u.sim.after(dependencyCheckPeriod, u.submitWhenPermitted)
			return
		}
	}
	u.sim.jobs[u.id] = u.job
	u.submittedAt = u.sim.now
	u.submit()
}

// send sends a request to a node drawn at random; receive gets nil when no answer came in
// time.
func (u *user) send(input inputFor, receive func(*message.Answer)) {
	sim := u.sim
	node := sim.randomNode()
	answered := false
	settle := func(answer *message.Answer) {
		if !answered {
			answered = true
			receive(answer)
		}
	}
	sim.after(answerTimeout, func() { settle(nil) })
	if !node.reaches(linkUsers) {
		return
	}
	sim.after(sim.latency(), func() {
		if !node.up {
			return
		}
		sim.request(node, input, func(answer message.Answer) {
			sim.after(sim.latency(), func() { settle(&answer) })
		})
	})
}

// submit submits the job until it is accepted.
func (u *user) submit() {
	finalBefore := u.finalState // the answer to a repetition that overlaps the end may be older
	u.send(u.submitInput, func(answer *message.Answer) {
		u.sim.checker.submissionAnswered(u, answer, finalBefore)
		if answer == nil || answer.Status != http.StatusOK && answer.Status != http.StatusCreated {
			if answer == nil || answer.Status >= http.StatusTooManyRequests {
				u.sim.after(retryDelay+micros.Random(u.sim.rng, retrySpread), u.submit)
			}
			return
		}
		if !u.accepted {
			u.accepted = true
			u.queryAllNodes()
			u.sim.after(pollPeriod, u.poll)
			u.sim.maybeRepeat(u.submit)
		}
	})
}

// poll asks about the job now and then, until some time after its end.
func (u *user) poll() {
	finalBefore := u.finalState // the answer to a poll that overlaps the end may be older
	u.send(u.statusInput, func(answer *message.Answer) {
		if u.sim.faults.mutedJob == u.id {
			answer = nil
		}
		if finalBefore == u.finalState {
			u.sim.checker.pollAnswered(u, answer)
		}
		if u.finalState == "" {
			u.sim.after(pollPeriod, u.poll)
			return
		}
		// It may ask again at any later time, and a late copy of the submission may
		// arrive.
		if u.pollsAfterEnd++; u.pollsAfterEnd < pollsAfterEndLimit {
			u.sim.after(pollPeriodAfterEnd, u.poll)
			u.sim.after(retryDelay, u.submit)
		}
	})
}

// cancel cancels the job; it repeats the request until it is answered.
func (u *user) cancel() {
	u.cancelRequested = true
	acceptedBefore := u.accepted // an acceptance that overlaps the request may be newer
	u.send(u.cancelInput, func(answer *message.Answer) {
		if answer != nil && answer.Status == http.StatusOK {
			u.sim.checker.cancellationAnswered(u, stateIn(*answer))
			u.sim.maybeRepeat(u.cancel)
			return
		}
		if answer == nil || answer.Status != http.StatusNotFound || !acceptedBefore {
			u.sim.after(retryDelay, u.cancel)
			return
		}
		u.sim.checker.violated(invariantForgotten, u.id+" at its cancellation")
	})
}

// stateIn returns the job's state that an answer tells; empty: none.
func stateIn(answer message.Answer) api.JobState {
	status, _ := answer.Body.(api.JobStatus)
	return status.State
}

// submitInput makes the input that submits the job.
func (u *user) submitInput(requestID uint64) message.Input {
	return message.Submit{RequestID: requestID, Body: u.body}
}

// statusInput makes the input that asks about the job.
func (u *user) statusInput(requestID uint64) message.Input {
	return message.GetStatus{RequestID: requestID, ID: u.id}
}

// cancelInput makes the input that cancels the job.
func (u *user) cancelInput(requestID uint64) message.Input {
	return message.Cancel{RequestID: requestID, ID: u.id}
}

// anyDependency reports whether something holds of a direct or indirect dependency.
func (u *user) anyDependency(holds func(*user) bool) bool {
	return slices.ContainsFunc(u.dependencies, func(dependency *user) bool {
		return holds(dependency) || dependency.anyDependency(holds)
	})
}

// dependencyCancelled reports whether a dependency is cancelled, or may be: its cancellation
// was requested, and not answered with done.
func (u *user) dependencyCancelled() bool {
	return u.anyDependency(func(dependency *user) bool {
		return dependency.cancelRequested && dependency.finalState != api.JobDone
	})
}

// mustBeServed reports whether a job is to be served: accepted, without a mistake, and not
// cancelled.
func (u *user) mustBeServed() bool {
	return u.accepted && !u.cancelRequested && !u.job.AlwaysFails && !u.dependencyCancelled()
}
