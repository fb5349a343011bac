package simulation

import "spurmoor/internal/micros"

const (
	// minDowntime is the shortest downtime of a crashed controller.
	minDowntime = micros.Second / 5
	// A brief restart lasts 50 to 300 ms.
	minBriefDowntime    = 50 * micros.Millisecond
	briefDowntimeSpread = 250 * micros.Millisecond
)

// crashNode ends a controller's process if it is up, and starts it again after a downtime.
func (s *Simulation) crashNode(target *node, downtime micros.Micros) {
	if target.up {
		s.restartNode(target, func() micros.Micros { return max(downtime, minDowntime) })
	}
}

func (s *Simulation) injectCrash(fault injection) { s.crashNode(fault.target, fault.duration) }

func (s *Simulation) injectCrashAll(fault injection) {
	for _, node := range s.nodes {
		s.crashNode(node, fault.duration)
	}
}

// injectBriefRestart restarts a controller with a short downtime. If the controller is down
// already, both this start and the pending one take place, so that it starts twice in a row.
func (s *Simulation) injectBriefRestart(fault injection) {
	s.restartNode(fault.target, func() micros.Micros {
		return minBriefDowntime + micros.Random(s.rng, briefDowntimeSpread)
	})
}

// injectUpgrade restarts a controller with settings that announce the store's next limits.
func (s *Simulation) injectUpgrade(fault injection) {
	fault.target.nextLimitsAnnounced = true
	s.crashNode(fault.target, fault.duration)
}

// injectPause pauses a controller's process. Its clock keeps running.
func (s *Simulation) injectPause(fault injection) {
	incarnation := fault.target.incarnation
	fault.target.paused = true
	s.after(fault.duration, func() {
		if fault.target.incarnation == incarnation {
			s.resumeNode(fault.target)
		}
	})
}

// injectDelayedOrders makes a controller's orders wait in its process, as they do when all
// connections are in use.
func (s *Simulation) injectDelayedOrders(fault injection) {
	fault.target.ordersDelayedUntil = fault.until
}

func (s *Simulation) injectRefusedByStore(fault injection) {
	fault.target.refusedByStore = true
	s.after(fault.duration, func() { fault.target.refusedByStore = false })
}

// injectWatchStalled withholds the replies to a node's watch. Its other requests are answered.
func (s *Simulation) injectWatchStalled(fault injection) {
	fault.target.watchStalled = true
	s.after(fault.duration, func() { fault.target.watchStalled = false })
}

// injectLeaseExpiry expires a node's leases at the store, as if the node had been cut off for
// longer than their time to live.
func (s *Simulation) injectLeaseExpiry(fault injection) { s.store.expireLeasesOf(fault.target) }

func (s *Simulation) injectLinkCut(fault injection) {
	s.cutLink(fault.target, linkName(fault.argument), fault.HoldPackets, fault.duration)
}

// injectIsolation cuts a controller off from the store and the other controllers. Workers,
// users and the cloud still reach it.
func (s *Simulation) injectIsolation(fault injection) {
	s.cutLink(fault.target, linkStore, fault.HoldPackets, fault.duration)
	s.cutLink(fault.target, linkPeers, fault.HoldPackets, fault.duration)
}

func (s *Simulation) injectZoneCut(fault injection) { s.cutZone(fault.Zone, fault.duration) }

func (s *Simulation) injectSlowLinks(fault injection) { s.faults.slowLinksUntil = fault.until }
