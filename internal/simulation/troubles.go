package simulation

import (
	"fmt"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// Troubles that the users name beside the plain ones of world.go: requests to the
// state service and reports that come late, machines that hear or are heard only
// one way, and users who ask much at once. seen counts what they brought about, so
// that a scenario can demand that it did.

// share is a trouble that befalls a share of something until a time.
type share struct {
	of    float64
	until micros.Micros
	kind  string // "", "at_once" or "for_next"
}

func (s share) hits(w *World) bool { return w.now < s.until && w.rng.Float64() < s.of }

// happened notes that a trouble was brought about.
func (w *World) happened(what string) { w.seen[what]++ }

// trouble begins one of these; it tells whether it knows it.
func (w *World) trouble(f Fault, n *node, lasts micros.Micros) bool {
	until := w.now + lasts
	of := f.Share
	if of == 0 {
		of = 0.3
	}
	kind, mode, _ := strings.Cut(f.Kind, "/")
	if f.Mode != "" {
		mode = f.Mode
	}
	switch kind {
	case "late_writes":
		w.lateWrites = share{of, until, mode}
	case "late_reports":
		w.lateReports = share{of, until, mode}
	case "cancel_at_end":
		w.cancelAtEnd = share{of, until, ""}
	case "close_looks":
		w.looksUntil = until
	case "odd_requests":
		w.oddRequests(until)
	case "cancel_now":
		w.cancelNow(max(1, f.Count), micros.FromSeconds(f.HangS))
	case "watch_hangs": // its connection: what else the node asks is answered
		n.watchHangs = true
		w.after(lasts, func() { n.watchHangs = false })
	case "boot_trouble":
		w.cloud.bootsUntil, w.cloud.bootFail, w.cloud.bootFactor = until, f.Share, f.Factor
	case "lease_runs_out": // as one cut off for long enough
		w.store.endLeases(n)
	default:
		return false
	}
	return true
}

// txn is how the state service gets a transaction: late writes have no answer,
// and are carried out after newer ones, or at once. It tells whether it took it.
func (w *World) txn(n *node, v message.StoreCall) bool {
	if v.Op != message.OpTransaction || !w.lateWrites.hits(w) {
		return false
	}
	do := func() { w.store.call(n, v, func(*message.StoreReply) {}) }
	if w.lateWrites.kind == "at_once" {
		w.happened("answers lost")
		w.carry(n, "store", do)
		return true
	}
	w.happened("late writes")
	w.after(2*micros.Second+micros.Random(w.rng, 10*micros.Second), func() { w.carry(n, "store", do) })
	return true
}

// copyLate has a copy of a report arrive again: within two leases, or when the
// next leader begins.
func (w *World) copyLate(r *api.Heartbeat) {
	if !w.lateReports.hits(w) {
		return
	}
	late := *r
	deliver := func(n *node) {
		if n.up && !n.cut["workers"] && !n.cut["all"] {
			w.request(n, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: &late} }, func(message.Answer) {})
		}
	}
	if w.lateReports.kind == "for_next" {
		w.forNext = append(w.forNext, func() {
			w.happened("reports kept for the next leader")
			for _, n := range w.nodes {
				deliver(n)
			}
		})
		return
	}
	w.after(2*micros.Second+micros.Random(w.rng, micros.FromSeconds(1.8*w.sc.LeaseS)), func() {
		w.happened("late reports")
		deliver(w.nodes[w.rng.IntN(3)])
	})
}

// led notes that a partition has another holder: what was kept for it arrives now,
// before its workers' first words.
func (w *World) led(key string, value []byte) {
	if !strings.HasPrefix(key, "live/p/") || w.leader[key] == string(value) {
		return
	}
	if w.leader[key] != "" {
		w.happened("changes of leader")
	}
	w.leader[key] = string(value)
	kept := w.forNext
	w.forNext = nil
	for _, do := range kept {
		w.after(micros.Second/100, do)
	}
}

// cancelNow has the users of jobs that run and have long to go call them off
// within a fifth of a second; up to eight of their machines then hang.
func (w *World) cancelNow(count int, hang micros.Micros) {
	hung := 0
	for _, u := range w.users {
		if count == 0 {
			return
		}
		on := w.runningOn(u)
		if len(on) == 0 || u.asked || u.final != "" {
			continue
		}
		count--
		w.happened("cancelled while they ran")
		u.calledOff = true
		w.after(micros.Random(w.rng, micros.Second/5), u.cancel)
		for _, wk := range on {
			if hang > 0 && hung < 8 && !wk.hung && !wk.gone {
				hung++
				w.happened("machines hung with cancelled tasks")
				wk.hung = true
				w.after(hang, wk.resume)
			}
		}
	}
}

// runningOn lists the machines on which a job's tasks run that have long to go.
func (w *World) runningOn(u *user) []*worker {
	var on []*worker
	for n := range max(1, u.job.Tasks) {
		for _, t := range w.check.on[fmt.Sprintf("%s/%d", u.id, n)] {
			long := u.job.Kind == api.Service || w.now-t.runFrom < micros.FromSeconds(u.job.RunS)/2
			if t.state == api.TaskRunning && long {
				on = append(on, t.w)
			}
		}
	}
	return on
}

// ends is told of each task that completed: the job's user may call it off at
// that very moment, or while its end is being recorded.
func (w *World) ends(job string) {
	if u := w.byID[job]; u != nil && !u.asked && w.check.complete(u) {
		// Three seconds later its user expects to be told so.
		w.after(3*micros.Second, func() {
			u.ask(w.nodes[w.rng.IntN(3)], func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, func(a message.Answer, _ bool, _ api.JobState) {
				if s, ok := a.Body.(api.JobStatus); ok && !u.asked && s.State != api.JobDone {
					w.happened("ends told late")
				}
			})
		})
	}
	if u := w.byID[job]; u != nil && !u.asked && u.final == "" && w.check.complete(u) && w.cancelAtEnd.hits(w) {
		w.happened("cancelled at the end")
		u.calledOff = true
		w.after(micros.Micros(w.rng.Int64N(2))*micros.Random(w.rng, 3*micros.Second), u.cancel)
	}
}

