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
	// epochStart is the instant at which every run starts. Log lines show the time since
	// then.
	epochStart = 1_700_000_000 * micros.Second
	// tickPeriod is the interval between the ticks of a controller's core.
	tickPeriod = micros.Second / 10
	// coinFlipOutcomes is the number of outcomes of a random choice between two.
	coinFlipOutcomes = 2
	// jobIDFormat formats the number of a job as its ID.
	jobIDFormat = "wk-%06d"
	// simulationStream is the generator stream of all random numbers but those of the
	// controllers' cores and of the random faults.
	simulationStream = 1
)

// effectObserver is called with every effect of the cores, at the simulated time at which
// the effect is produced.
type effectObserver func(at micros.Micros, node string, effect message.Effect)

// Simulation is one run of a scenario.
type Simulation struct {
	// Log holds one line for each event that is logged, in the order of the events.
	Log []string

	scenario  *Scenario
	startedAt micros.Micros
	rng       *rand.Rand
	observe   effectObserver // may be nil

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

	jobs           map[string]Job           // by ID, once submitted
	specs          map[string]api.Job       // of these jobs, without their IDs; filled when needed
	checkpoints    map[string]micros.Micros // saved progress, by checkpoint key
	completedTasks map[string]bool
	orders         []receivedOrder            // in the order of their arrival at a simulated service or worker
	highestTerms   map[string]leadership.Term // highest term of an order that took effect, by role and machine
	leaderRecords  map[string]string          // the latest leader record of each partition, by key

	faults       faultState
	faultsOverAt micros.Micros // when the last injected fault ends
	occurrences  map[string]int

	peakPendingRequests  int // most requests that waited at one controller at a time
	peakCommandsInFlight int // most direct commands of one controller in flight at a time
	peakMachines         int // most machines that were up at a time
}

// transport carries the messages between workers and controllers over real sockets.
type transport interface {
	// sendHeartbeat sends a heartbeat to the node with this index and calls receive with the
	// answer.
	sendHeartbeat(nodeIndex int, heartbeat *api.Heartbeat, receive func(message.Answer))
	// listen starts to accept commands for a worker and returns the address to send them to.
	listen(worker *worker) string
}

// newSimulation prepares a run of a scenario. The caller starts the controllers.
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
		specs:          map[string]api.Job{},
		checkpoints:    map[string]micros.Micros{},
		completedTasks: map[string]bool{},
		highestTerms:   map[string]leadership.Term{},
		leaderRecords:  map[string]string{},
		occurrences:    map[string]int{},
	}
	sim.checker = newInvariantChecker(sim)
	sim.store = newKeyValueStore(sim)
	sim.cloud = newCloud(sim)
	for i := range scenario.Controllers {
		added := &node{index: i, name: nodeName(i), cutLinks: map[linkName]bool{}, driftStartedAt: sim.now}
		if i < len(scenario.Clocks) {
			added.clock = scenario.Clocks[i]
		}
		sim.nodes = append(sim.nodes, added)
	}
	return sim
}

// Run runs a scenario to its end and returns the simulation and the invariant violations,
// each as "invariant: details". It returns an error if a controller's settings are invalid.
func Run(scenario *Scenario) (*Simulation, []string, error) { return runObserved(scenario, nil) }

// runObserved is like Run, but also calls an observer with every effect of the cores.
func runObserved(scenario *Scenario, observe effectObserver) (*Simulation, []string, error) {
	sim := newSimulation(scenario, nil)
	sim.observe = observe
	for _, node := range sim.nodes {
		if err := sim.startNode(node); err != nil {
			return nil, nil, err
		}
	}
	sim.every(tickPeriod, sim.tickNodes)
	sim.every(micros.Second, sim.monitorMachines)
	sim.addUsers()
	for _, fault := range scenario.Faults {
		sim.faultsOverAt = max(sim.faultsOverAt, sim.startedAt+micros.FromSeconds(fault.AtS+fault.ForS))
		sim.schedule(sim.startedAt+micros.FromSeconds(fault.AtS), func() { sim.inject(fault) })
	}
	sim.runUntil(sim.startedAt + micros.FromSeconds(scenario.DurationS))
	sim.checker.checkAtEnd()
	return sim, sim.checker.violations, nil
}

// tickNodes passes a tick to every controller.
func (s *Simulation) tickNodes() {
	for _, node := range s.nodes {
		s.step(node, message.Tick{})
	}
}

// monitorMachines updates the highest number of machines that were up at a time, and checks
// for starved jobs.
func (s *Simulation) monitorMachines() {
	machinesUp := 0
	for _, worker := range s.workers {
		if worker.up && !worker.terminated {
			machinesUp++
		}
	}
	s.peakMachines = max(s.peakMachines, machinesUp)
	s.checker.checkStarvation()
}

// logf appends a line to the log, prefixed with the simulated time in seconds since the start.
func (s *Simulation) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", (s.now-epochStart).Seconds()) + fmt.Sprintf(format, args...)
	s.Log = append(s.Log, line)
}

// jobID returns the ID of the job with this number.
func jobID(number int) string { return fmt.Sprintf(jobIDFormat, number) }

// taskID returns the ID of a job's task with this index.
func taskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }
