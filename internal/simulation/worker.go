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
	sim        *Simulation
	name     string
	addr     string
	machineType      api.MachineType
	zone     string
	spot     bool
	launchedAt     micros.Micros
	up       bool
	gone     bool
	hung     bool
	failing     bool
	inboundCut     bool // its reports arrive, answers and commands do not reach it
	outboundCut     bool // it reaches no controller, commands reach it
	deferred   []func()
	incarnation  uint64
	sequence      uint64
	fencingToken    uint64
	leaseStart   micros.Micros // when the last answered report was sent
	interruptionAt micros.Micros
	node     int
	pendingCall   int64 // number of the report in flight; 0: none
	calls     int64
	nextHeartbeatAt   micros.Micros
	lastHeartbeatAt   micros.Micros
	tasks    []*workerTask
	cachedImages   map[string]bool
}

type workerTask struct {
	worker       *worker
	id      string
	job     string
	attempt uint64
	state   api.TaskState
	exitReason     api.ExitReason
	checkpointStored   bool
	counted      bool
	runningSince micros.Micros
	resumedFrom    micros.Micros // progress that the run began with
	generation   int
}

func newWorker(w *Simulation, name string, t api.MachineType, zone string, spot bool) *worker {
	wk := &worker{sim: w, name: name, addr: "10.1.0.1:" + strconv.Itoa(9000+len(w.workers)), machineType: t, zone: zone, spot: spot,
		launchedAt: w.now, incarnation: 1, cachedImages: map[string]bool{}, node: w.rng.IntN(3)}
	w.workers = append(w.workers, wk)
	if w.transport != nil {
		wk.addr = w.transport.listen(wk)
	}
	w.workersByAddr[wk.addr] = wk
	w.after(micros.FromSeconds(t.BootS*(0.6+0.9*w.rng.Float64())), func() {
		if !wk.gone {
			wk.up, wk.leaseStart = true, w.now
			w.every(micros.Second/10, wk.tick)
		}
	})
	return wk
}

func (w *Simulation) workerAt(addr string) *worker { return w.workersByAddr[addr] }

// whenRunning does something now, or when a hanging machine resumes.
func (wk *worker) whenRunning(do func()) {
	switch {
	case wk.gone:
	case wk.hung:
		wk.deferred = append(wk.deferred, do)
	default:
		do()
	}
}

func (wk *worker) resume() {
	wk.hung = false
	missed := wk.deferred
	wk.deferred = nil
	wk.checkLease()
	for _, do := range missed {
		wk.whenRunning(do)
	}
}

func (wk *worker) checkLease() {
	if !wk.gone && wk.sim.now > wk.leaseStart+micros.FromSeconds(wk.sim.scenario.LeaseS) {
		wk.sim.logf("%s lease expired", wk.name)
		wk.restart()
	}
}

// restart begins a new session without the tasks: the lease ran out, or the
// worker's process ended and was back at once.
func (wk *worker) restart() {
	for _, t := range wk.tasks {
		t.detach()
	}
	wk.tasks = nil
	wk.incarnation++
	wk.leaseStart = wk.sim.now
	wk.pendingCall = 0
	wk.hastenHeartbeat()
}

func (wk *worker) terminate() {
	if wk.gone {
		return
	}
	wk.gone = true
	for _, t := range wk.tasks {
		t.detach()
	}
	wk.tasks = nil
}

func (wk *worker) tick() {
	if wk.gone {
		return
	}
	wk.checkLease() // a hang does not outlast the lease: docs/questions.md
	if wk.hung {
		return
	}
	if wk.pendingCall == 0 && wk.sim.now >= wk.nextHeartbeatAt {
		wk.sendHeartbeat()
	}
}

// hastenHeartbeat brings the next report forward.
func (wk *worker) hastenHeartbeat() { wk.nextHeartbeatAt = min(wk.nextHeartbeatAt, max(wk.sim.now, wk.lastHeartbeatAt+micros.Second/2)) }

