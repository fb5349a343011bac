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
	// partsPerMillion converts a clock's drift.
	partsPerMillion = 1e6
	// coreStream is the generator stream of the first controller's core; the others follow.
	coreStream = 100
	// incarnationShift leaves the 52 highest bits of a draw: an incarnation that JSON
	// numbers hold exactly.
	incarnationShift = 12
)

// node is a simulated controller: its core, its process and its links.
type node struct {
	index int
	name  string
	clock Clock

	// The process.
	core        *core.Controller
	up          bool
	startedAt   micros.Micros // when its clock was right
	incarnation int           // counts starts and ends of its process
	// nextLimitsAnnounced: its settings name the store's next limits.
	nextLimitsAnnounced bool
	pendingRequests     map[uint64]func(message.Answer)
	lastRequestID       uint64
	commandsInFlight    int // direct commands
	maxCommandsInFlight int
	sendsBlockedUntil   micros.Micros // until then its orders wait for a connection

	// While the process is paused its clock runs on.
	paused       bool
	pausedInputs []message.Input // inputs that arrived meanwhile
	pausedSends  []func()        // what was about to leave it meanwhile

	// Its links.
	refusedByStore bool // the store refuses this node alone
	watchStalled   bool // its watch gets no answers
	cutLinks       map[linkName]bool
	holdPackets    bool // packets on cut links are delivered once the cut ends
	heldPackets    []func()
}

// localTime returns the node's own clock at an instant.
func (n *node) localTime(now micros.Micros) micros.Micros {
	drift := micros.Micros(float64(now-n.startedAt) * n.clock.DriftPPM / partsPerMillion)
	return now + drift + micros.FromSeconds(n.clock.AheadS)
}

// zone returns the zone that the node is in.
func (n *node) zone() string { return zoneOfNode(n.index) }

// reaches reports whether a node is up and its link to a party is not cut.
func (n *node) reaches(party linkName) bool {
	return n.up && !n.cutLinks[party] && !n.cutLinks[linkAll]
}

// whenRunning does something once the node's process is not paused.
func (n *node) whenRunning(action func()) {
	if n.paused {
		n.pausedSends = append(n.pausedSends, action)
		return
	}
	action()
}

// boot starts a node's process; nothing of an earlier one remains.
func (s *Simulation) boot(node *node) error {
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

// stopAndBoot ends a node's process, and starts it again after a span, which is drawn
// once the process has ended.
func (s *Simulation) stopAndBoot(node *node, downtime func() micros.Micros) {
	node.up = false
	node.incarnation++
	s.after(downtime(), func() {
		if err := s.boot(node); err != nil {
			s.checker.violated(invariantBoot, err.Error())
		}
	})
}

// step hands an input to a node's core and performs the effects. A paused node gets it
// when it resumes.
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
		s.perform(node, effect)
	}
}

// resumeNode ends a node's pause: first what was about to leave leaves, then what arrived
// meanwhile is handled.
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

// inputFor makes the input of a request with its id.
type inputFor func(requestID uint64) message.Input

// request hands a request to a node; receive gets the answer unless the process ends first.
func (s *Simulation) request(node *node, input inputFor, receive func(message.Answer)) {
	node.lastRequestID++
	requestID := node.lastRequestID
	node.pendingRequests[requestID] = receive
	s.peakWaiting = max(s.peakWaiting, len(node.pendingRequests))
	s.step(node, input(requestID))
}

// randomNode draws a node.
func (s *Simulation) randomNode() *node { return s.nodes[s.rng.IntN(controllerCount)] }

// leaderOf returns the node that the store names as a partition's leader; nil: none.
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

// quoted returns a name as it stands in a record. Records are searched rather than decoded,
// so that the simulation shares no types with the core.
func quoted(name string) string { return `"` + name + `"` }
