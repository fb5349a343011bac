package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

const (
	// bootObservedWithin is how soon after a machine's launch we must have begun to wait
	// for it, to know how long it took to come up.
	bootObservedWithin = 5 * micros.Second
	// bootTimeSmoothing is one over the weight of a slower boot in the typical duration.
	bootTimeSmoothing = 4
	// untypedBootTimeout is how long a machine of a type that the catalog does not have
	// may take to come up.
	untypedBootTimeout = 180 * micros.Second
	// sameLaunchWithin is by how much two machines' launches may differ for one that is up
	// to speak for the other.
	sameLaunchWithin = 5 * micros.Second
	// overdueBoots is how many times its type's boot time a machine may take to come up,
	// unobservedOverdueBoots where none launched as late is up.
	overdueBoots           = 2
	unobservedOverdueBoots = 3
	// A machine may also take two and a half times what its type typically took of late.
	overdueTypicalNumerator   = 5
	overdueTypicalDenominator = 2
)

// BootStatistics is how long machines of each type took to come up of late.
type BootStatistics struct {
	*coordination.Environment

	bootTimes map[string]bootTime // by type
}

// NewBootStatistics returns statistics of no boots.
func NewBootStatistics(env *coordination.Environment) *BootStatistics {
	return &BootStatistics{Environment: env, bootTimes: map[string]bootTime{}}
}

// bootTime is what was observed of how long machines of a type take to come up.
type bootTime struct {
	youngestLaunchedAt micros.Micros // when the youngest that is up was launched
	// typicalDuration is what quick boots of late took: it falls at once and rises slowly.
	// 0: not known.
	typicalDuration micros.Micros
}

// RecordBoot records that a machine came up.
func (b *BootStatistics) RecordBoot(machine *Machine) {
	boot := b.bootTimes[machine.Record.Type]
	boot.youngestLaunchedAt = max(boot.youngestLaunchedAt, machine.LaunchedAt)
	// Not if another controller waited for it, and perhaps saw it come up, before us.
	if machine.AwaitingHeartbeatSince < machine.LaunchedAt+bootObservedWithin {
		boot.addDuration(b.Now - machine.LaunchedAt)
	}
	b.bootTimes[machine.Record.Type] = boot
}

func (t *bootTime) addDuration(duration micros.Micros) {
	if t.typicalDuration == 0 || duration < t.typicalDuration {
		t.typicalDuration = duration
		return
	}
	t.typicalDuration += (duration - t.typicalDuration) / bootTimeSmoothing
}

// BootOverdue reports whether a machine that is not up no longer counts as capacity to
// come: it takes twice as long as its type should, and far longer than others of its type
// took of late, one of which was launched no earlier. Where none is up, all are late, and
// launching as many again would bring nothing sooner.
func (b *BootStatistics) BootOverdue(machine *Machine) bool {
	if machine.FirstHeartbeatAt > 0 {
		return false
	}
	age := b.Now - machine.LaunchedAt
	if machine.MachineType == nil {
		return age > untypedBootTimeout
	}
	nominal := micros.FromSeconds(machine.MachineType.BootS)
	boot := b.bootTimes[machine.Record.Type]
	if boot.typicalDuration > 0 && boot.youngestLaunchedAt >= machine.LaunchedAt-sameLaunchWithin {
		return age > max(overdueBoots*nominal, boot.typicalDuration*overdueTypicalNumerator/overdueTypicalDenominator)
	}
	return age > unobservedOverdueBoots*nominal
}
