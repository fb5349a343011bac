package simulation

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// maxQueryLatency bounds the delay of a query and of its answer. It is short, so that the
	// answers of different nodes can be compared.
	maxQueryLatency = 2 * micros.Millisecond
	// completionNoticeDelay is the time from the end of a job's last task until its user
	// expects to receive that the job is done.
	completionNoticeDelay = 3 * micros.Second
	// cancelAtEndSpread is the longest time from that end until a fault makes the user cancel
	// the job.
	cancelAtEndSpread = 3 * micros.Second
)

// queryDelays are the times at which all nodes are queried after the state of a job changed for
// its user.
var queryDelays = []micros.Micros{0, 2 * micros.Millisecond, 20 * micros.Millisecond, 250 * micros.Millisecond}

// queryCallback receives the answer to a query, and what the user knew when it sent the query:
// whether the job was accepted, and its terminal state if any.
type queryCallback func(answer message.Answer, acceptedBefore bool, finalBefore api.JobState)

// query sends a request to a node within maxQueryLatency, without a timeout or a retry.
func (u *user) query(node *node, build inputBuilder, receive queryCallback) {
	sim := u.sim
	if !node.reaches(linkUsers) {
		return
	}
	accepted, final := u.accepted, u.finalState
	sim.after(micros.Random(sim.rng, maxQueryLatency), func() {
		if !node.up {
			return
		}
		sim.request(node, build, func(answer message.Answer) {
			sim.after(micros.Random(sim.rng, maxQueryLatency), func() { receive(answer, accepted, final) })
		})
	})
}

// queryAllNodes queries the job and repeats its submission at all nodes, at each of queryDelays
// from now, while a fault of query bursts lasts.
func (u *user) queryAllNodes() {
	sim := u.sim
	if sim.now >= sim.faults.queryBurstsUntil {
		return
	}
	for _, delay := range queryDelays {
		for _, node := range sim.nodes {
			sim.after(delay, func() {
				sim.countOccurrence(occurredBurstQuery)
				u.query(node, u.statusInput, sim.checker.checkQuery(u))
				u.query(node, u.submitInput, sim.checker.checkQuery(u))
			})
		}
	}
}

// afterCompletion handles the completion of a task of a job. If that completes the job, the user
// queries it after completionNoticeDelay. A fault may make the user cancel the job at that
// moment, or while controllers still record its end.
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
	if owner.finalState == "" && s.faults.cancelAtEnd.applies(s) {
		s.countOccurrence(occurredCancelAtEnd)
		owner.cancelledByFault = true
		atOnceOrLater := micros.Micros(s.rng.Int64N(coinFlipOutcomes))
		s.after(atOnceOrLater*micros.Random(s.rng, cancelAtEndSpread), owner.cancel)
	}
}
