package simulation

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

const (
	// Generator streams of the faults that are drawn: a stream of their own keeps a
	// scenario's other draws as they are when faults are added.
	faultStream     = 77
	slowLinksStream = 78

	// Lengths and arguments of random faults, in seconds.
	minFaultS        = 1
	faultSpreadS     = 25
	randomHangS      = 12
	minSlowLinksS    = 10
	slowLinksSpreadS = 50
)

// What a scenario file need not name; the units are those of the fields.
const (
	defaultSeed           = 1
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

// defaultScenario returns what a scenario file need not name.
func defaultScenario() *Scenario {
	return &Scenario{
		Seed: defaultSeed, DurationS: defaultDurationS,
		LeaseS: defaultLeaseS, CancelS: defaultCancelS, HeartbeatS: defaultHeartbeatS,
		MaxTransactionOps: defaultTransactionOps, RPS: defaultRPS, WriteRPS: defaultWriteRPS, ValueKB: defaultValueKB,
		Connections: defaultConnections,
	}
}

// defaultTeams returns the teams of a scenario that names none.
func defaultTeams() []Team {
	return []Team{
		{Name: "norte", GPUs: defaultTeamGPUs},
		{Name: "sur", GPUs: defaultTeamGPUs},
		{Name: "oeste", GPUs: defaultTeamGPUs},
	}
}

// defaultMachineTypes returns the machine types of a scenario that names none.
func defaultMachineTypes() []MachineType {
	return []MachineType{{
		Name: "g4", CPUs: defaultMachineCPUs, GPUs: defaultMachineGPUs,
		Price: defaultMachinePrice, BootS: defaultMachineBootS, Count: defaultMachineCount,
	}}
}

// Parse reads a scenario file, and draws its random faults. Unknown keys are errors.
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
		scenario.drawFaults(*scenario.Random)
	}
	return scenario, nil
}

// drawFaults adds random faults.
func (s *Scenario) drawFaults(random RandomFaults) {
	rng := rand.New(rand.NewPCG(s.Seed, faultStream))
	for range random.Faults {
		s.Faults = append(s.Faults, drawFault(rng, random))
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

// drawFault draws a fault. The order of the draws is part of each seed's meaning.
func drawFault(rng *rand.Rand, random RandomFaults) Fault {
	var fault Fault
	fault.AtS = random.FromS + rng.Float64()*(random.ToS-random.FromS)
	fault.ForS = minFaultS + rng.Float64()*faultSpreadS
	fault.Kind = random.Kinds[rng.IntN(len(random.Kinds))]
	fault.HangS = float64(rng.IntN(eitherOr)) * randomHangS
	fault.Node = rng.IntN(controllerCount)
	fault.HoldPackets = rng.IntN(eitherOr) == 0
	fault.Zone = zones[rng.IntN(len(zones))]
	return fault
}
