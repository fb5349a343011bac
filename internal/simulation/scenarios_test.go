package simulation

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	randomScenario      = "testdata/random_1.toml"
	slowLinksScenario   = "testdata/random_slow_links.toml"
	randomRolesScenario = "testdata/random_duties.toml"
)

// scenarioFiles lists the files of all scenarios.
func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	return files
}

// readFile reads a file as text.
func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withSeed returns a random scenario with another seed.
func withSeed(text string, seed int) string {
	return strings.Replace(text, "seed = 1\n", "seed = "+strconv.Itoa(seed)+"\n", 1)
}

// TestScenarios runs every scenario under testdata.
func TestScenarios(t *testing.T) {
	t.Parallel()
	for _, file := range scenarioFiles(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			t.Parallel()
			runScenario(t, mustParse(t, readFile(t, file)))
		})
	}
}

// TestSeeds runs the random scenario with faults drawn from many seeds: 20, or as many as
// SIMULATION_SEEDS says.
func TestSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, randomScenario, 1000, 20)
}

// TestSlowSeeds is TestSeeds with links that are slow now and then.
func TestSlowSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, slowLinksScenario, 5000, 10)
}

// TestDutySeeds is TestSeeds with exclusive roles of the fleet, with launches that are
// recorded first, and with controllers that are paused with orders on their way.
func TestDutySeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, randomRolesScenario, 9000, 10)
}

// runSeeds runs a random scenario from consecutive seeds: so many, or as many as
// SIMULATION_SEEDS says.
func runSeeds(t *testing.T, file string, first, count int) {
	t.Helper()
	if value := os.Getenv("SIMULATION_SEEDS"); value != "" {
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatal(err)
		}
		count = number
	}
	text := readFile(t, file)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			scenario := mustParse(t, withSeed(text, seed))
			if scenario.Seed != uint64(seed) {
				t.Fatalf("seed is %d", scenario.Seed)
			}
			runScenario(t, scenario)
		})
	}
}

// runScenario runs a scenario, and checks that no invariant is violated but the one that
// it names, and what it expects of the log. The log goes to a file if SIMULATION_LOG names
// a directory.
func runScenario(t *testing.T, scenario *Scenario) {
	t.Helper()
	sim, violations, err := Play(scenario)
	if err != nil {
		t.Fatal(err)
	}
	log := strings.Join(sim.Log, "\n")
	if dir := os.Getenv("SIMULATION_LOG"); dir != "" {
		name := filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "_")+".log")
		if err := os.WriteFile(name, []byte(log), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if scenario.LogContains != "" && !strings.Contains(log, scenario.LogContains) {
		t.Errorf("the log does not say %q", scenario.LogContains)
	}
	if scenario.LogOmits != "" && strings.Contains(log, scenario.LogOmits) {
		t.Errorf("the log says %q", scenario.LogOmits)
	}
	if scenario.ExpectedViolation != "" {
		for _, violation := range violations {
			if strings.HasPrefix(violation, string(scenario.ExpectedViolation)+":") {
				return
			}
		}
		t.Fatalf("a deliberate violation of %s was not detected; detected: %q", scenario.ExpectedViolation, violations)
	}
	if len(violations) > 0 {
		t.Errorf("broken:\n  %s", strings.Join(violations, "\n  "))
	}
}
