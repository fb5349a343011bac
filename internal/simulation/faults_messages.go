package simulation

import (
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// A late write is executed 2 to 12 s late, after newer ones.
	minWriteDelay    = 2 * micros.Second
	writeDelaySpread = 10 * micros.Second
	// The copy of a late heartbeat arrives 2 s late, plus up to 1.8 lease terms. For leases of
	// 10 s and longer that is within two lease terms.
	minHeartbeatDelay          = 2 * micros.Second
	heartbeatDelaySpreadLeases = 1.8
	// heldHeartbeatDelay is the time from a failover until the heartbeats that were held for
	// it arrive. It is so short that they arrive before the workers' own heartbeats to the new
	// leader.
	heldHeartbeatDelay = micros.Second / 100
	// Late commands are executed 2 to 16 s late.
	minCommandDelay    = 2 * micros.Second
	commandDelaySpread = 14 * micros.Second
)

func (s *Simulation) injectLateWrites(fault injection) { s.faults.lateWrites = fault.probabilistic() }

func (s *Simulation) injectLateHeartbeats(fault injection) {
	s.faults.lateHeartbeats = fault.probabilistic()
}

func (s *Simulation) injectLateCommands(fault injection) {
	s.faults.lateCommands = fault.probabilistic()
}

// delayCommands handles direct commands that a fault of late commands affects, and reports
// whether it does. They are held up on their way to the worker and executed once, late and
// without an answer.
func (s *Simulation) delayCommands(target *worker, execute func()) bool {
	if !s.faults.lateCommands.applies(s) && !target.lateCommands.applies(s) {
		return false
	}
	s.countOccurrence(occurredLateCommands)
	s.after(minCommandDelay+micros.Random(s.rng, commandDelaySpread), func() {
		if target.up && !target.inboundCut {
			target.whenRunning(execute)
		}
	})
	return true
}

// delayTransaction handles a transaction that a fault of late writes affects, and reports
// whether it does. The transaction is executed without a reply: late and after newer ones, or
// without delay in modeAtOnce.
func (s *Simulation) delayTransaction(sender *node, call message.StoreCall) bool {
	if call.Op != message.OpTransaction || !s.faults.lateWrites.applies(s) {
		return false
	}
	execute := func() { s.store.call(sender, call, ignoreStoreReply) }
	if s.faults.lateWrites.mode == modeAtOnce {
		s.countOccurrence(occurredLostAnswer)
		s.deliver(sender, linkStore, execute)
		return true
	}
	s.countOccurrence(occurredLateWrite)
	delay := minWriteDelay + micros.Random(s.rng, writeDelaySpread)
	s.after(delay, func() { s.deliver(sender, linkStore, execute) })
	return true
}

// copyLateHeartbeat delivers a copy of a heartbeat if a fault of late heartbeats affects it:
// after a random delay, or in modeForNext when a partition has its next leader. It reports
// whether the fault affects the heartbeat.
func (s *Simulation) copyLateHeartbeat(heartbeat *api.Heartbeat) bool {
	if !s.faults.lateHeartbeats.applies(s) {
		return false
	}
	duplicate := *heartbeat
	if s.faults.lateHeartbeats.mode == modeForNext {
		s.faults.heartbeatsForNextLeader = append(s.faults.heartbeatsForNextLeader, func() {
			s.countOccurrence(occurredHeldHeartbeat)
			for _, node := range s.nodes {
				s.receiveDuplicate(node, &duplicate)
			}
		})
		return true
	}
	spread := micros.FromSeconds(heartbeatDelaySpreadLeases * s.scenario.LeaseS)
	s.after(minHeartbeatDelay+micros.Random(s.rng, spread), func() {
		s.countOccurrence(occurredLateHeartbeat)
		s.receiveDuplicate(s.randomNode(), &duplicate)
	})
	return true
}

// recordLeaderChange records a write to the store if it changes a partition's leader record. It
// then schedules the delivery of the heartbeats that were held for the next leader, so that they
// arrive before the workers' first heartbeats to it.
func (s *Simulation) recordLeaderChange(key string, value []byte) {
	previous := s.leaderRecords[key]
	if !strings.HasPrefix(key, records.PartitionPrefix) || previous == string(value) {
		return
	}
	if previous != "" {
		s.countOccurrence(occurredLeaderChange)
	}
	s.leaderRecords[key] = string(value)
	held := s.faults.heartbeatsForNextLeader
	s.faults.heartbeatsForNextLeader = nil
	for _, deliver := range held {
		s.after(heldHeartbeatDelay, deliver)
	}
}
