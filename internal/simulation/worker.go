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
	// workerTick is the interval between a worker's checks of its lease and its next heartbeat.
	workerTick = micros.Second / 10
	// Machines boot in 0.6 to 1.5 times the boot time of the catalog.
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
	// minHeartbeatGap is the shortest time from a heartbeat to one that is brought forward.
	minHeartbeatGap = micros.Second / 2
)

// worker simulates a machine and the worker that runs on it.
type worker struct {
	sim              *Simulation
	name             string
	addr             string
	machineType      api.MachineType
	zone             string
	spot             bool
	launchedAt       micros.Micros
	up               bool
	terminated       bool          // the machine no longer exists
	interruptionAt   micros.Micros // when the cloud terminates the spot machine; zero: no notice
	incarnation      api.Incarnation
	fencingToken     api.FencingToken // the highest that it has received
	sequence         uint64           // of its latest heartbeat; counts on in the next incarnation unless SequenceRestarts is set
	tasks            []*workerTask
	cachedImages     map[string]bool
	leaseStart       micros.Micros // when the latest answered heartbeat was sent
	nodeIndex        int           // index of the node that it sends heartbeats to
	pendingHeartbeat int64         // number of the heartbeat in flight; zero: none
	heartbeatCount   int64         // heartbeats sent so far
	nextHeartbeatAt  micros.Micros
	lastHeartbeatAt  micros.Micros

	// Injected faults.
	hung            bool
	deferredActions []func() // actions to run when it resumes
	failing         bool     // all tasks that it starts fail
	inboundCut      bool     // its heartbeats arrive, but no answers and commands reach it
	outboundCut     bool     // its heartbeats don't arrive, but commands reach it
	lateCommands    probabilisticFault
}

// newWorker launches a machine and adds it to the simulation. Its worker starts when the machine
// has booted.
func newWorker(sim *Simulation, name string, machineType api.MachineType, zone string, spot bool) *worker {
	launched := &worker{
		sim: sim, name: name, addr: workerHost + strconv.Itoa(workerFirstPort+len(sim.workers)),
		machineType: machineType, zone: zone, spot: spot,
		launchedAt: sim.now, incarnation: 1, cachedImages: map[string]bool{}, nodeIndex: sim.rng.IntN(len(sim.nodes)),
	}
	sim.workers = append(sim.workers, launched)
	if sim.transport != nil {
		launched.addr = sim.transport.listen(launched)
	}
	sim.workersByAddr[launched.addr] = launched
	bootTime := micros.FromSeconds(machineType.BootS * (minBootFactor + bootFactorSpread*sim.rng.Float64()))
	sim.after(bootTime, func() {
		if !launched.terminated {
			launched.up, launched.leaseStart = true, sim.now
			sim.every(workerTick, launched.tick)
		}
	})
	return launched
}

// healthy reports whether the machine is up and no injected fault affects it.
func (w *worker) healthy() bool {
	return w.up && !w.terminated && !w.hung && !w.inboundCut && !w.outboundCut && !w.failing
}

// idle reports whether all tasks on the machine have exited.
func (w *worker) idle() bool {
	return !slices.ContainsFunc(w.tasks, func(task *workerTask) bool { return task.state != api.TaskExited })
}

// whenRunning runs an action now or, if the machine is hung, when it resumes. It drops the action
// if the machine is terminated.
func (w *worker) whenRunning(action func()) {
	switch {
	case w.terminated:
	case w.hung:
		w.deferredActions = append(w.deferredActions, action)
	default:
		action()
	}
}

// resume ends a hang. It checks the lease before it runs the deferred actions, as the lease may
// have expired during the hang.
func (w *worker) resume() {
	w.hung = false
	deferred := w.deferredActions
	w.deferredActions = nil
	w.checkLease()
	for _, action := range deferred {
		w.whenRunning(action)
	}
}

// checkLease restarts the worker if its lease has expired.
func (w *worker) checkLease() {
	if !w.terminated && w.sim.now > w.leaseStart+micros.FromSeconds(w.sim.scenario.LeaseS) {
		w.sim.logf("%s lease expired", w.name)
		w.restart()
	}
}

// restart begins a new incarnation without tasks, after the lease expired or when the worker's
// process restarts.
func (w *worker) restart() {
	for _, task := range w.tasks {
		task.detach()
	}
	w.tasks = nil
	w.incarnation++
	if w.sim.scenario.SequenceRestarts {
		w.sequence = 0
	}
	w.leaseStart = w.sim.now
	w.pendingHeartbeat = 0
	w.expediteHeartbeat()
}

// terminate removes the machine and its tasks permanently.
func (w *worker) terminate() {
	if w.terminated {
		return
	}
	w.terminated = true
	for _, task := range w.tasks {
		task.detach()
	}
	w.tasks = nil
}

// tick checks the lease and sends the next heartbeat if it is due.
func (w *worker) tick() {
	if w.terminated {
		return
	}
	w.checkLease() // also while hung: the tasks of a hung machine end with its lease too, see docs/questions.md
	if w.hung {
		return
	}
	if w.pendingHeartbeat == 0 && w.sim.now >= w.nextHeartbeatAt {
		w.sendHeartbeat()
	}
}

// receiveCommands executes direct commands and returns the status and the heartbeat of the
// answer. It refuses commands with an older fencing token or for another incarnation.
func (w *worker) receiveCommands(request api.CommandRequest) (int, *api.Heartbeat) {
	if request.FencingToken < w.fencingToken || request.Incarnation != w.incarnation {
		return http.StatusConflict, w.heartbeat()
	}
	w.raiseToken(request.FencingToken)
	w.execute(request.Commands)
	return http.StatusOK, w.heartbeat()
}

// raiseToken adopts a fencing token if it is higher than the worker's.
func (w *worker) raiseToken(token api.FencingToken) {
	if token > w.fencingToken {
		w.fencingToken = token
		w.expediteHeartbeat()
	}
}

// execute executes commands in their order. It ignores commands that change nothing.
func (w *worker) execute(commands []api.Command) {
	for _, command := range commands {
		task := w.findTask(command.Task, command.Attempt)
		w.sim.logf("%s executes %s %s attempt %d", w.name, command.Op, command.Task, command.Attempt)
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

// findTask returns an attempt of a task, or nil if it is not on the machine.
func (w *worker) findTask(id string, attempt api.Attempt) *workerTask {
	for _, task := range w.tasks {
		if task.id == id && task.attempt == attempt {
			return task
		}
	}
	return nil
}

// hasRoom reports whether a task of a job fits on the machine beside its other tasks.
func (w *worker) hasRoom(spec api.Job) bool {
	cpus, gpus := spec.CPUs, spec.GPUs
	for _, task := range w.tasks {
		if task.state != api.TaskExited {
			other := w.sim.specOf(task.job)
			cpus, gpus = cpus+other.CPUs, gpus+other.GPUs
		}
	}
	return cpus <= w.machineType.CPUs+resourceTolerance && gpus <= w.machineType.GPUs+resourceTolerance
}
