package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
)

const (
	// bootObservedWithin is how soon after a machine's launch this controller must have begun
	// to wait for it, for its boot time to be known.
	bootObservedWithin = 5 * micros.Second
	// slowBootWeightDivisor is the reciprocal of the weight that a slower boot has in the
	// typical duration.
	slowBootWeightDivisor = 4
	// untypedBootTimeout is how long a machine may take to boot if the catalog does not have
	// its type.
	untypedBootTimeout = 180 * micros.Second
	// sameLaunchWithin is how much earlier than a machine another one may have been launched
	// and still count as launched together with it.
	sameLaunchWithin = 5 * micros.Second
	// overdueFactor is how many times the boot time of its type a machine may take to boot.
	// unobservedOverdueFactor applies while no machine launched as late is up.
	overdueFactor           = 2
	unobservedOverdueFactor = 3
	// A machine may also take two and a half times the typical duration of recent boots.
	overdueTypicalNumerator   = 5
	overdueTypicalDenominator = 2
)

// BootStatistics holds how long recent boots took, by machine type.
type BootStatistics struct {
	*coordination.Environment

	bootTimes map[string]bootTime // by type
}

// NewBootStatistics returns statistics without any boots.
func NewBootStatistics(env *coordination.Environment) *BootStatistics {
	return &BootStatistics{Environment: env, bootTimes: map[string]bootTime{}}
}

// bootTime holds the observed boots of one machine type.
type bootTime struct {
	latestLaunchAt micros.Micros // latest launch of a machine that is up
	// typicalDuration is how long recent quick boots took. It falls at once and rises slowly.
	// 0 means that it is not known.
	typicalDuration micros.Micros
}

// Record records that a machine has booted.
func (b *BootStatistics) Record(machine *Machine) {
	boot := b.bootTimes[machine.Record.Type]
	boot.latestLaunchAt = max(boot.latestLaunchAt, machine.LaunchedAt)
	// The duration is unknown if another controller waited for the machine first: it may have
	// been up before this controller noticed.
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
	t.typicalDuration += (duration - t.typicalDuration) / slowBootWeightDivisor
}

// IsOverdue reports whether a booting machine no longer counts as future capacity. It is
// overdue once it takes more than twice the boot time of its type and far longer than recent
// boots of that type. If no machine of the type that was launched as late is up, all of them
// are slow and launching replacements would not provide capacity sooner. The limit is then
// three times the boot time of the type.
func (b *BootStatistics) IsOverdue(machine *Machine) bool {
	if machine.FirstHeartbeatAt > 0 {
		return false
	}
	age := b.Now - machine.LaunchedAt
	if machine.MachineType == nil {
		return age > untypedBootTimeout
	}
	nominal := micros.FromSeconds(machine.MachineType.BootS)
	boot := b.bootTimes[machine.Record.Type]
	if boot.typicalDuration > 0 && boot.latestLaunchAt >= machine.LaunchedAt-sameLaunchWithin {
		return age > max(overdueFactor*nominal, boot.typicalDuration*overdueTypicalNumerator/overdueTypicalDenominator)
	}
	return age > unobservedOverdueFactor*nominal
}
