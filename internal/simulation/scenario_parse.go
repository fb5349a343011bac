package simulation

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

const (
	// Generator streams of the random faults. Separate streams leave the other random
	// numbers of a scenario unchanged when faults are added.
	faultStream     = 77
	slowLinksStream = 78
	variantStream   = 79

	// Bounds of the durations of random faults, and the duration of a hang.
	minFaultS           = 1
	defaultFaultSpreadS = 25
	randomHangS         = 12
	minSlowLinksS       = 10
	slowLinksSpreadS    = 50
)

// Defaults of the fields of a scenario, in the units of the fields.
const (
	defaultSeed           = 1
	defaultControllers    = 3
	defaultDurationS      = 300
	defaultLeaseS         = 20
	defaultCancelS        = 45
	defaultHeartbeatS     = 3
	defaultTransactionOps = 12
	defaultRPS            = 200
	defaultWriteRPS       = 60
	defaultValueKB        = 8
	defaultConnections    = 1000
	defaultTeamGPUs       = 8
	defaultMachineCPUs    = 24
	defaultMachineGPUs    = 4
	defaultMachinePrice   = 8
	defaultMachineBootS   = 10
	defaultMachineCount   = 4
)

// defaultScenario returns a scenario with the defaults of fields that a file may omit.
func defaultScenario() *Scenario {
	return &Scenario{
		Seed: defaultSeed, DurationS: defaultDurationS, Controllers: defaultControllers,
		LeaseS: defaultLeaseS, CancelS: defaultCancelS, HeartbeatS: defaultHeartbeatS,
		MaxTransactionOps: defaultTransactionOps, RPS: defaultRPS, WriteRPS: defaultWriteRPS, ValueKB: defaultValueKB,
		MaxConnections: defaultConnections,
	}
}

// defaultTeams returns the teams of a scenario that defines none.
func defaultTeams() []Team {
	return []Team{
		{Name: "norte", GPUs: defaultTeamGPUs},
		{Name: "sur", GPUs: defaultTeamGPUs},
		{Name: "oeste", GPUs: defaultTeamGPUs},
	}
}

// defaultMachineTypes returns the machine types of a scenario that defines none.
func defaultMachineTypes() []MachineType {
	return []MachineType{{
		Name: "g4", CPUs: defaultMachineCPUs, GPUs: defaultMachineGPUs,
		Price: defaultMachinePrice, BootS: defaultMachineBootS, Count: defaultMachineCount,
	}}
}

// Parse decodes the text of a scenario file, sets the defaults and draws the random faults.
// It returns an error if the file has an unknown key.
func Parse(text []byte) (*Scenario, error) {
	scenario := defaultScenario()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(scenario.Teams) == 0 {
		scenario.Teams = defaultTeams()
	}
	if len(scenario.MachineTypes) == 0 {
		scenario.MachineTypes = defaultMachineTypes()
	}
	if scenario.Random != nil {
		scenario.drawVariant(*scenario.Random)
		scenario.drawFaults(*scenario.Random)
	}
	return scenario, nil
}

// drawVariant sets the deployment to one of the random variants, if there are any.
func (s *Scenario) drawVariant(random RandomFaults) {
	if len(random.Variants) == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(s.Seed, variantStream))
	variant := random.Variants[rng.IntN(len(random.Variants))]
	s.Controllers, s.HeartbeatS, s.LeaseS, s.CancelS = variant.Controllers, variant.HeartbeatS, variant.LeaseS, variant.CancelS
}

// drawFaults adds random faults to the scenario.
func (s *Scenario) drawFaults(random RandomFaults) {
	rng := rand.New(rand.NewPCG(s.Seed, faultStream))
	for range random.Faults {
		s.Faults = append(s.Faults, drawFault(rng, random, s.Controllers))
	}
	rng = rand.New(rand.NewPCG(s.Seed, slowLinksStream))
	for range random.SlowLinks {
		s.Faults = append(s.Faults, Fault{
			AtS:  random.FromS + rng.Float64()*(random.ToS-random.FromS),
			ForS: minSlowLinksS + rng.Float64()*slowLinksSpreadS,
			Kind: FaultSlowLinks,
		})
	}
}

// drawFault draws a fault. Another order of the draws would give every seed other faults.
func drawFault(rng *rand.Rand, random RandomFaults, controllers int) Fault {
	var fault Fault
	fault.AtS = random.FromS + rng.Float64()*(random.ToS-random.FromS)
	fault.ForS = minFaultS + rng.Float64()*cmp.Or(random.SpreadS, defaultFaultSpreadS)
	fault.Kind = random.Kinds[rng.IntN(len(random.Kinds))]
	fault.HangS = float64(rng.IntN(coinFlipOutcomes)) * randomHangS
	fault.Node = rng.IntN(controllers)
	fault.HoldPackets = rng.IntN(coinFlipOutcomes) == 0
	fault.Zone = zones[rng.IntN(len(zones))]
	if len(random.Shares) > 0 {
		fault.Share = random.Shares[rng.IntN(len(random.Shares))]
	}
	if len(random.Counts) > 0 {
		fault.Count = random.Counts[rng.IntN(len(random.Counts))]
	}
	return fault
}
