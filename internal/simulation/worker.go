package simulation

import (
	"net/http"
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	workerHost      = "10.1.0.1:"
	workerFirstPort = 9000
	// workerTick is how often a worker looks at its lease and its next heartbeat.
	workerTick = micros.Second / 10
	// Machines boot in 0.6 to 1.5 times the time that the catalogue names.
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
	// hastenedGap is the least time between a heartbeat and one that is brought forward.
	hastenedGap = micros.Second / 2
)

// worker stands in for a machine with its worker.
type worker struct {
	sim             *Simulation
	name            string
	addr            string
	machineType     api.MachineType
	zone            string
	spot            bool
	launchedAt      micros.Micros
	up              bool
	gone            bool          // terminated
	interruptionAt  micros.Micros // when the cloud takes the spot machine back; zero: no notice
	incarnation     api.Incarnation
	fencingToken    api.FencingToken // the highest it has seen
	sequence        uint64           // of its last heartbeat
	tasks           []*workerTask
	cachedImages    map[string]bool
	leaseStart      micros.Micros // when the last answered heartbeat was sent
	node            int           // index of the node that it sends heartbeats to
	pendingCall     int64         // number of the heartbeat in flight; zero: none
	calls           int64         // heartbeats so far
	nextHeartbeatAt micros.Micros
	lastHeartbeatAt micros.Micros

	// Injected faults.
	hung        bool
	deferred    []func() // what happens once it is no longer hung
	failing     bool     // fails all tasks that it starts
	inboundCut  bool     // its heartbeats arrive; answers and commands do not reach it
	outboundCut bool     // it reaches no controller; commands reach it
}

// newWorker launches a machine, whose worker starts once the machine has booted.
func newWorker(sim *Simulation, name string, machineType api.MachineType, zone string, spot bool) *worker {
	launched := &worker{
		sim: sim, name: name, addr: workerHost + strconv.Itoa(workerFirstPort+len(sim.workers)),
		machineType: machineType, zone: zone, spot: spot,
		launchedAt: sim.now, incarnation: 1, cachedImages: map[string]bool{}, node: sim.rng.IntN(controllerCount),
	}
	sim.workers = append(sim.workers, launched)
	if sim.transport != nil {
		launched.addr = sim.transport.listen(launched)
	}
	sim.workersByAddr[launched.addr] = launched
	bootTime := micros.FromSeconds(machineType.BootS * (minBootFactor + bootFactorSpread*sim.rng.Float64()))
	sim.after(bootTime, func() {
		if !launched.gone {
			launched.up, launched.leaseStart = true, sim.now
			sim.every(workerTick, launched.tick)
		}
	})
	return launched
}

// healthy reports whether a machine is up and no injected fault befalls it.
func (w *worker) healthy() bool {
	return w.up && !w.gone && !w.hung && !w.inboundCut && !w.outboundCut && !w.failing
}

// idle reports whether a machine has no task that has not exited.
func (w *worker) idle() bool {
	return !slices.ContainsFunc(w.tasks, func(task *workerTask) bool { return task.state != api.TaskExited })
}

// whenRunning does something now, or when a hung machine resumes.
func (w *worker) whenRunning(action func()) {
	switch {
	case w.gone:
	case w.hung:
		w.deferred = append(w.deferred, action)
	default:
		action()
	}
}

// resume ends a hang. The lease is checked first: it may have expired meanwhile.
func (w *worker) resume() {
	w.hung = false
	deferred := w.deferred
	w.deferred = nil
	w.checkLease()
	for _, action := range deferred {
		w.whenRunning(action)
	}
}

// checkLease restarts the worker if its lease has expired.
func (w *worker) checkLease() {
	if !w.gone && w.sim.now > w.leaseStart+micros.FromSeconds(w.sim.scenario.LeaseS) {
		w.sim.logf("%s lease expired", w.name)
		w.restart()
	}
}

// restart begins a new incarnation without the tasks: the lease expired, or the worker's
// process ended and was back at once.
func (w *worker) restart() {
	for _, task := range w.tasks {
		task.detach()
	}
	w.tasks = nil
	w.incarnation++
	w.leaseStart = w.sim.now
	w.pendingCall = 0
	w.hastenHeartbeat()
}

// terminate ends the machine for good.
func (w *worker) terminate() {
	if w.gone {
		return
	}
	w.gone = true
	for _, task := range w.tasks {
		task.detach()
	}
	w.tasks = nil
}

// tick checks the lease and sends the next heartbeat if it is due.
func (w *worker) tick() {
	if w.gone {
		return
	}
	w.checkLease() // a hang does not outlast the lease: docs/questions.md
	if w.hung {
		return
	}
	if w.pendingCall == 0 && w.sim.now >= w.nextHeartbeatAt {
		w.sendHeartbeat()
	}
}

// receiveCommands answers direct commands with a status and a heartbeat. Those under an
// older fencing token, or for another incarnation, are refused.
func (w *worker) receiveCommands(request api.CommandRequest) (int, *api.Heartbeat) {
	if request.FencingToken < w.fencingToken || request.Incarnation != w.incarnation {
		return http.StatusConflict, w.heartbeat()
	}
	w.raiseToken(request.FencingToken)
	w.execute(request.Commands)
	return http.StatusOK, w.heartbeat()
}

// raiseToken takes over a higher fencing token.
func (w *worker) raiseToken(token api.FencingToken) {
	if token > w.fencingToken {
		w.fencingToken = token
		w.hastenHeartbeat()
	}
}

// execute carries out commands in their order; those that change nothing are passed over.
func (w *worker) execute(commands []api.Command) {
	for _, command := range commands {
		task := w.findTask(command.Task, command.Attempt)
		w.sim.logf("%s does %s %s attempt %d", w.name, command.Op, command.Task, command.Attempt)
		switch {
		case command.Op == api.CommandStart && task == nil:
			w.startTask(command)
		case command.Op == api.CommandStop && task != nil:
			task.stop(*command.GraceS)
		case command.Op == api.CommandForget && task != nil && task.state == api.TaskExited:
			w.tasks = slices.DeleteFunc(w.tasks, func(other *workerTask) bool { return other == task })
		}
	}
}

// findTask returns the attempt of a task; nil: not here.
func (w *worker) findTask(id string, attempt api.Attempt) *workerTask {
	for _, task := range w.tasks {
		if task.id == id && task.attempt == attempt {
			return task
		}
	}
	return nil
}

// hasRoom reports whether a task fits beside those that are there.
func (w *worker) hasRoom(spec api.Job) bool {
	cpus, gpus := spec.CPUs, spec.GPUs
	for _, task := range w.tasks {
		if task.state != api.TaskExited {
			other := w.sim.jobs[task.job].spec(0)
			cpus, gpus = cpus+other.CPUs, gpus+other.GPUs
		}
	}
	return cpus <= w.machineType.CPUs+resourceTolerance && gpus <= w.machineType.GPUs+resourceTolerance
}
