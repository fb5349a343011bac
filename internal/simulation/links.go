package simulation

import "spurmoor/internal/micros"

// linkName is the name of a link of a node: the party at its other end. It is the argument of
// the fault "cut".
type linkName string

// Links of a node.
const (
	linkAll     linkName = "all"
	linkStore   linkName = "store"
	linkCloud   linkName = "cloud"
	linkPeers   linkName = "peers"
	linkUsers   linkName = "users"
	linkWorkers linkName = "workers"
)

const (
	// minLatency is the shortest delay of a packet on a healthy link. A random delay of up to
	// latencySpread is added.
	minLatency    = micros.Millisecond
	latencySpread = 5 * micros.Millisecond

	// Slow links have delays as between distant zones under congestion, and lose packets,
	// which are then resent.
	maxSlowLinkDelay = 400 * micros.Millisecond
	slowLinkLossRate = 0.02
	minResendDelay   = micros.Second
	maxResendDelay   = 2 * micros.Second

	// minRepeatDelay is the shortest time until a repeated request is executed again.
	minRepeatDelay = micros.Second / 2
	// repeatSpreadLeases is the longest random delay that is added to it, in lease terms.
	repeatSpreadLeases = 2
)

// latency draws the delay of a packet.
func (s *Simulation) latency() micros.Micros {
	delay := minLatency + micros.Random(s.rng, latencySpread)
	if s.now >= s.faults.slowLinksUntil {
		return delay
	}
	delay += micros.Random(s.rng, maxSlowLinkDelay)
	if s.rng.Float64() < slowLinkLossRate {
		s.countOccurrence(occurredPacketLoss)
		delay += minResendDelay + micros.Random(s.rng, maxResendDelay-minResendDelay)
	}
	return delay
}

// deliver delivers a packet on a node's link, after the link's latency, by running an action.
// If the link is cut by then, the packet is lost, or held until the cut ends if the node holds
// packets.
func (s *Simulation) deliver(node *node, link linkName, action func()) {
	s.after(s.latency(), func() {
		switch {
		case !node.cutLinks[link] && !node.cutLinks[linkAll]:
			action()
		case node.holdPackets:
			node.heldPackets = append(node.heldPackets, action)
		}
	})
}

// deliverOnWorkerLink delivers a packet between a node and a worker by running an action. If their
// zones are cut off from each other, the packet is held until the cut ends.
func (s *Simulation) deliverOnWorkerLink(node *node, worker *worker, action func()) {
	isolated := s.faults.isolatedZone
	if isolated != "" && (node.zone() == isolated) != (worker.zone == isolated) {
		s.faults.heldPackets = append(s.faults.heldPackets, func() { s.deliver(node, linkWorkers, action) })
		return
	}
	s.deliver(node, linkWorkers, action)
}

// maybeRepeat executes a request a second time after a random delay, for the share of requests
// that the scenario repeats.
func (s *Simulation) maybeRepeat(action func()) {
	if s.scenario.RepeatedRequests > 0 && s.rng.Float64() < s.scenario.RepeatedRequests {
		within := micros.FromSeconds(repeatSpreadLeases * s.scenario.LeaseS)
		s.after(minRepeatDelay+micros.Random(s.rng, within), action)
	}
}

// cutLink cuts a node's link for a time. Packets on it are held until then, or lost.
func (s *Simulation) cutLink(node *node, link linkName, holdPackets bool, duration micros.Micros) {
	node.cutLinks[link], node.holdPackets = true, holdPackets
	s.after(duration, func() {
		node.cutLinks[link] = false
		held := node.heldPackets
		node.heldPackets = nil
		for _, deliver := range held {
			deliver()
		}
	})
}

// cutZone cuts a zone off from everything outside it for a time. Packets are held until the cut
// ends.
func (s *Simulation) cutZone(zone string, duration micros.Micros) {
	s.faults.isolatedZone = zone
	for _, node := range s.nodes {
		if node.zone() != zone {
			continue
		}
		for _, link := range []linkName{linkStore, linkPeers, linkCloud, linkUsers} {
			s.cutLink(node, link, true, duration)
		}
	}
	s.after(duration, func() {
		s.faults.isolatedZone = ""
		held := s.faults.heldPackets
		s.faults.heldPackets = nil
		for _, deliver := range held {
			deliver()
		}
	})
}
