package simulation

import "spurmoor/internal/micros"

// linkName names the parties that a node has a link to. They are the arguments of the
// fault "cut".
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
	// minLatency and latencySpread bound the delay of a packet on a sound link.
	minLatency    = micros.Millisecond
	latencySpread = 5 * micros.Millisecond

	// Slow links: delays as between distant zones when they are congested, and packets
	// that are lost and resent.
	slowLinkDelay = 400 * micros.Millisecond
	slowLinkLoss  = 0.02
	resendMin     = micros.Second
	resendMax     = 2 * micros.Second

	// minRepeatDelay is the shortest time after which a request is carried out again.
	minRepeatDelay = micros.Second / 2
	// repeatWithinLeases is within how many leases that happens.
	repeatWithinLeases = 2
)

// latency draws how long a packet takes.
func (s *Simulation) latency() micros.Micros {
	delay := minLatency + micros.Random(s.rng, latencySpread)
	if s.now >= s.faults.slowLinksUntil {
		return delay
	}
	delay += micros.Random(s.rng, slowLinkDelay)
	if s.rng.Float64() < slowLinkLoss {
		s.countOccurrence(occurredPacketLoss)
		delay += resendMin + micros.Random(s.rng, resendMax-resendMin)
	}
	return delay
}

// deliver delivers something between a node and a party unless that link is cut by then;
// a cut may hold it back until it ends.
func (s *Simulation) deliver(node *node, party linkName, action func()) {
	s.after(s.latency(), func() {
		switch {
		case !node.cutLinks[party] && !node.cutLinks[linkAll]:
			action()
		case node.holdPackets:
			node.heldPackets = append(node.heldPackets, action)
		}
	})
}

// deliverWorkerLink delivers something between a node and a worker. A cut between their
// zones holds it back until the cut ends.
func (s *Simulation) deliverWorkerLink(node *node, worker *worker, action func()) {
	isolated := s.faults.isolatedZone
	if isolated != "" && (node.zone() == isolated) != (worker.zone == isolated) {
		s.faults.heldAtZoneCut = append(s.faults.heldAtZoneCut, func() { s.deliver(node, linkWorkers, action) })
		return
	}
	s.deliver(node, linkWorkers, action)
}

// maybeRepeat carries a request out once more, long after the first time, for the share
// of requests that the scenario repeats.
func (s *Simulation) maybeRepeat(action func()) {
	if s.scenario.Repeats > 0 && s.rng.Float64() < s.scenario.Repeats {
		within := micros.FromSeconds(repeatWithinLeases * s.scenario.LeaseS)
		s.after(minRepeatDelay+micros.Random(s.rng, within), action)
	}
}

// cutLink cuts a node's link for a time.
func (s *Simulation) cutLink(node *node, party linkName, hold bool, lasts micros.Micros) {
	node.cutLinks[party], node.holdPackets = true, hold
	s.after(lasts, func() {
		node.cutLinks[party] = false
		held := node.heldPackets
		node.heldPackets = nil
		for _, deliver := range held {
			deliver()
		}
	})
}

// cutZone cuts a zone off from all that is outside it for a time. Packets are held back
// until the cut ends.
func (s *Simulation) cutZone(zone string, lasts micros.Micros) {
	s.faults.isolatedZone = zone
	for _, node := range s.nodes {
		if node.zone() != zone {
			continue
		}
		for _, party := range []linkName{linkStore, linkPeers, linkCloud, linkUsers} {
			s.cutLink(node, party, true, lasts)
		}
	}
	s.after(lasts, func() {
		s.faults.isolatedZone = ""
		held := s.faults.heldAtZoneCut
		s.faults.heldAtZoneCut = nil
		for _, deliver := range held {
			deliver()
		}
	})
}