func (wk *worker) heartbeat() *api.Heartbeat {
	wk.sequence++
	r := &api.Heartbeat{Machine: wk.name, Address: wk.addr, Type: wk.machineType.Name, Zone: wk.zone, Spot: wk.spot, Incarnation: wk.incarnation, Sequence: wk.sequence, FencingToken: wk.fencingToken}
	if wk.interruptionAt > 0 {
		s := (wk.interruptionAt - wk.sim.now).Seconds()
		r.InterruptionNoticeS = &s
	}
	for _, t := range wk.tasks {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.id, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, CheckpointStored: t.checkpointStored})
	}
	return r
}

// heartbeatCall is a report on its way, and what becomes of its answer.
type heartbeatCall struct {
	worker      *worker
	node    *node
	number     int64
	sentAt    micros.Micros
	incarnation uint64
}

// heartbeatTimeout is how long a worker waits for the answer to a report.
const heartbeatTimeout = 4 * micros.Second

func (wk *worker) sendHeartbeat() {
	w := wk.sim
	wk.calls++
	s := &heartbeatCall{worker: wk, node: w.nodes[wk.node], number: wk.calls, sentAt: w.now, incarnation: wk.incarnation}
	wk.pendingCall, wk.lastHeartbeatAt = s.number, w.now
	every := micros.FromSeconds(w.scenario.HeartbeatS)
	wk.nextHeartbeatAt = w.now + every*3/4 + micros.Random(w.rng, every/2+1)
	r := wk.heartbeat()
	w.logf("%s reports %d/%d to %s: %d tasks", wk.name, r.Incarnation, r.Sequence, s.node.name, len(r.Tasks))
	w.after(heartbeatTimeout, func() { s.finish(w.now+micros.Second, (wk.node+1)%3) })
	w.copyLateHeartbeat(r)
	wk.copyHeartbeatLater(r)
	if w.transport != nil {
		w.transport.sendHeartbeat(wk.node, r, s.receive)
		return
	}
	if wk.outboundCut {
		w.countOccurrence("reports of mute machines")
	}
	if !s.node.up || wk.outboundCut {
		w.after(micros.Second/100, func() {
			s.finish(w.now+micros.Second, (wk.node+1)%3)
			wk.nextHeartbeatAt = max(wk.nextHeartbeatAt, w.now+micros.Second)
		})
		return
	}
	w.deliverWorkerLink(s.node, wk, func() {
		if !s.node.up {
			return
		}
		w.request(s.node, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: r} }, func(a message.Answer) {
			w.deliverWorkerLink(s.node, wk, func() { s.receive(a) })
		})
	})
}

// copyHeartbeatLater has a copy of some reports arrive again, up to two leases later.
func (wk *worker) copyHeartbeatLater(r *api.Heartbeat) {
	w := wk.sim
	if w.scenario.HeartbeatCopies <= 0 || w.rng.Float64() >= w.scenario.HeartbeatCopies {
		return
	}
	late := *r
	w.after(micros.Second+micros.Random(w.rng, micros.FromSeconds(2*w.scenario.LeaseS)), func() {
		if n := w.nodes[w.rng.IntN(3)]; n.up && !n.cutLinks["workers"] && !n.cutLinks["all"] {
			w.request(n, func(req uint64) message.Input { return message.WorkerHeartbeat{RequestID: req, Heartbeat: &late} }, func(message.Answer) {})
		}
	})
}

// finish ends the wait for the answer: the next report goes to a node by a time.
func (s *heartbeatCall) finish(next micros.Micros, node int) {
	wk := s.worker
	if wk.pendingCall == s.number {
		wk.pendingCall = 0
		wk.node = node
		wk.nextHeartbeatAt = min(wk.nextHeartbeatAt, next)
	}
}

