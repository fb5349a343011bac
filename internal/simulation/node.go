package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"spurmoor/internal/core"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// partsPerMillion converts the drift of a clock to a ratio.
	partsPerMillion = 1e6
	// coreStream is the generator stream of the first controller's core. The cores of the
	// others use the next streams.
	coreStream = 100
	// incarnationShift shortens a random number to its 52 highest bits, so that a JSON number
	// holds the incarnation exactly.
	incarnationShift = 12
)

// node simulates a controller: its core, its process and its links.
type node struct {
	index int
	name  string
	clock Clock

	// The process.
	core           *core.Controller
	up             bool
	driftStartedAt micros.Micros // when its clock started to drift
	incarnation    int           // incremented at each start and end of its process
	// nextLimitsAnnounced reports whether its settings announce the store's next limits.
	nextLimitsAnnounced bool
	pendingRequests     map[uint64]func(message.Answer)
	lastRequestID       uint64
	commandsInFlight    int // direct commands without an answer yet
	maxCommandsInFlight int
	ordersDelayedUntil  micros.Micros // until then its orders wait in the process

	// While the process is paused its clock keeps running.
	paused       bool
	pausedInputs []message.Input // inputs that arrived during the pause
	pausedSends  []func()        // sends that became due during the pause

	// Its links.
	refusedByStore bool // the store refuses this node only
	watchStalled   bool // its watch gets no replies
	cutLinks       map[linkName]bool
	holdPackets    bool // packets on cut links are delivered once the cut ends
	heldPackets    []func()
}

// localTime returns the time that the node's clock shows at the given simulated time.
func (n *node) localTime(now micros.Micros) micros.Micros {
	drift := micros.Micros(float64(now-n.driftStartedAt) * n.clock.DriftPPM / partsPerMillion)
	return now + drift + micros.FromSeconds(n.clock.AheadS)
}

// zone returns the zone that the node is in.
func (n *node) zone() string { return zoneOfNode(n.index) }

// reaches reports whether the node is up and a link of it is not cut.
func (n *node) reaches(link linkName) bool {
	return n.up && !n.cutLinks[link] && !n.cutLinks[linkAll]
}

// whenRunning runs an action now or, if the node's process is paused, when it resumes.
func (n *node) whenRunning(action func()) {
	if n.paused {
		n.pausedSends = append(n.pausedSends, action)
		return
	}
	action()
}

// startNode starts a node's process with a new core. It keeps no state of an earlier process.
// It returns an error if the node's settings are invalid.
func (s *Simulation) startNode(node *node) error {
	set, err := s.scenario.settingsFor(node.index, node.nextLimitsAnnounced)
	if err != nil {
		return err
	}
	node.incarnation++
	node.up = true
	node.pendingRequests = map[uint64]func(message.Answer){}
	node.paused, node.pausedInputs, node.pausedSends = false, nil, nil
	node.maxCommandsInFlight = set.Sockets.DirectCommands
	incarnation := s.rng.Uint64() >> incarnationShift
	random := rand.New(rand.NewPCG(s.scenario.Seed, uint64(coreStream+node.index)))
	node.core = core.New(set, leadership.Incarnation(incarnation), random)
	return nil
}

// restartNode ends a node's process and starts it again after a downtime. The function that
// draws the downtime is called after the process has ended.
func (s *Simulation) restartNode(node *node, downtime func() micros.Micros) {
	node.up = false
	node.incarnation++
	s.after(downtime(), func() {
		if err := s.startNode(node); err != nil {
			s.checker.report(invariantBoot, err.Error())
		}
	})
}

// step passes an input to a node's core and executes the effects. A paused node receives the
// input when it resumes, except for a tick, which is dropped.
func (s *Simulation) step(node *node, input message.Input) {
	if !node.up {
		return
	}
	if node.paused {
		if _, ok := input.(message.Tick); !ok {
			node.pausedInputs = append(node.pausedInputs, input)
		}
		return
	}
	for _, effect := range node.core.Step(node.localTime(s.now), input) {
		if s.observe != nil {
			s.observe(s.now, node.name, effect)
		}
		s.executeEffect(node, effect)
	}
}

// resumeNode ends a node's pause. It first runs the sends that became due during the pause,
// then handles the inputs that arrived.
func (s *Simulation) resumeNode(node *node) {
	node.paused = false
	sends, inputs := node.pausedSends, node.pausedInputs
	node.pausedSends, node.pausedInputs = nil, nil
	for _, send := range sends {
		send()
	}
	for _, input := range inputs {
		s.step(node, input)
	}
}

// inputBuilder returns the input for the request with the given ID.
type inputBuilder func(requestID uint64) message.Input

// request passes a request to a node. receive is called with the answer unless the node's
// process ends first.
func (s *Simulation) request(node *node, build inputBuilder, receive func(message.Answer)) {
	node.lastRequestID++
	requestID := node.lastRequestID
	node.pendingRequests[requestID] = receive
	s.peakPendingRequests = max(s.peakPendingRequests, len(node.pendingRequests))
	s.step(node, build(requestID))
}

// randomNode draws one of the nodes.
func (s *Simulation) randomNode() *node { return s.nodes[s.rng.IntN(len(s.nodes))] }

// leaderOf returns the node that the store records as a partition's leader, or nil if there is
// none.
func (s *Simulation) leaderOf(partition int) *node {
	record := s.store.keys[fmt.Sprintf("%s%d", records.PartitionPrefix, partition)]
	if record == nil {
		return nil
	}
	for _, node := range s.nodes {
		if strings.Contains(string(record.data), quoted(node.name)) {
			return node
		}
	}
	return nil
}

// quoted returns a name in the form that it has in a record. Records are searched rather than
// decoded, so that the simulation shares no types with the core.
func quoted(name string) string { return `"` + name + `"` }
