package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

// BootStatistics is how long machines of each type took to come up of late.
type BootStatistics struct {
	*coordination.Environment

	bootTimes map[string]bootTime // by type
}

// NewBootStatistics makes a boot statistics.
func NewBootStatistics(env *coordination.Environment) *BootStatistics {
	return &BootStatistics{Environment: env, bootTimes: map[string]bootTime{}}
}

// bootTime is what is seen of how long machines of a type take to come up.
type bootTime struct {
	youngestLaunchedAt micros.Micros // when the youngest that is up was rented
	typicalDuration    micros.Micros // the quick ones of late
}

// RecordBoot takes in that a machine came up.
func (s *BootStatistics) RecordBoot(m *Machine) {
	b := s.bootTimes[m.Record.Type]
	b.youngestLaunchedAt = max(b.youngestLaunchedAt, m.LaunchedAt)
	// Not of one that another controller saw come up.
	if took := s.Now - m.LaunchedAt; m.AwaitingHeartbeatSince < m.LaunchedAt+5*micros.Second {
		if b.typicalDuration == 0 || took < b.typicalDuration {
			b.typicalDuration = took
		} else {
			b.typicalDuration += (took - b.typicalDuration) / 4
		}
	}
	s.bootTimes[m.Record.Type] = b
}

// BootOverdue tells whether a machine that is not up does not count as room that comes
// any more: it takes twice as long as its type does, and far longer than others of it
// took of late, one of which was rented no earlier. Where none is up, all are late,
// and renting as many again would bring nothing sooner.
func (s *BootStatistics) BootOverdue(m *Machine) bool {
	if m.FirstHeartbeatAt > 0 {
		return false
	}
	if m.MachineType == nil {
		return s.Now > m.LaunchedAt+180*micros.Second
	}
	age, boot := s.Now-m.LaunchedAt, micros.FromSeconds(m.MachineType.BootS)
	if b := s.bootTimes[m.Record.Type]; b.typicalDuration > 0 && b.youngestLaunchedAt >= m.LaunchedAt-5*micros.Second {
		return age > max(2*boot, b.typicalDuration*5/2)
	}
	return age > 3*boot
}
