package simulation

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// user stands in for the owner of one job.
type user struct {
	sim         *Simulation
	id        string
	body      []byte
	job       Job
	dependencies     []*user
	accepted  bool
	finalState     api.JobState
	finalAt   micros.Micros
	lastState      api.JobState
	cancelRequested     bool // to cancel
	cancelledByFault bool // by a trouble, not by the scenario
	pollsAfterEnd     int
	submittedAt      micros.Micros
	fitsSince micros.Micros // since when it waits though there is room for it
	lastAnswerAt     micros.Micros // when a question about it was last answered
}

func (w *Simulation) addUser(j Job, n int, at micros.Micros) {
	spec := j.spec(n)
	j.Kind = spec.Kind
	u := &user{sim: w, id: spec.ID, body: submission(spec), job: j}
	w.users = append(w.users, u)
	w.usersByID[u.id] = u
	for _, id := range spec.Dependencies {
		u.dependencies = append(u.dependencies, w.usersByID[id])
	}
	var begin func()
	begin = func() {
		for _, o := range u.dependencies {
			if !o.accepted || j.SubmitAfterDependencies && o.finalState == "" {
				w.after(micros.Second/5, begin) // named only once accepted
				return
			}
		}
		w.jobs[u.id] = j
		u.submittedAt = w.now
		u.submit()
	}
	w.schedule(at, begin)
	if j.CancelAtS > 0 {
		w.schedule(at+micros.FromSeconds(j.CancelAtS), u.cancel)
	}
}

// send sends a request to some node that is up; f gets nil when no answer
// came in time.
func (u *user) send(in func(req uint64) message.Input, f func(*message.Answer)) {
	w := u.sim
	n := w.nodes[w.rng.IntN(3)]
	answered := false
	w.after(5*micros.Second, func() {
		if !answered {
			answered = true
			f(nil)
		}
	})
	if !n.up || n.cutLinks["all"] || n.cutLinks["users"] {
		return
	}
	w.after(w.latency(), func() {
		if n.up {
			w.request(n, in, func(a message.Answer) {
				w.after(w.latency(), func() {
					if !answered {
						answered = true
						f(&a)
					}
				})
			})
		}
	})
}

func (u *user) submit() {
	final := u.finalState // an answer to a repetition that overlaps the news may be older
	u.send(func(req uint64) message.Input { return message.Submit{RequestID: req, Body: u.body} }, func(a *message.Answer) {
		u.sim.checker.submissionAnswered(u, a, final)
		if a == nil || a.Status != 200 && a.Status != 201 {
			if a == nil || a.Status >= 429 {
				u.sim.after(micros.Second+micros.Random(u.sim.rng, micros.Second), u.submit)
			}
			return
		}
		if !u.accepted {
			u.accepted = true
			u.queryAllNodes()
			u.sim.after(5*micros.Second, u.poll)
			u.sim.maybeRepeat(u.submit)
		}
	})
}

func (u *user) poll() {
	final := u.finalState // an answer to a poll that overlaps the news may be older
	u.send(func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, func(a *message.Answer) {
		if u.sim.mutedJob == u.id {
			a = nil
		}
		if final == u.finalState {
			u.sim.checker.pollAnswered(u, a)
		}
		if u.finalState == "" {
			u.sim.after(5*micros.Second, u.poll)
			return
		}
		// It may ask again at any later time, and a late copy of the
		// submission may arrive.
		if u.pollsAfterEnd++; u.pollsAfterEnd < 8 {
			u.sim.after(10*micros.Second, u.poll)
			u.sim.after(micros.Second, u.submit)
		}
	})
}

func (u *user) cancel() {
	u.cancelRequested = true
	accepted := u.accepted // when it asks: an acceptance that overlaps may be newer
	u.send(func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: u.id} }, func(a *message.Answer) {
		if a != nil && a.Status == 200 {
			u.sim.checker.cancellationAnswered(u, a.Body.(api.JobStatus).State)
			u.sim.maybeRepeat(u.cancel)
			return
		}
		if a == nil || a.Status != 404 || !accepted {
			u.sim.after(micros.Second, u.cancel)
		} else {
			u.sim.checker.violated("forgotten", u.id+" at its cancellation")
		}
	})
}
