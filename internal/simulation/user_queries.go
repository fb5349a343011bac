package simulation

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// queryLatency bounds the delay of a query and of its answer: both arrive at once, so
	// that answers of different nodes can be compared.
	queryLatency = 2 * micros.Millisecond
	// completionNoticeDelay is how long after the last task's end a user may expect to
	// receive that its job is done.
	completionNoticeDelay = 3 * micros.Second
	// cancelAtEndDelay is within which time after that end a fault has the job cancelled.
	cancelAtEndDelay = 3 * micros.Second
)

// queryDelays are the times after news at which all nodes are queried.
var queryDelays = []micros.Micros{0, 2 * micros.Millisecond, 20 * micros.Millisecond, 250 * micros.Millisecond}

// receiveQuery gets the answer to a query, with what the user knew when it sent the query.
type receiveQuery func(answer message.Answer, acceptedBefore bool, finalBefore api.JobState)

// query puts a question to one node, at once.
func (u *user) query(node *node, input inputFor, receive receiveQuery) {
	sim := u.sim
	if !node.reaches(linkUsers) {
		return
	}
	accepted, final := u.accepted, u.finalState
	sim.after(micros.Random(sim.rng, queryLatency), func() {
		if !node.up {
			return
		}
		sim.request(node, input, func(answer message.Answer) {
			sim.after(micros.Random(sim.rng, queryLatency), func() { receive(answer, accepted, final) })
		})
	})
}

// queryAllNodes asks about a job at all nodes within milliseconds after its user received
// news of it, and repeats its submission.
func (u *user) queryAllNodes() {
	sim := u.sim
	if sim.now >= sim.faults.closeQueriesUntil {
		return
	}
	for _, delay := range queryDelays {
		for _, node := range sim.nodes {
			sim.after(delay, func() {
				sim.countOccurrence(occurredCloseQuery)
				u.query(node, u.statusInput, sim.checker.checkQuery(u))
				u.query(node, u.submitInput, sim.checker.checkQuery(u))
			})
		}
	}
}

// afterCompletion is called when a task has completed. If its job has too, the user soon
// expects to receive that; a fault may have the user cancel the job at that very moment, or
// while its end is being recorded.
func (s *Simulation) afterCompletion(job string) {
	owner := s.usersByID[job]
	if owner == nil || owner.cancelRequested || !s.checker.completed(owner) {
		return
	}
	s.after(completionNoticeDelay, func() {
		owner.query(s.randomNode(), owner.statusInput, func(answer message.Answer, _ bool, _ api.JobState) {
			status, ok := answer.Body.(api.JobStatus)
			if ok && !owner.cancelRequested && status.State != api.JobDone {
				s.countOccurrence(occurredLateEnd)
			}
		})
	})
	if owner.finalState == "" && s.faults.cancelAtEnd.befalls(s) {
		s.countOccurrence(occurredCancelAtEnd)
		owner.cancelledByFault = true
		atOnceOrLater := micros.Micros(s.rng.Int64N(eitherOr))
		s.after(atOnceOrLater*micros.Random(s.rng, cancelAtEndDelay), owner.cancel)
	}
}
