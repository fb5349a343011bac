package simulation

import (
	"slices"
	"strconv"
	"strings"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// worker stands in for a machine with its worker.
type worker struct {
	w        *World
	name     string
	addr     string
	typ      api.MachineType
	zone     string
	spot     bool
	born     micros.Micros
	up       bool
	gone     bool
	hung     bool
	sick     bool
	deaf     bool // its reports arrive, answers and commands do not reach it
	mute     bool // it reaches no controller, commands reach it
	missed   []func()
	session  uint64
	seq      uint64
	token    uint64
	leased   micros.Micros // when the last answered report was sent
	noticeAt micros.Micros
	node     int
	asking   int64 // number of the report in flight; 0: none
	asks     int64
	nextAt   micros.Micros
	lastAt   micros.Micros
	tasks    []*wtask
	cached   map[string]bool
}

type wtask struct {
	w       *worker
	id      string
	job     string
	attempt uint64
	state   api.TaskState
	why     api.ExitReason
	saved   bool
	on      bool
	runFrom micros.Micros
	base    micros.Micros // progress that the run began with
	epoch   int
}

func newWorker(w *World, name string, t api.MachineType, zone string, spot bool) *worker {
	wk := &worker{w: w, name: name, addr: "10.1.0.1:" + strconv.Itoa(9000+len(w.workers)), typ: t, zone: zone, spot: spot,
		born: w.now, session: 1, cached: map[string]bool{}, node: w.rng.IntN(3)}
	w.workers = append(w.workers, wk)
	if w.live != nil {
		wk.addr = w.live.listen(wk)
	}
	w.byAddr[wk.addr] = wk
	w.after(micros.FromSeconds(t.BootS*(0.6+0.9*w.rng.Float64())), func() {
		if !wk.gone {
			wk.up, wk.leased = true, w.now
			w.every(micros.Second/10, wk.tick)
		}
	})
	return wk
}

func (w *World) workerAt(addr string) *worker { return w.byAddr[addr] }

// awake does something now, or when a hanging machine resumes.
func (wk *worker) awake(do func()) {
	switch {
	case wk.gone:
	case wk.hung:
		wk.missed = append(wk.missed, do)
	default:
		do()
	}
}

func (wk *worker) resume() {
	wk.hung = false
	missed := wk.missed
	wk.missed = nil
	wk.expire()
	for _, do := range missed {
		wk.awake(do)
	}
}

func (wk *worker) expire() {
	if !wk.gone && wk.w.now > wk.leased+micros.FromSeconds(wk.w.sc.LeaseS) {
		wk.w.say("%s lease expired", wk.name)
		wk.blink()
	}
}

// blink begins a new session without the tasks: the lease ran out, or the
// worker's process ended and was back at once.
func (wk *worker) blink() {
	for _, t := range wk.tasks {
		t.off()
	}
	wk.tasks = nil
	wk.session++
	wk.leased = wk.w.now
	wk.asking = 0
	wk.changed()
}

func (wk *worker) die() {
	if wk.gone {
		return
	}
	wk.gone = true
	for _, t := range wk.tasks {
		t.off()
	}
	wk.tasks = nil
}

func (wk *worker) tick() {
	if wk.gone {
		return
	}
	wk.expire() // a hang does not outlast the lease: docs/questions.md
	if wk.hung {
		return
	}
	if wk.asking == 0 && wk.w.now >= wk.nextAt {
		wk.send()
	}
}

// changed brings the next report forward.
func (wk *worker) changed() { wk.nextAt = min(wk.nextAt, max(wk.w.now, wk.lastAt+micros.Second/2)) }

func (wk *worker) report() *api.Heartbeat {
	wk.seq++
	r := &api.Heartbeat{Machine: wk.name, Address: wk.addr, Type: wk.typ.Name, Zone: wk.zone, Spot: wk.spot, Incarnation: wk.session, Sequence: wk.seq, FencingToken: wk.token}
	if wk.noticeAt > 0 {
		s := (wk.noticeAt - wk.w.now).Seconds()
		r.InterruptionNoticeS = &s
	}
	for _, t := range wk.tasks {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, ExitReason: t.why, CheckpointStored: t.saved})
	}
	return r
}

// sending is a report on its way, and what becomes of its answer.
type sending struct {
	wk      *worker
	node    *node
	ask     int64
	sent    micros.Micros
	session uint64
}

// giveUpAfter is how long a worker waits for the answer to a report.
const giveUpAfter = 4 * micros.Second