// receive takes in an answer, unless the worker does not hear it.
func (s *heartbeatCall) receive(a message.Answer) {
	wk := s.worker
	if wk.inboundCut {
		wk.sim.countOccurrence("answers to deaf machines")
		return
	}
	wk.whenRunning(func() {
		if wk.pendingCall != s.number || wk.incarnation != s.incarnation {
			return // given up on, or of an earlier session
		}
		o, ok := a.Body.(api.HeartbeatResponse)
		if !ok || a.Status != 200 {
			s.tryOther(a)
			return
		}
		s.finish(wk.nextHeartbeatAt, wk.node)
		if o.FencingToken < wk.fencingToken {
			return
		}
		wk.raiseToken(o.FencingToken)
		wk.leaseStart = s.sentAt
		wk.execute(o.Commands)
	})
}

// tryOther has the worker turn to another node: the one that is named, or the next.
func (s *heartbeatCall) tryOther(a message.Answer) {
	wk, w := s.worker, s.worker.sim
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
	wk.nextHeartbeatAt = w.now + wait
}

func (wk *worker) raiseToken(token uint64) {
	if token > wk.fencingToken {
		wk.fencingToken = token
		wk.hastenHeartbeat()
	}
}

func (wk *worker) receiveCommands(p api.CommandRequest) (int, *api.Heartbeat) {
	if p.FencingToken < wk.fencingToken || p.Incarnation != wk.incarnation {
		return 409, wk.heartbeat()
	}
	wk.raiseToken(p.FencingToken)
	wk.execute(p.Commands)
	return 200, wk.heartbeat()
}

