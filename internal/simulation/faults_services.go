package simulation

import (
	"fmt"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// maxSlowReplyDelay is the longest delay of a reply of a store that answers slowly.
const maxSlowReplyDelay = micros.Second

func (s *Simulation) injectStoreOutage(fault injection) { s.store.startOutage(fault.duration) }

func (s *Simulation) injectSlowStore(fault injection) { s.faults.slowStoreUntil = fault.until }

// injectLowerLimits replaces the store's limits by its next limits.
func (s *Simulation) injectLowerLimits(injection) {
	next := s.scenario.NextLimits
	s.scenario.WriteRPS, s.scenario.ValueKB, s.scenario.MaxTransactionOps = next.WriteRPS, next.ValueKB, next.MaxTransactionOps
	s.store.writes.rate = next.WriteRPS
}

// injectCorruptLogEntry overwrites the first entry of a partition's log with a value that
// controllers can't decode.
func (s *Simulation) injectCorruptLogEntry(fault injection) {
	prefix := fmt.Sprintf("%s%d/", records.LogPrefix, max(0, fault.Partition-1))
	if keys := s.store.sortedKeys(prefix); len(keys) > 0 {
		s.store.apply([]api.Write{{Put: keys[0], Value: []byte(`"?"`)}})
	}
}

func (s *Simulation) injectCloudOutage(fault injection) {
	s.cloud.down = true
	s.after(fault.duration, func() { s.cloud.down = false })
}

func (s *Simulation) injectNoCapacity(fault injection) {
	s.cloud.noCapacity = true
	s.after(fault.duration, func() { s.cloud.noCapacity = false })
}

func (s *Simulation) injectSlowBoot(fault injection) {
	s.cloud.bootFaultsUntil, s.cloud.bootFailShare, s.cloud.bootFactor = fault.until, fault.Share, fault.Factor
}

// injectLateLaunch launches machines that no controller recorded, as after a launch request
// whose answer was lost.
func (s *Simulation) injectLateLaunch(fault injection) {
	for range max(1, fault.Count) {
		s.cloud.launch(&api.LaunchRequest{
			Name: "late", Type: s.scenario.MachineTypes[0].Name, Zone: zones[0], Count: 1,
		})
	}
}