func (wk *worker) send() {
	w := wk.w
	wk.asks++
	s := &sending{wk: wk, node: w.nodes[wk.node], ask: wk.asks, sent: w.now, session: wk.session}
	wk.asking, wk.lastAt = s.ask, w.now
	every := micros.FromSeconds(w.sc.ReportS)
	wk.nextAt = w.now + every*3/4 + micros.Random(w.rng, every/2+1)
	r := wk.report()
	w.say("%s reports %d/%d to %s: %d tasks", wk.name, r.Incarnation, r.Sequence, s.node.name, len(r.Tasks))
	w.after(giveUpAfter, func() { s.finish(w.now+micros.Second, (wk.node+1)%3) })
	w.copyLate(r)
	wk.copyLater(r)
	if w.live != nil {
		w.live.report(wk.node, r, s.answered)
		return
	}
	if wk.mute {
		w.happened("reports of mute machines")
	}
	if !s.node.up || wk.mute {
		w.after(micros.Second/100, func() {
			s.finish(w.now+micros.Second, (wk.node+1)%3)
			wk.nextAt = max(wk.nextAt, w.now+micros.Second)
		})
		return
	}
	w.between(s.node, wk, func() {
		if !s.node.up {
			return
		}
		w.request(s.node, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: r} }, func(a message.Answer) {
			w.between(s.node, wk, func() { s.answered(a) })
		})
	})
}

// copyLater has a copy of some reports arrive again, up to two leases later.
func (wk *worker) copyLater(r *api.Heartbeat) {
	w := wk.w
	if w.sc.Copies <= 0 || w.rng.Float64() >= w.sc.Copies {
		return
	}
	late := *r
	w.after(micros.Second+micros.Random(w.rng, micros.FromSeconds(2*w.sc.LeaseS)), func() {
		if n := w.nodes[w.rng.IntN(3)]; n.up && !n.cut["workers"] && !n.cut["all"] {
			w.request(n, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: &late} }, func(message.Answer) {})
		}
	})
}

// finish ends the wait for the answer: the next report goes to a node by a time.
func (s *sending) finish(next micros.Micros, node int) {
	wk := s.wk
	if wk.asking == s.ask {
		wk.asking = 0
		wk.node = node
		wk.nextAt = min(wk.nextAt, next)
	}
}

// answered takes in an answer, unless the worker does not hear it.
func (s *sending) answered(a message.Answer) {
	wk := s.wk
	if wk.deaf {
		wk.w.happened("answers to deaf machines")
		return
	}
	wk.awake(func() {
		if wk.asking != s.ask || wk.session != s.session {
			return // given up on, or of an earlier session
		}
		o, ok := a.Body.(api.HeartbeatResponse)
		if !ok || a.Status != 200 {
			s.refused(a)
			return
		}
		s.finish(wk.nextAt, wk.node)
		if o.FencingToken < wk.token {
			return
		}
		wk.raise(o.FencingToken)
		wk.leased = s.sent
		wk.obey(o.Commands)
	})
}

// refused has the worker turn to another node: the one that is named, or the next.
func (s *sending) refused(a message.Answer) {
	wk, w := s.wk, s.wk.w
	other := (wk.node + 1) % 3
	wait := micros.Second
	if d, ok := a.Body.(api.Redirect); ok && a.Status == 421 && d.To != "" && d.To != s.node.name {
		for i, o := range w.nodes {
			if o.name == d.To {
				other, wait = i, micros.Random(w.rng, micros.Second/2)
			}
		}
	}
	s.finish(w.now+wait, other)
	wk.nextAt = w.now + wait
}

func (wk *worker) raise(token uint64) {
	if token > wk.token {
		wk.token = token
		wk.changed()
	}
}

func (wk *worker) commands(p api.CommandRequest) (int, *api.Heartbeat) {
	if p.FencingToken < wk.token || p.Incarnation != wk.session {
		return 409, wk.report()
	}
	wk.raise(p.FencingToken)
	wk.obey(p.Commands)
	return 200, wk.report()
}

