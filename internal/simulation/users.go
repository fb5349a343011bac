package simulation

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// user stands in for the owner of one job.
type user struct {
	w         *World
	id        string
	body      []byte
	job       Job
	needs     []*user
	accepted  bool
	final     api.JobState
	finalAt   micros.Micros
	told      api.JobState
	asked     bool // to cancel
	calledOff bool // by a trouble, not by the scenario
	tries     int
	sent      micros.Micros
	roomSince micros.Micros // since when it waits though there is room for it
	heard     micros.Micros // when a question about it was last answered
}

func (w *World) addUser(j Job, n int, at micros.Micros) {
	spec := j.spec(n)
	j.Kind = spec.Kind
	u := &user{w: w, id: spec.ID, body: submission(spec), job: j}
	w.users = append(w.users, u)
	w.byID[u.id] = u
	for _, id := range spec.Dependencies {
		u.needs = append(u.needs, w.byID[id])
	}
	var begin func()
	begin = func() {
		for _, o := range u.needs {
			if !o.accepted || j.Late && o.final == "" {
				w.after(micros.Second/5, begin) // named only once accepted
				return
			}
		}
		w.truth[u.id] = j
		u.sent = w.now
		u.submit()
	}
	w.at(at, begin)
	if j.CancelAtS > 0 {
		w.at(at+micros.FromSeconds(j.CancelAtS), u.cancel)
	}
}

// through sends a request to some node that is up; f gets nil when no answer
// came in time.
func (u *user) through(in func(req uint64) message.Input, f func(*message.Answer)) {
	w := u.w
	n := w.nodes[w.rng.IntN(3)]
	answered := false
	w.after(5*micros.Second, func() {
		if !answered {
			answered = true
			f(nil)
		}
	})
	if !n.up || n.cut["all"] || n.cut["users"] {
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
	final := u.final // an answer to a repetition that overlaps the news may be older
	u.through(func(req uint64) message.Input { return message.Submit{RequestID: req, Body: u.body} }, func(a *message.Answer) {
		u.w.check.submitted(u, a, final)
		if a == nil || a.Status != 200 && a.Status != 201 {
			if a == nil || a.Status >= 429 {
				u.w.after(micros.Second+micros.Random(u.w.rng, micros.Second), u.submit)
			}
			return
		}
		if !u.accepted {
			u.accepted = true
			u.closeLooks()
			u.w.after(5*micros.Second, u.poll)
			u.w.again(u.submit)
		}
	})
}

func (u *user) poll() {
	final := u.final // an answer to a poll that overlaps the news may be older
	u.through(func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, func(a *message.Answer) {
		if u.w.muted == u.id {
			a = nil
		}
		if final == u.final {
			u.w.check.polled(u, a)
		}
		if u.final == "" {
			u.w.after(5*micros.Second, u.poll)
			return
		}
		// It may ask again at any later time, and a late copy of the
		// submission may arrive.
		if u.tries++; u.tries < 8 {
			u.w.after(10*micros.Second, u.poll)
			u.w.after(micros.Second, u.submit)
		}
	})
}

func (u *user) cancel() {
	u.asked = true
	accepted := u.accepted // when it asks: an acceptance that overlaps may be newer
	u.through(func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: u.id} }, func(a *message.Answer) {
		if a != nil && a.Status == 200 {
			u.w.check.cancelled(u, a.Body.(api.JobStatus).State)
			u.w.again(u.cancel)
			return
		}
		if a == nil || a.Status != 404 || !accepted {
			u.w.after(micros.Second, u.cancel)
		} else {
			u.w.check.breaks("forgotten", u.id+" at its cancellation")
		}
	})
}
