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
	// pollPeriod is the time between polls of an unfinished job.
	pollPeriod = 5 * micros.Second
	// pollPeriodAfterEnd is the time between polls of a finished job, and maxPollsAfterEnd
	// limits their number.
	pollPeriodAfterEnd = 10 * micros.Second
	maxPollsAfterEnd   = 8
	// retryDelay is the shortest time until a request is sent again. For a submission a
	// random delay of up to retrySpread is added.
	retryDelay  = micros.Second
	retrySpread = micros.Second
	// dependencyCheckPeriod is the time between a user's checks whether it can submit a job
	// with dependencies.
	dependencyCheckPeriod = micros.Second / 5
)

// user simulates the owner of one job.
type user struct {
	sim          *Simulation
	id           string // of the job
	body         []byte // of the submission
	job          Job
	dependencies []*user

	accepted         bool
	cancelRequested  bool
	cancelledByFault bool // a fault made the user cancel, not the scenario
	lastState        api.JobState
	finalState       api.JobState // first terminal state that the user received; empty: none
	finalAt          micros.Micros
	submittedAt      micros.Micros
	lastAnswerAt     micros.Micros // when a poll of the job was last answered
	pollsAfterEnd    int
	startableSince   micros.Micros // since when the job could start; zero: it can't
}

// addUsers adds one user for each job of the scenario.
func (s *Simulation) addUsers() {
	for _, job := range s.scenario.Jobs {
		for i := range max(1, job.Count) {
			at := s.startedAt + micros.FromSeconds(job.AtS+float64(i)*job.EveryS)
			s.addUser(job, job.ID+i, at)
		}
	}
}

// addUser adds the user of the job with this number. The user submits the job at the given time,
// or later, once its dependencies permit it.
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

// submitWhenPermitted submits the job once its dependencies are accepted, as a submission can't
// name them earlier. It waits until they have ended if the scenario demands it.
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

// send sends a request to a random node. receive is called once: with the answer, or with nil if
// none arrived within answerTimeout.
func (u *user) send(build inputBuilder, receive func(*message.Answer)) {
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
		sim.request(node, build, func(answer message.Answer) {
			sim.after(sim.latency(), func() { settle(&answer) })
		})
	})
}

// submit submits the job. It repeats the submission until an answer accepts or rejects it.
func (u *user) submit() {
	finalBefore := u.finalState // the answer to a repetition that overlaps the job's end may be older
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

// poll queries the state of the job periodically, until some time after its end.
func (u *user) poll() {
	finalBefore := u.finalState // the answer to a poll that overlaps the job's end may be older
	u.send(u.statusInput, func(answer *message.Answer) {
		if u.sim.faults.unansweredJob == u.id {
			answer = nil
		}
		if finalBefore == u.finalState {
			u.sim.checker.pollAnswered(u, answer)
		}
		if u.finalState == "" {
			u.sim.after(pollPeriod, u.poll)
			return
		}
		// Users may poll at any time after the end, and a late copy of the submission may
		// arrive.
		if u.pollsAfterEnd++; u.pollsAfterEnd < maxPollsAfterEnd {
			u.sim.after(pollPeriodAfterEnd, u.poll)
			u.sim.after(retryDelay, u.submit)
		}
	})
}

// cancel cancels the job. It repeats the request until it is answered.
func (u *user) cancel() {
	u.cancelRequested = true
	acceptedBefore := u.accepted // the job may be accepted after the request was sent
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
		u.sim.checker.report(invariantLostJob, u.id+" at its cancellation")
	})
}

// stateIn returns the job state in an answer, or an empty one if it has none.
func stateIn(answer message.Answer) api.JobState {
	status, _ := answer.Body.(api.JobStatus)
	return status.State
}

// submitInput returns the input that submits the job.
func (u *user) submitInput(requestID uint64) message.Input {
	return message.Submit{RequestID: requestID, Body: u.body}
}

// statusInput returns the input that queries the state of the job.
func (u *user) statusInput(requestID uint64) message.Input {
	return message.GetStatus{RequestID: requestID, ID: u.id}
}

// cancelInput returns the input that cancels the job.
func (u *user) cancelInput(requestID uint64) message.Input {
	return message.Cancel{RequestID: requestID, ID: u.id}
}

// anyDependency reports whether a predicate holds for any direct or indirect dependency.
func (u *user) anyDependency(holds func(*user) bool) bool {
	return slices.ContainsFunc(u.dependencies, func(dependency *user) bool {
		return holds(dependency) || dependency.anyDependency(holds)
	})
}

// dependencyCancelled reports whether a dependency is or may be cancelled: its cancellation was
// requested, and its user has not received that it is done.
func (u *user) dependencyCancelled() bool {
	return u.anyDependency(func(dependency *user) bool {
		return dependency.cancelRequested && dependency.finalState != api.JobDone
	})
}

// requiresService reports whether the controllers must serve the job: it is accepted, its user has
// not requested its cancellation, its tasks don't always fail, and no dependency is or may be
// cancelled.
func (u *user) requiresService() bool {
	return u.accepted && !u.cancelRequested && !u.job.AlwaysFails && !u.dependencyCancelled()
}