func (wk *worker) find(id string, attempt uint64) *wtask {
	for _, t := range wk.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (wk *worker) obey(cmds []api.Command) {
	for _, c := range cmds {
		t := wk.find(c.Task, c.Attempt)
		wk.w.say("%s does %s %s attempt %d", wk.name, c.Op, c.Task, c.Attempt)
		switch {
		case c.Op == api.CommandStart && t == nil:
			wk.start(c)
		case c.Op == api.CommandStop && t != nil:
			t.stop(*c.GraceS)
		case c.Op == api.CommandForget && t != nil && t.state == api.TaskExited:
			wk.tasks = slices.DeleteFunc(wk.tasks, func(o *wtask) bool { return o == t })
		}
	}
}

func (wk *worker) start(c api.Command) {
	job, _, _ := strings.Cut(c.Task, "/")
	t := &wtask{w: wk, id: c.Task, job: job, attempt: c.Attempt, state: api.TaskFetching}
	truth, ok := wk.w.truth[job]
	for _, o := range wk.tasks {
		if o.id == c.Task && o.state != api.TaskExited {
			t.exit(api.ExitBusy)
		}
	}
	spec := truth.spec(0)
	if t.state != api.TaskExited && !wk.hasRoom(spec) {
		t.exit(api.ExitNoRoom)
	}
	if !ok {
		t.exit(api.ExitNoSuch)
	}
	wk.tasks = append(wk.tasks, t)
	if t.state == api.TaskExited {
		return
	}
	wk.changed()
	fetch := micros.FromSeconds(truth.ImageGB)
	if wk.cached[spec.Image] {
		fetch = micros.Second / 100
	}
	t.later(fetch, func() {
		wk.cached[spec.Image] = true
		t.begin(truth)
	})
}

// hasRoom tells whether a task fits beside those that are there.
func (wk *worker) hasRoom(spec api.Job) bool {
	cpus, gpus := spec.CPUs, spec.GPUs
	for _, o := range wk.tasks {
		if o.state != api.TaskExited {
			other := wk.w.truth[o.job].spec(0)
			cpus, gpus = cpus+other.CPUs, gpus+other.GPUs
		}
	}
	return cpus <= wk.typ.CPUs+1e-9 && gpus <= wk.typ.GPUs+1e-9
}

// begin has a task run that has its image, or fail.
func (t *wtask) begin(truth Job) {
	wk := t.w
	t.on = true
	wk.w.check.started(wk, t)
	switch {
	case wk.w.results[t.id]:
		t.exit(api.ExitDone)
	case wk.sick || truth.Bad:
		wk.w.happened("tasks that failed")
		t.later(micros.Second, func() { t.exit(api.ExitFailed) })
	case truth.spec(0).Kind == api.Gang:
		t.state = api.TaskWaiting
		wk.changed()
		t.later(40*micros.Second, func() {
			if t.state == api.TaskWaiting {
				t.exit(api.ExitAlone)
			}
		})
		wk.w.gather(t, truth)
	default:
		t.run(truth)
	}
}

// later does something unless the task has ended or moved on by then.
func (t *wtask) later(d micros.Micros, do func()) {
	epoch := t.epoch
	t.w.w.after(d, func() {
		t.w.awake(func() {
			if t.epoch == epoch && t.state != api.TaskExited {
				do()
			}
		})
	})
}

func (t *wtask) run(truth Job) {
	t.state, t.runFrom = api.TaskRunning, t.w.w.now
	t.epoch++
	t.w.changed()
	if truth.Kind == api.Service {
		return
	}
	t.base = t.w.w.saved[t.key(truth)]
	left := micros.FromSeconds((truth.RunS + truth.StepS*t.index())) - t.base
	t.later(max(left, micros.Second/10), func() { t.exit(api.ExitDone) })
}

// index is the task's number within its job.
func (t *wtask) index() float64 {
	n, _ := strconv.Atoi(t.id[strings.IndexByte(t.id, '/')+1:])
	return float64(n)
}

// key is what progress is saved under: a gang's is the job's.
func (t *wtask) key(truth Job) string {
	if truth.Kind == api.Gang {
		return t.job
	}
	return t.id
}

// gather starts a gang once all its tasks wait.
func (w *World) gather(t *wtask, truth Job) {
	mates := w.mates(t)
	if len(mates) < max(1, truth.Tasks) {
		return
	}
	for _, m := range mates {
		if m.state != api.TaskWaiting {
			return
		}
	}
	for _, m := range mates {
		m.run(truth)
	}
}

func (w *World) mates(t *wtask) []*wtask {
	var list []*wtask
	for _, wk := range w.workers {
		for _, o := range wk.tasks {
			if !wk.gone && o.job == t.job && o.attempt == t.attempt && o.state != api.TaskExited {
				list = append(list, o)
			}
		}
	}
	return list
}

func (t *wtask) stop(grace float64) {
	truth := t.w.w.truth[t.job]
	spec := truth.spec(0)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && spec.CheckpointIntervalS > 0 && grace >= spec.CheckpointSaveS:
		done := t.w.w.now - t.runFrom
		t.state = api.TaskCheckpointing
		t.epoch++
		t.w.changed()
		t.later(micros.FromSeconds(spec.CheckpointSaveS), func() {
			t.w.w.saved[t.key(truth)] = max(t.w.w.saved[t.key(truth)], t.base+done)
			t.saved = true
			t.exit(api.ExitStopped)
		})
	case t.state == api.TaskCheckpointing && grace > 0:
	default:
		t.exit(api.ExitStopped)
	}
}

// exit ends a task; its gang notices.
func (t *wtask) exit(why api.ExitReason) {
	running := t.state == api.TaskRunning || t.state == api.TaskCheckpointing
	if why == api.ExitDone {
		t.w.w.results[t.id] = true
		if truth := t.w.w.truth[t.job]; truth.Kind == api.Gang {
			for n := range max(1, truth.Tasks) { // a gang completes together
				t.w.w.results[t.job+"/"+strconv.Itoa(n)] = true
			}
		}
	}
	t.state, t.why = api.TaskExited, why
	t.off()
	t.w.changed()
	if why == api.ExitDone {
		t.w.w.ends(t.job)
	}
	if running && why != api.ExitDone {
		t.tellMates()
	}
}

func (t *wtask) tellMates() {
	if t.w.w.truth[t.job].Kind != api.Gang {
		return
	}
	for _, m := range t.w.w.mates(t) {
		if m != t && m.state == api.TaskRunning {
			m.later(2*micros.Second, func() { m.exit(api.ExitMatesGone) })
		}
	}
}

func (t *wtask) off() {
	lost := t.on && t.state == api.TaskRunning
	t.epoch++
	if t.on {
		t.on = false
		t.w.w.check.left(t)
	}
	if lost {
		t.state = api.TaskExited
		t.tellMates()
	}
}
