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

func (s *Simulation) injectCrash(i injection) { s.crash(i.target, i.lasts) }

func (s *Simulation) injectCrashAll(i injection) {
	for _, node := range s.nodes {
		s.crash(node, i.lasts)
	}
}

// injectBriefRestart ends a controller, even one that is down, whose next start is then
// followed by another.
func (s *Simulation) injectBriefRestart(i injection) {
	s.stopAndBoot(i.target, func() micros.Micros {
		return minBriefDowntime + micros.Random(s.rng, briefDowntimeSpread)
	})
}

// injectUpgrade restarts a controller with settings that name the store's next limits.
func (s *Simulation) injectUpgrade(i injection) {
	i.target.nextLimitsAnnounced = true
	s.crash(i.target, i.lasts)
}

// injectPause pauses a controller's process while its clock runs on.
func (s *Simulation) injectPause(i injection) {
	incarnation := i.target.incarnation
	i.target.paused = true
	s.after(i.lasts, func() {
		if i.target.incarnation == incarnation {
			s.resumeNode(i.target)
		}
	})
}

// injectSendsWait has orders wait in the process, as when connections are short.
func (s *Simulation) injectSendsWait(i injection) { i.target.sendsBlockedUntil = i.until }

func (s *Simulation) injectRefusedByStore(i injection) {
	i.target.refusedByStore = true
	s.after(i.lasts, func() { i.target.refusedByStore = false })
}

// injectWatchStalled stalls a node's watch; what else the node asks is answered.
func (s *Simulation) injectWatchStalled(i injection) {
	i.target.watchStalled = true
	s.after(i.lasts, func() { i.target.watchStalled = false })
}

// injectLeaseExpiry expires a node's leases at the store, as if it had been cut off for
// long enough.
func (s *Simulation) injectLeaseExpiry(i injection) { s.store.expireLeasesOf(i.target) }

func (s *Simulation) injectCut(i injection) {
	s.cutLink(i.target, linkName(i.argument), i.HoldPackets, i.lasts)
}

// injectIsolated cuts a controller off from all but its workers.
func (s *Simulation) injectIsolated(i injection) {
	s.cutLink(i.target, linkStore, i.HoldPackets, i.lasts)
	s.cutLink(i.target, linkPeers, i.HoldPackets, i.lasts)
}

func (s *Simulation) injectZoneCut(i injection) { s.cutZone(i.Zone, i.lasts) }

func (s *Simulation) injectSlowLinks(i injection) { s.faults.slowLinksUntil = i.until }