// ask puts a question to one node, at once, and hands its answer on with what
// the user had been told when it asked.
func (u *user) ask(n *node, in func(req uint64) message.Input, f func(a message.Answer, accepted bool, final api.JobState)) {
	w := u.w
	if !n.up || n.cut["all"] || n.cut["users"] {
		return
	}
	accepted, final := u.accepted, u.final
	w.after(micros.Random(w.rng, micros.Second/500), func() {
		if n.up {
			w.request(n, in, func(a message.Answer) {
				w.after(micros.Random(w.rng, micros.Second/500), func() { f(a, accepted, final) })
			})
		}
	})
}

// closeLooks asks about a job at all nodes within milliseconds after its user
// was told something of it, and repeats its submission.
func (u *user) closeLooks() {
	w := u.w
	if w.now >= w.looksUntil {
		return
	}
	for _, d := range []micros.Micros{0, micros.Second / 500, micros.Second / 50, micros.Second / 4} {
		for _, n := range w.nodes {
			w.after(d, func() {
				w.happened("close looks")
				u.ask(n, func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, w.check.looked(u))
				u.ask(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: u.body} }, w.check.looked(u))
			})
		}
	}
}

// oddRequests has users repeat submissions of unfinished jobs with another body,
// cancel jobs that are done or were never accepted, and send jobs that fit
// nowhere, lack a field or have one of the wrong type.
func (w *World) oddRequests(until micros.Micros) {
	stranger := 900000
	var again func()
	again = func() {
		if w.now >= until {
			return
		}
		w.after(micros.Second/2, again)
		n := w.nodes[w.rng.IntN(3)]
		stranger++
		x := &user{w: w, id: fmt.Sprintf("wk-%06d", stranger)}
		for _, c := range []struct {
			from, to string
			status   int
		}{
			{`"Vcpus":1`, `"Vcpus":5000`, 422}, {`"Dueno":"norte"`, `"Dueno":"nadie"`, 422}, {`"Imagen":"img-",`, ``, 400},
			{`"Tareas":2`, `"Tareas":"2"`, 400}, {`"Tareas":2`, `"Tareas":0`, 400}, {`"Forma":"array"`, `"Forma":"heap"`, 400}, {`{`, `[`, 400},
		} {
			spec := Job{Tasks: 2, RunS: 5}.spec(stranger)
			body := strings.Replace(string(submission(spec)), c.from, c.to, 1)
			if body == string(submission(spec)) {
				w.check.breaks("scenario", c.from+" is not in a submission")
			}
			x.ask(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: []byte(body)} }, func(a message.Answer, _ bool, _ api.JobState) {
				w.happened("odd requests")
				w.check.refused(body, a, c.status)
			})
		}
		x.ask(n, func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: x.id} }, func(a message.Answer, _ bool, _ api.JobState) { w.check.refused(x.id, a, 404) })
		x.ask(n, func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: x.id} }, func(a message.Answer, _ bool, _ api.JobState) { w.check.refused(x.id, a, 404) })
		for _, u := range w.users {
			if !u.accepted || w.rng.IntN(8) > 0 {
				continue
			}
			body := strings.Replace(string(u.body), `"Vcpus":`, `"Vcpus":5000.`, 1)
			u.ask(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: []byte(body)} }, w.check.looked(u))
			if u.final != "" {
				u.ask(n, func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: u.id} }, w.check.looked(u))
			}
		}
	}
	again()
}

// looked checks an answer to a question that was put to one node: it is no older
// than what the user had been told when it asked.
func (c *checker) looked(u *user) func(message.Answer, bool, api.JobState) {
	return func(a message.Answer, accepted bool, final api.JobState) {
		s, ok := a.Body.(api.JobStatus)
		switch {
		case accepted && (a.Status == 404 || a.Status == 400 || a.Status == 422):
			c.breaks("forgotten", fmt.Sprintf("%s is answered %d", u.id, a.Status))
		case ok && final != "" && s.State != final:
			c.breaks("went_back", fmt.Sprintf("%s was %s when asked about, now %s", u.id, final, s.State))
		}
	}
}

// refused checks the answer to a request that can't be granted.
func (c *checker) refused(what string, a message.Answer, status int) {
	if a.Status != status && a.Status != 429 && a.Status != 503 {
		c.breaks("bad_input", fmt.Sprintf("%s is answered %d, not %d", what, a.Status, status))
	}
}

// ordered checks commands as they leave a controller: no start of a job whose
// user was told seconds ago, by whomever, that it is cancelled.
func (c *checker) ordered(n *node, cmds []api.Command) {
	for _, o := range cmds {
		job, _, _ := strings.Cut(o.Task, "/")
		if at, ok := c.killed[job]; ok && o.Op == api.CommandStart && c.w.now > at+5*micros.Second {
			c.breaks("start_told_late", fmt.Sprintf("%s by %s, %.1f s after its cancellation was told", o.Task, n.name, (c.w.now-at).Seconds()))
		}
	}
}

// endLeases ends the leases that hang on a node's parts.
func (s *store) endLeases(n *node) {
	for _, k := range s.sorted("live/p/") {
		if v := s.keys[k]; strings.Contains(string(v.value), `"`+n.name+`"`) && s.leases[v.lease] != nil {
			s.leases[v.lease].end = s.w.now
		}
	}
}
