package simulation

import (
	"fmt"
	"math/rand/v2"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// controllerCount is how many controllers serve a simulated cluster.
	controllerCount = 3
	// epochStart is the instant at which every run starts; log lines count from it.
	epochStart = 1_700_000_000 * micros.Second
	// tickPeriod is how often a controller's core gets a tick.
	tickPeriod = micros.Second / 10
	// eitherOr is how many outcomes a drawn choice between two has.
	eitherOr = 2
	// jobIDFormat is the form of a job's id.
	jobIDFormat = "wk-%06d"
	// simulationStream is the generator stream of everything but the controllers' own draws.
	simulationStream = 1
)

// effectObserver is called with every effect of the cores.
type effectObserver func(at micros.Micros, node string, effect message.Effect)

// Simulation is one run of a scenario.
type Simulation struct {
	// Log holds a line for each notable event of the run.
	Log []string

	scenario  *Scenario
	startedAt micros.Micros
	rng       *rand.Rand
	observe   effectObserver // nil: nobody observes

	now           micros.Micros
	events        eventQueue
	eventSequence int

	nodes         []*node
	store         *keyValueStore
	cloud         *cloud
	workers       []*worker
	workersByAddr map[string]*worker
	users         []*user
	usersByID     map[string]*user
	transport     transport // nil: heartbeats are delivered in simulated time
	checker       *invariantChecker

	jobs           map[string]Job           // by id, once submitted
	checkpoints    map[string]micros.Micros // progress saved, by checkpoint key
	completedTasks map[string]bool
	orders         []receivedOrder            // as they arrived at the stand-ins
	highestTerms   map[string]leadership.Term // highest term under which an order took effect, by role and machine
	leaderRecords  map[string]string          // the last leader record of each partition, by key

	faults       faultState
	faultsOverAt micros.Micros // when the last injected fault ends
	occurrences  map[string]int

	peakWaiting          int // requests at one controller
	peakCommandsInFlight int // direct commands of one controller
	peakMachines         int // machines that are up
}

// transport carries what the workers send over real sockets.
type transport interface {
	// sendHeartbeat sends a heartbeat to a node; receive gets its answer.
	sendHeartbeat(node int, heartbeat *api.Heartbeat, receive func(message.Answer))
	// listen serves a worker's commands, and returns the address.
	listen(worker *worker) string
}

// newSimulation prepares a run of a scenario whose controllers are not started yet.
func newSimulation(scenario *Scenario, transport transport) *Simulation {
	sim := &Simulation{
		scenario:       scenario,
		now:            epochStart,
		startedAt:      epochStart,
		rng:            rand.New(rand.NewPCG(scenario.Seed, simulationStream)),
		transport:      transport,
		workersByAddr:  map[string]*worker{},
		usersByID:      map[string]*user{},
		jobs:           map[string]Job{},
		checkpoints:    map[string]micros.Micros{},
		completedTasks: map[string]bool{},
		highestTerms:   map[string]leadership.Term{},
		leaderRecords:  map[string]string{},
		occurrences:    map[string]int{},
	}
	sim.checker = newInvariantChecker(sim)
	sim.store = newKeyValueStore(sim)
	sim.cloud = newCloud(sim)
	for i := range controllerCount {
		added := &node{index: i, name: nodeName(i), cutLinks: map[linkName]bool{}, startedAt: sim.now}
		if i < len(scenario.Clocks) {
			added.clock = scenario.Clocks[i]
		}
		sim.nodes = append(sim.nodes, added)
	}
	return sim
}

// Play runs a scenario to its end and returns the invariant violations.
func Play(scenario *Scenario) (*Simulation, []string, error) { return playObserved(scenario, nil) }

// playObserved is Play with every effect of the cores shown to an observer as well.
func playObserved(scenario *Scenario, observe effectObserver) (*Simulation, []string, error) {
	sim := newSimulation(scenario, nil)
	sim.observe = observe
	for _, node := range sim.nodes {
		if err := sim.boot(node); err != nil {
			return nil, nil, err
		}
	}
	sim.every(tickPeriod, sim.tickNodes)
	sim.every(micros.Second, sim.watchFleet)
	sim.addUsers()
	for _, fault := range scenario.Faults {
		sim.faultsOverAt = max(sim.faultsOverAt, sim.startedAt+micros.FromSeconds(fault.AtS+fault.ForS))
		sim.schedule(sim.startedAt+micros.FromSeconds(fault.AtS), func() { sim.inject(fault) })
	}
	sim.runUntil(sim.startedAt + micros.FromSeconds(scenario.DurationS))
	sim.checker.checkAtEnd()
	return sim, sim.checker.violations, nil
}

// tickNodes hands every controller a tick.
func (s *Simulation) tickNodes() {
	for _, node := range s.nodes {
		s.step(node, message.Tick{})
	}
}

// watchFleet notes how many machines are up, and looks for starved jobs.
func (s *Simulation) watchFleet() {
	machinesUp := 0
	for _, worker := range s.workers {
		if worker.up && !worker.gone {
			machinesUp++
		}
	}
	s.peakMachines = max(s.peakMachines, machinesUp)
	s.checker.checkStarvation()
}

// logf appends a line with the simulated time, in seconds since the start, to the log.
func (s *Simulation) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", (s.now-epochStart).Seconds()) + fmt.Sprintf(format, args...)
	s.Log = append(s.Log, line)
}

// jobID returns the id of the job with a number.
func jobID(number int) string { return fmt.Sprintf(jobIDFormat, number) }

// taskID returns the id of a job's task with an index.
func taskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }
