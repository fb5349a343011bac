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
	sessionsScenario    = "testdata/random_sessions.toml"
	pipelinesScenario   = "testdata/random_pipelines.toml"
)

// scenarioFiles returns the paths of all scenario files.
func scenarioFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got scenario files %q, error %v, want at least one file", files, err)
	}
	return files
}

// readFile returns the content of a file, and fails the test if it cannot be read.
func readFile(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withSeed returns the text of a random scenario with its seed, 1 in the file, replaced.
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

// TestSeeds runs the random scenario once for each of 20 consecutive seeds, from which its
// faults are drawn. SIMULATION_SEEDS sets another number of seeds.
func TestSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, randomScenario, 1000, 20)
}

// TestSlowSeeds is TestSeeds with periods during which all links are slow.
func TestSlowSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, slowLinksScenario, 5000, 10)
}

// TestDutySeeds is TestSeeds with one leader for each of the fleet's roles, with launches that
// are recorded before they are requested, and with controllers that are paused while orders
// that they decided have not left the process.
func TestDutySeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, randomRolesScenario, 9000, 10)
}

// TestSessionSeeds is TestSeeds with workers that begin new incarnations while only direct
// commands reach them, some of them late, in deployments of several sizes and lease times.
func TestSessionSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, sessionsScenario, 13515, 10)
}

// TestPipelineSeeds is TestSeeds with long pipelines that are cancelled while controllers
// restart and the store answers slowly.
func TestPipelineSeeds(t *testing.T) {
	t.Parallel()
	runSeeds(t, pipelinesScenario, 17175, 10)
}

// runSeeds runs a random scenario, as a subtest each, for count consecutive seeds from
// firstSeed on. SIMULATION_SEEDS overrides count.
func runSeeds(t *testing.T, file string, firstSeed, count int) {
	t.Helper()
	if value := os.Getenv("SIMULATION_SEEDS"); value != "" {
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatal(err)
		}
		count = number
	}
	text := readFile(t, file)
	for seed := firstSeed; seed < firstSeed+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			scenario := mustParse(t, withSeed(text, seed))
			if scenario.Seed != uint64(seed) {
				t.Fatalf("got seed %d, want %d", scenario.Seed, seed)
			}
			runScenario(t, scenario)
		})
	}
}

// runScenario runs a scenario and checks that the log contains and omits what the scenario
// says. It checks that no invariant is violated or, if the scenario expects a violation, that
// this one is detected. If SIMULATION_LOG names a directory, the log is written to a file
// there.
func runScenario(t *testing.T, scenario *Scenario) {
	t.Helper()
	sim, violations, err := Run(scenario)
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
		t.Errorf("got a log without %q, want one that contains it", scenario.LogContains)
	}
	if scenario.LogOmits != "" && strings.Contains(log, scenario.LogOmits) {
		t.Errorf("got a log that contains %q, want one without it", scenario.LogOmits)
	}
	if scenario.ExpectedViolation != "" {
		for _, violation := range violations {
			if strings.HasPrefix(violation, string(scenario.ExpectedViolation)+":") {
				return
			}
		}
		t.Fatalf("got violations %q, want one of %s", violations, scenario.ExpectedViolation)
	}
	if len(violations) > 0 {
		t.Errorf("got violations, want none:\n  %s", strings.Join(violations, "\n  "))
	}
}
