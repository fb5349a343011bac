package core

import "spurmoor/internal/micros"

// bootStatistics is how long machines of each type took to come up of late.
type bootStatistics struct {
	*environment

	bootTimes map[string]bootTime // by type
}

func newBootStatistics(env *environment) *bootStatistics {
	return &bootStatistics{environment: env, bootTimes: map[string]bootTime{}}
}

// bootTime is what is seen of how long machines of a type take to come up.
type bootTime struct {
	youngestLaunchedAt micros.Micros // when the youngest that is up was rented
	typicalDuration    micros.Micros // the quick ones of late
}

func (s *bootStatistics) recordBoot(m *machine) {
	b := s.bootTimes[m.record.Type]
	b.youngestLaunchedAt = max(b.youngestLaunchedAt, m.launchedAt)
	// Not of one that another controller saw come up.
	if took := s.now - m.launchedAt; m.awaitedSince < m.launchedAt+5*micros.Second {
		if b.typicalDuration == 0 || took < b.typicalDuration {
			b.typicalDuration = took
		} else {
			b.typicalDuration += (took - b.typicalDuration) / 4
		}
	}
	s.bootTimes[m.record.Type] = b
}

// bootOverdue tells whether a machine that is not up does not count as room that comes
// any more: it takes twice as long as its type does, and far longer than others of it
// took of late, one of which was rented no earlier. Where none is up, all are late,
// and renting as many again would bring nothing sooner.
func (s *bootStatistics) bootOverdue(m *machine) bool {
	if m.firstHeartbeatAt > 0 {
		return false
	}
	if m.machineType == nil {
		return s.now > m.launchedAt+180*micros.Second
	}
	age, boot := s.now-m.launchedAt, micros.FromSeconds(m.machineType.BootS)
	if b := s.bootTimes[m.record.Type]; b.typicalDuration > 0 && b.youngestLaunchedAt >= m.launchedAt-5*micros.Second {
		return age > max(2*boot, b.typicalDuration*5/2)
	}
	return age > 3*boot
}
