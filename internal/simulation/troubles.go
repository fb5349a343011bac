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

// partialFault is a trouble that befalls a share of something until a time.
type partialFault struct {
	share    float64
	until micros.Micros
	mode  string // "", "at_once" or "for_next"
}

func (s partialFault) hits(w *Simulation) bool { return w.now < s.until && w.rng.Float64() < s.share }

// countOccurrence notes that a trouble was brought about.
func (w *Simulation) countOccurrence(what string) { w.occurrences[what]++ }

// injectTimingFault begins one of these; it tells whether it knows it.
func (w *Simulation) injectTimingFault(f Fault, n *node, lasts micros.Micros) bool {
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
		w.lateWrites = partialFault{of, until, mode}
	case "late_reports":
		w.lateHeartbeats = partialFault{of, until, mode}
	case "cancel_at_end":
		w.cancelAtEnd = partialFault{of, until, ""}
	case "close_looks":
		w.closeQueriesUntil = until
	case "odd_requests":
		w.sendInvalidRequests(until)
	case "cancel_now":
		w.cancelRunningJobs(max(1, f.Count), micros.FromSeconds(f.HangS))
	case "watch_hangs": // its connection: what else the node asks is answered
		n.watchStalled = true
		w.after(lasts, func() { n.watchStalled = false })
	case "boot_trouble":
		w.cloud.bootFaultsUntil, w.cloud.bootFailShare, w.cloud.bootFactor = until, f.Share, f.Factor
	case "lease_runs_out": // as one cut off for long enough
		w.store.expireLeasesOf(n)
	default:
		return false
	}
	return true
}

// delayTransaction is how the state service gets a transaction: late writes have no answer,
// and are carried out after newer ones, or at once. It tells whether it took it.
func (w *Simulation) delayTransaction(n *node, v message.StoreCall) bool {
	if v.Op != message.OpTransaction || !w.lateWrites.hits(w) {
		return false
	}
	do := func() { w.store.call(n, v, func(*message.StoreReply) {}) }
	if w.lateWrites.mode == "at_once" {
		w.countOccurrence("answers lost")
		w.deliver(n, "store", do)
		return true
	}
	w.countOccurrence("late writes")
	w.after(2*micros.Second+micros.Random(w.rng, 10*micros.Second), func() { w.deliver(n, "store", do) })
	return true
}

// copyLateHeartbeat has a copy of a report arrive again: within two leases, or when the
// next leader begins.
func (w *Simulation) copyLateHeartbeat(r *api.Heartbeat) {
	if !w.lateHeartbeats.hits(w) {
		return
	}
	late := *r
	deliver := func(n *node) {
		if n.up && !n.cutLinks["workers"] && !n.cutLinks["all"] {
			w.request(n, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: &late} }, func(message.Answer) {})
		}
	}
	if w.lateHeartbeats.mode == "for_next" {
		w.heldForNextLeader = append(w.heldForNextLeader, func() {
			w.countOccurrence("reports kept for the next leader")
			for _, n := range w.nodes {
				deliver(n)
			}
		})
		return
	}
	w.after(2*micros.Second+micros.Random(w.rng, micros.FromSeconds(1.8*w.scenario.LeaseS)), func() {
		w.countOccurrence("late reports")
		deliver(w.nodes[w.rng.IntN(3)])
	})
}

// noteLeaderRecord notes that a partition has another holder: what was kept for it arrives now,
// before its workers' first words.
func (w *Simulation) noteLeaderRecord(key string, value []byte) {
	if !strings.HasPrefix(key, "live/p/") || w.leaderRecords[key] == string(value) {
		return
	}
	if w.leaderRecords[key] != "" {
		w.countOccurrence("changes of leader")
	}
	w.leaderRecords[key] = string(value)
	kept := w.heldForNextLeader
	w.heldForNextLeader = nil
	for _, do := range kept {
		w.after(micros.Second/100, do)
	}
}

// cancelRunningJobs has the users of jobs that run and have long to go call them off
// within a fifth of a second; up to eight of their machines then hang.
func (w *Simulation) cancelRunningJobs(count int, hang micros.Micros) {
	hung := 0
	for _, u := range w.users {
		if count == 0 {
			return
		}
		on := w.workersRunning(u)
		if len(on) == 0 || u.cancelRequested || u.finalState != "" {
			continue
		}
		count--
		w.countOccurrence("cancelled while they ran")
		u.cancelledByFault = true
		w.after(micros.Random(w.rng, micros.Second/5), u.cancel)
		for _, wk := range on {
			if hang > 0 && hung < 8 && !wk.hung && !wk.gone {
				hung++
				w.countOccurrence("machines hung with cancelled tasks")
				wk.hung = true
				w.after(hang, wk.resume)
			}
		}
	}
}

// workersRunning lists the machines on which a job's tasks run that have long to go.
func (w *Simulation) workersRunning(u *user) []*worker {
	var on []*worker
	for n := range max(1, u.job.Tasks) {
		for _, t := range w.checker.running[fmt.Sprintf("%s/%d", u.id, n)] {
			long := u.job.Kind == api.Service || w.now-t.runningSince < micros.FromSeconds(u.job.RunS)/2
			if t.state == api.TaskRunning && long {
				on = append(on, t.worker)
			}
		}
	}
	return on
}

