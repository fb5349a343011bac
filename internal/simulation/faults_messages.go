package simulation

import (
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// A late write is carried out 2 to 12 s late: after newer ones.
	minWriteDelay    = 2 * micros.Second
	writeDelaySpread = 10 * micros.Second
	// A late heartbeat arrives within two leases.
	minHeartbeatDelay          = 2 * micros.Second
	heartbeatDelaySpreadLeases = 1.8
	// keptHeartbeatDelay is how long after a failover the heartbeats kept for it arrive:
	// before those that the workers send to the new leader.
	keptHeartbeatDelay = micros.Second / 100
)

func (s *Simulation) injectLateWrites(fault injection) { s.faults.lateWrites = fault.partial() }

func (s *Simulation) injectLateHeartbeats(fault injection) { s.faults.lateHeartbeats = fault.partial() }

// delayTransaction carries out a transaction that a fault befalls: without a reply, and
// after newer ones, or at once. It reports whether it did.
func (s *Simulation) delayTransaction(sender *node, call message.StoreCall) bool {
	if call.Op != message.OpTransaction || !s.faults.lateWrites.befalls(s) {
		return false
	}
	carryOut := func() { s.store.call(sender, call, ignoreStoreReply) }
	if s.faults.lateWrites.mode == modeAtOnce {
		s.countOccurrence(occurredLostAnswer)
		s.deliver(sender, linkStore, carryOut)
		return true
	}
	s.countOccurrence(occurredLateWrite)
	delay := minWriteDelay + micros.Random(s.rng, writeDelaySpread)
	s.after(delay, func() { s.deliver(sender, linkStore, carryOut) })
	return true
}

// copyLateHeartbeat has a copy of a heartbeat that a fault befalls arrive again: within
// two leases, or when the next leader begins.
func (s *Simulation) copyLateHeartbeat(heartbeat *api.Heartbeat) {
	if !s.faults.lateHeartbeats.befalls(s) {
		return
	}
	duplicate := *heartbeat
	if s.faults.lateHeartbeats.mode == modeForNext {
		s.faults.heldForNextLeader = append(s.faults.heldForNextLeader, func() {
			s.countOccurrence(occurredKeptHeartbeat)
			for _, node := range s.nodes {
				s.receiveDuplicate(node, &duplicate)
			}
		})
		return
	}
	spread := micros.FromSeconds(heartbeatDelaySpreadLeases * s.scenario.LeaseS)
	s.after(minHeartbeatDelay+micros.Random(s.rng, spread), func() {
		s.countOccurrence(occurredLateHeartbeat)
		s.receiveDuplicate(s.randomNode(), &duplicate)
	})
}

// noteLeaderRecord notes that a partition has another leader, if a write says so. The
// heartbeats kept for it arrive now, before its workers' first ones.
func (s *Simulation) noteLeaderRecord(key string, value []byte) {
	previous := s.leaderRecords[key]
	if !strings.HasPrefix(key, records.PartitionPrefix) || previous == string(value) {
		return
	}
	if previous != "" {
		s.countOccurrence(occurredLeaderChange)
	}
	s.leaderRecords[key] = string(value)
	kept := s.faults.heldForNextLeader
	s.faults.heldForNextLeader = nil
	for _, deliver := range kept {
		s.after(keptHeartbeatDelay, deliver)
	}
}