func (wk *worker) findTask(id string, attempt uint64) *workerTask {
	for _, t := range wk.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (wk *worker) execute(cmds []api.Command) {
	for _, c := range cmds {
		t := wk.findTask(c.Task, c.Attempt)
		wk.sim.logf("%s does %s %s attempt %d", wk.name, c.Op, c.Task, c.Attempt)
		switch {
		case c.Op == api.CommandStart && t == nil:
			wk.startTask(c)
		case c.Op == api.CommandStop && t != nil:
			t.stop(*c.GraceS)
		case c.Op == api.CommandForget && t != nil && t.state == api.TaskExited:
			wk.tasks = slices.DeleteFunc(wk.tasks, func(o *workerTask) bool { return o == t })
		}
	}
}

func (wk *worker) startTask(c api.Command) {
	job, _, _ := strings.Cut(c.Task, "/")
	t := &workerTask{worker: wk, id: c.Task, job: job, attempt: c.Attempt, state: api.TaskFetching}
	truth, ok := wk.sim.jobs[job]
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
	wk.hastenHeartbeat()
	fetch := micros.FromSeconds(truth.ImageGB)
	if wk.cachedImages[spec.Image] {
		fetch = micros.Second / 100
	}
	t.after(fetch, func() {
		wk.cachedImages[spec.Image] = true
		t.begin(truth)
	})
}

// hasRoom tells whether a task fits beside those that are there.
func (wk *worker) hasRoom(spec api.Job) bool {
	cpus, gpus := spec.CPUs, spec.GPUs
	for _, o := range wk.tasks {
		if o.state != api.TaskExited {
			other := wk.sim.jobs[o.job].spec(0)
			cpus, gpus = cpus+other.CPUs, gpus+other.GPUs
		}
	}
	return cpus <= wk.machineType.CPUs+1e-9 && gpus <= wk.machineType.GPUs+1e-9
}

// begin has a task run that has its image, or fail.
func (t *workerTask) begin(truth Job) {
	wk := t.worker
	t.counted = true
	wk.sim.checker.taskStarted(wk, t)
	switch {
	case wk.sim.completedTasks[t.id]:
		t.exit(api.ExitDone)
	case wk.failing || truth.AlwaysFails:
		wk.sim.countOccurrence("tasks that failed")
		t.after(micros.Second, func() { t.exit(api.ExitFailed) })
	case truth.spec(0).Kind == api.Gang:
		t.state = api.TaskWaiting
		wk.hastenHeartbeat()
		t.after(40*micros.Second, func() {
			if t.state == api.TaskWaiting {
				t.exit(api.ExitAlone)
			}
		})
		wk.sim.startGang(t, truth)
	default:
		t.run(truth)
	}
}

// after does something unless the task has ended or moved on by then.
func (t *workerTask) after(d micros.Micros, do func()) {
	epoch := t.generation
	t.worker.sim.after(d, func() {
		t.worker.whenRunning(func() {
			if t.generation == epoch && t.state != api.TaskExited {
				do()
			}
		})
	})
}

func (t *workerTask) run(truth Job) {
	t.state, t.runningSince = api.TaskRunning, t.worker.sim.now
	t.generation++
	t.worker.hastenHeartbeat()
	if truth.Kind == api.Service {
		return
	}
	t.resumedFrom = t.worker.sim.checkpoints[t.checkpointKey(truth)]
	left := micros.FromSeconds((truth.RunS + truth.StepS*t.index())) - t.resumedFrom
	t.after(max(left, micros.Second/10), func() { t.exit(api.ExitDone) })
}

// index is the task's number within its job.
func (t *workerTask) index() float64 {
	n, _ := strconv.Atoi(t.id[strings.IndexByte(t.id, '/')+1:])
	return float64(n)
}

// checkpointKey is what progress is saved under: a gang's is the job's.
func (t *workerTask) checkpointKey(truth Job) string {
	if truth.Kind == api.Gang {
		return t.job
	}
	return t.id
}

// startGang starts a gang once all its tasks wait.
func (w *Simulation) startGang(t *workerTask, truth Job) {
	mates := w.gangMembers(t)
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

func (w *Simulation) gangMembers(t *workerTask) []*workerTask {
	var list []*workerTask
	for _, wk := range w.workers {
		for _, o := range wk.tasks {
			if !wk.gone && o.job == t.job && o.attempt == t.attempt && o.state != api.TaskExited {
				list = append(list, o)
			}
		}
	}
	return list
}

func (t *workerTask) stop(grace float64) {
	truth := t.worker.sim.jobs[t.job]
	spec := truth.spec(0)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && spec.CheckpointIntervalS > 0 && grace >= spec.CheckpointSaveS:
		done := t.worker.sim.now - t.runningSince
		t.state = api.TaskCheckpointing
		t.generation++
		t.worker.hastenHeartbeat()
		t.after(micros.FromSeconds(spec.CheckpointSaveS), func() {
			t.worker.sim.checkpoints[t.checkpointKey(truth)] = max(t.worker.sim.checkpoints[t.checkpointKey(truth)], t.resumedFrom+done)
			t.checkpointStored = true
			t.exit(api.ExitStopped)
		})
	case t.state == api.TaskCheckpointing && grace > 0:
	default:
		t.exit(api.ExitStopped)
	}
}

// exit ends a task; its gang notices.
func (t *workerTask) exit(why api.ExitReason) {
	running := t.state == api.TaskRunning || t.state == api.TaskCheckpointing
	if why == api.ExitDone {
		t.worker.sim.completedTasks[t.id] = true
		if truth := t.worker.sim.jobs[t.job]; truth.Kind == api.Gang {
			for n := range max(1, truth.Tasks) { // a gang completes together
				t.worker.sim.completedTasks[t.job+"/"+strconv.Itoa(n)] = true
			}
		}
	}
	t.state, t.exitReason = api.TaskExited, why
	t.detach()
	t.worker.hastenHeartbeat()
	if why == api.ExitDone {
		t.worker.sim.taskCompleted(t.job)
	}
	if running && why != api.ExitDone {
		t.notifyGang()
	}
}

func (t *workerTask) notifyGang() {
	if t.worker.sim.jobs[t.job].Kind != api.Gang {
		return
	}
	for _, m := range t.worker.sim.gangMembers(t) {
		if m != t && m.state == api.TaskRunning {
			m.after(2*micros.Second, func() { m.exit(api.ExitMatesGone) })
		}
	}
}

func (t *workerTask) detach() {
	lost := t.counted && t.state == api.TaskRunning
	t.generation++
	if t.counted {
		t.counted = false
		t.worker.sim.checker.taskLeft(t)
	}
	if lost {
		t.state = api.TaskExited
		t.notifyGang()
	}
}