// taskCompleted is told of each task that completed: the job's user may call it off at
// that very moment, or while its end is being recorded.
func (w *Simulation) taskCompleted(job string) {
	if u := w.usersByID[job]; u != nil && !u.cancelRequested && w.checker.completed(u) {
		// Three seconds later its user expects to be told so.
		w.after(3*micros.Second, func() {
			u.query(w.nodes[w.rng.IntN(3)], func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, func(a message.Answer, _ bool, _ api.JobState) {
				if s, ok := a.Body.(api.JobStatus); ok && !u.cancelRequested && s.State != api.JobDone {
					w.countOccurrence("ends told late")
				}
			})
		})
	}
	if u := w.usersByID[job]; u != nil && !u.cancelRequested && u.finalState == "" && w.checker.completed(u) && w.cancelAtEnd.hits(w) {
		w.countOccurrence("cancelled at the end")
		u.cancelledByFault = true
		w.after(micros.Micros(w.rng.Int64N(2))*micros.Random(w.rng, 3*micros.Second), u.cancel)
	}
}

// query puts a question to one node, at once, and hands its answer on with what
// the user had been told when it asked.
func (u *user) query(n *node, in func(req uint64) message.Input, f func(a message.Answer, accepted bool, final api.JobState)) {
	w := u.sim
	if !n.up || n.cutLinks["all"] || n.cutLinks["users"] {
		return
	}
	accepted, final := u.accepted, u.finalState
	w.after(micros.Random(w.rng, micros.Second/500), func() {
		if n.up {
			w.request(n, in, func(a message.Answer) {
				w.after(micros.Random(w.rng, micros.Second/500), func() { f(a, accepted, final) })
			})
		}
	})
}

// queryAllNodes asks about a job at all nodes within milliseconds after its user
// was told something of it, and repeats its submission.
func (u *user) queryAllNodes() {
	w := u.sim
	if w.now >= w.closeQueriesUntil {
		return
	}
	for _, d := range []micros.Micros{0, micros.Second / 500, micros.Second / 50, micros.Second / 4} {
		for _, n := range w.nodes {
			w.after(d, func() {
				w.countOccurrence("close looks")
				u.query(n, func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: u.id} }, w.checker.checkQuery(u))
				u.query(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: u.body} }, w.checker.checkQuery(u))
			})
		}
	}
}

// sendInvalidRequests has users repeat submissions of unfinished jobs with another body,
// cancel jobs that are done or were never accepted, and send jobs that fit
// nowhere, lack a field or have one of the wrong type.
func (w *Simulation) sendInvalidRequests(until micros.Micros) {
	stranger := 900000
	var again func()
	again = func() {
		if w.now >= until {
			return
		}
		w.after(micros.Second/2, again)
		n := w.nodes[w.rng.IntN(3)]
		stranger++
		x := &user{sim: w, id: fmt.Sprintf("wk-%06d", stranger)}
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
				w.checker.violated("scenario", c.from+" is not in a submission")
			}
			x.query(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: []byte(body)} }, func(a message.Answer, _ bool, _ api.JobState) {
				w.countOccurrence("odd requests")
				w.checker.checkRefused(body, a, c.status)
			})
		}
		x.query(n, func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: x.id} }, func(a message.Answer, _ bool, _ api.JobState) { w.checker.checkRefused(x.id, a, 404) })
		x.query(n, func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: x.id} }, func(a message.Answer, _ bool, _ api.JobState) { w.checker.checkRefused(x.id, a, 404) })
		for _, u := range w.users {
			if !u.accepted || w.rng.IntN(8) > 0 {
				continue
			}
			body := strings.Replace(string(u.body), `"Vcpus":`, `"Vcpus":5000.`, 1)
			u.query(n, func(req uint64) message.Input { return message.Submit{RequestID: req, Body: []byte(body)} }, w.checker.checkQuery(u))
			if u.finalState != "" {
				u.query(n, func(req uint64) message.Input { return message.Cancel{RequestID: req, ID: u.id} }, w.checker.checkQuery(u))
			}
		}
	}
	again()
}

// checkQuery checks an answer to a question that was put to one node: it is no older
// than what the user had been told when it asked.
func (c *invariantChecker) checkQuery(u *user) func(message.Answer, bool, api.JobState) {
	return func(a message.Answer, accepted bool, final api.JobState) {
		s, ok := a.Body.(api.JobStatus)
		switch {
		case accepted && (a.Status == 404 || a.Status == 400 || a.Status == 422):
			c.violated("forgotten", fmt.Sprintf("%s is answered %d", u.id, a.Status))
		case ok && final != "" && s.State != final:
			c.violated("went_back", fmt.Sprintf("%s was %s when asked about, now %s", u.id, final, s.State))
		}
	}
}

// checkRefused checks the answer to a request that can't be granted.
func (c *invariantChecker) checkRefused(what string, a message.Answer, status int) {
	if a.Status != status && a.Status != 429 && a.Status != 503 {
		c.violated("bad_input", fmt.Sprintf("%s is answered %d, not %d", what, a.Status, status))
	}
}

// checkCommands checks commands as they leave a controller: no start of a job whose
// user was told seconds ago, by whomever, that it is cancelled.
func (c *invariantChecker) checkCommands(n *node, cmds []api.Command) {
	for _, o := range cmds {
		job, _, _ := strings.Cut(o.Task, "/")
		if at, ok := c.cancelledAt[job]; ok && o.Op == api.CommandStart && c.sim.now > at+5*micros.Second {
			c.violated("start_told_late", fmt.Sprintf("%s by %s, %.1f s after its cancellation was told", o.Task, n.name, (c.sim.now-at).Seconds()))
		}
	}
}

// expireLeasesOf ends the leases that hang on a node's parts.
func (s *keyValueStore) expireLeasesOf(n *node) {
	for _, k := range s.sortedKeys("live/p/") {
		if v := s.keys[k]; strings.Contains(string(v.data), `"`+n.name+`"`) && s.leases[v.lease] != nil {
			s.leases[v.lease].expiresAt = s.sim.now
		}
	}
}
