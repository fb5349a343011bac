package simulation

import "spurmoor/internal/micros"

const (
	// minDowntime is the shortest time that a crashed controller is down.
	minDowntime = micros.Second / 5
	// A brief restart lasts 50 to 300 ms.
	minBriefDowntime    = 50 * micros.Millisecond
	briefDowntimeSpread = 250 * micros.Millisecond
)

// crash ends a controller that is up, and starts it again after a time.
func (s *Simulation) crash(target *node, lasts micros.Micros) {
	if target.up {
		s.stopAndBoot(target, func() micros.Micros { return max(lasts, minDowntime) })
	}
}

func (s *Simulation) injectCrash(fault injection) { s.crash(fault.target, fault.lasts) }

func (s *Simulation) injectCrashAll(fault injection) {
	for _, node := range s.nodes {
		s.crash(node, fault.lasts)
	}
}

// injectBriefRestart ends a controller, even one that is down, whose next start is then
// followed by another.
func (s *Simulation) injectBriefRestart(fault injection) {
	s.stopAndBoot(fault.target, func() micros.Micros {
		return minBriefDowntime + micros.Random(s.rng, briefDowntimeSpread)
	})
}

// injectUpgrade restarts a controller with settings that name the store's next limits.
func (s *Simulation) injectUpgrade(fault injection) {
	fault.target.nextLimitsAnnounced = true
	s.crash(fault.target, fault.lasts)
}

// injectPause pauses a controller's process while its clock runs on.
func (s *Simulation) injectPause(fault injection) {
	incarnation := fault.target.incarnation
	fault.target.paused = true
	s.after(fault.lasts, func() {
		if fault.target.incarnation == incarnation {
			s.resumeNode(fault.target)
		}
	})
}

// injectSendsWait has orders wait in the process, as when connections are short.
func (s *Simulation) injectSendsWait(fault injection) { fault.target.sendsBlockedUntil = fault.until }

func (s *Simulation) injectRefusedByStore(fault injection) {
	fault.target.refusedByStore = true
	s.after(fault.lasts, func() { fault.target.refusedByStore = false })
}

// injectWatchStalled stalls a node's watch; what else the node asks is answered.
func (s *Simulation) injectWatchStalled(fault injection) {
	fault.target.watchStalled = true
	s.after(fault.lasts, func() { fault.target.watchStalled = false })
}

// injectLeaseExpiry expires a node's leases at the store, as if it had been cut off for
// long enough.
func (s *Simulation) injectLeaseExpiry(fault injection) { s.store.expireLeasesOf(fault.target) }

func (s *Simulation) injectCut(fault injection) {
	s.cutLink(fault.target, linkName(fault.argument), fault.HoldPackets, fault.lasts)
}

// injectIsolated cuts a controller off from all but its workers.
func (s *Simulation) injectIsolated(fault injection) {
	s.cutLink(fault.target, linkStore, fault.HoldPackets, fault.lasts)
	s.cutLink(fault.target, linkPeers, fault.HoldPackets, fault.lasts)
}

func (s *Simulation) injectZoneCut(fault injection) { s.cutZone(fault.Zone, fault.lasts) }

func (s *Simulation) injectSlowLinks(fault injection) { s.faults.slowLinksUntil = fault.until }
