package simulation

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestScenarios plays every scenario under testdata.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sc, err := Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			runScenario(t, sc)
		})
	}
}

// TestSeeds plays the random day with faults drawn from many seeds: 20, or
// as many as SIMULATION_SEEDS says.
func TestSeeds(t *testing.T) { runSeeds(t, "testdata/random_1.toml", 1000, 20) }

// TestSlowSeeds is TestSeeds on days on which links are slow now and then.
func TestSlowSeeds(t *testing.T) { runSeeds(t, "testdata/random_slow_links.toml", 5000, 10) }

// TestDutySeeds is TestSeeds on days on which the fleet's duties have one holder each,
// rentals are recorded first, and controllers stand still with orders on their way.
func TestDutySeeds(t *testing.T) { runSeeds(t, "testdata/random_duties.toml", 9000, 10) }

// runSeeds plays a random day from many seeds: so many, or as many as
// SIMULATION_SEEDS says.
func runSeeds(t *testing.T, file string, first, seeds int) {
	t.Helper()
	if v := os.Getenv("SIMULATION_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatal(err)
		}
		seeds = n
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			sc, err := Parse([]byte(strings.Replace(string(text), "seed = 1\n", "seed = "+strconv.Itoa(seed)+"\n", 1)))
			if err != nil {
				t.Fatal(err)
			}
			if sc.Seed != uint64(seed) {
				t.Fatalf("seed is %d", sc.Seed)
			}
			runScenario(t, sc)
		})
	}
}

func runScenario(t *testing.T, sc *Scenario) {
	t.Helper()
	w, broken, err := Play(sc)
	if err != nil {
		t.Fatal(err)
	}
	if dir := os.Getenv("SIMULATION_LOG"); dir != "" {
		name := filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "_")+".log")
		if err := os.WriteFile(name, []byte(strings.Join(w.Log, "\n")), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if sc.LogContains != "" && !strings.Contains(strings.Join(w.Log, "\n"), sc.LogContains) {
		t.Errorf("the log does not say %q", sc.LogContains)
	}
	if sc.LogOmits != "" && strings.Contains(strings.Join(w.Log, "\n"), sc.LogOmits) {
		t.Errorf("the log says %q", sc.LogOmits)
	}
	if sc.ExpectedViolation != "" {
		for _, b := range broken {
			if strings.HasPrefix(b, string(sc.ExpectedViolation)+":") {
				return
			}
		}
		t.Fatalf("a deliberate breach of %s was not seen; broken: %q", sc.ExpectedViolation, broken)
	}
	if len(broken) > 0 {
		t.Errorf("broken:\n  %s", strings.Join(broken, "\n  "))
	}
}
