package simulation

import (
	"bytes"
	"encoding/base64"
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"
	"github.com/vmihailenco/msgpack/v5"
)

// The record types of the version in production (deploy/service.toml), copied from it; the
// copies never change. That version ignores fields that it does not know, and drops them
// when it writes job records, log entries and partition records back. Of a job record it
// does not know the dependencies. The record changes only when the job is marked as
// cancelled, and a cancelled job no longer needs its dependencies.
type (
	productionPartition struct {
		Node string `json:"n"`
		Inc  uint64 `json:"i"`
	}
	productionJob struct {
		Spec struct {
			ID          string   `json:"Id"`
			Class       string   `json:"Clase"`
			Team        string   `json:"Dueno"`
			Kind        string   `json:"Forma"`
			Priority    string   `json:"Prelacion"`
			Tasks       int      `json:"Tareas"`
			CPUs        float64  `json:"Vcpus"`
			GPUs        float64  `json:"Accelerators"`
			MemoryGB    float64  `json:"MemoryGb"`
			Image       string   `json:"Imagen"`
			ImageGB     float64  `json:"SizeGb"`
			Types       []string `json:"Tipos,omitzero"`
			Zone        string   `json:"Zona"`
			OneZone     bool     `json:"Together"`
			Spread      bool     `json:"Apart"`
			Spot        bool     `json:"Prestadas"`
			EstimateS   float64  `json:"EstimadoS"`
			CheckpointS float64  `json:"RespaldoS"`
			SaveS       float64  `json:"GuardadoS"`
			DeadlineS   float64  `json:"PlazoS"`
		} `json:"j"`
		At        micros.Micros `json:"a"`
		Cancelled bool          `json:"x,omitzero"`
	}
	productionTerminalState struct {
		State string `json:"s"`
		Done  int    `json:"n"`
	}
	productionLogEntry struct {
		Seq  uint64 `json:"q"`
		Runs []struct {
			Job     string      `json:"j"`
			From    int         `json:"f,omitzero"`
			N       int         `json:"n,omitzero"`
			State   uint8       `json:"s,omitzero"`
			Attempt api.Attempt `json:"a,omitzero"`
			Machine string      `json:"m,omitzero"`
		} `json:"r,omitzero"`
		Machines []struct {
			Name  string        `json:"n"`
			Type  string        `json:"t,omitzero"`
			Zone  string        `json:"z,omitzero"`
			Spot  bool          `json:"s,omitzero"`
			Home  int           `json:"h,omitzero"`
			Cur   int           `json:"c,omitzero"`
			At    micros.Micros `json:"a,omitzero"`
			Gone  bool          `json:"d,omitzero"`
			Dead  bool          `json:"x,omitzero"`
			Epoch uint64        `json:"e"`
			Token uint64        `json:"k,omitzero"`
		} `json:"m,omitzero"`
	}
	productionHeartbeat struct {
		V       int
		Node    string
		StoreOK bool
		Idle    []struct{ Machine string }
		Asks    []struct {
			Machine    string
			Part       int
			Reclaim    bool
			Tier       int
			Guaranteed bool
		}
	}
)

// TestReadProductionRecords starts controllers of this version on records that production
// wrote in the middle of a run, and checks the state in which each job ends. The records
// hold placed jobs, a running gang, a job that is done, a cancelled job that has ended and a
// cancelled job that still runs.
func TestReadProductionRecords(t *testing.T) {
	sim := newSimulation(mustParse(t, "duration_s = 400\n"), nil)
	sim.cloud.nextInstance = 100 // above the numbers in the records: the cloud never gives a name twice
	loadProductionRecords(t, sim)
	for _, node := range sim.nodes {
		if err := sim.startNode(node); err != nil {
			t.Fatal(err)
		}
	}
	sim.every(tickPeriod, sim.tickNodes)
	sim.runUntil(sim.now + 300*micros.Second)
	for _, tc := range []struct {
		id   string
		want api.JobState
	}{
		{"wk-000001", api.JobDone},
		{"wk-000002", api.JobDone},
		{"wk-000003", api.JobDone},
		{"wk-000004", api.JobCancelled},
		{"wk-000005", api.JobCancelled},
	} {
		var got api.JobState
		asker := &user{sim: sim, id: tc.id}
		sim.request(sim.nodes[1], asker.statusInput, func(answer message.Answer) { got = stateIn(answer) })
		sim.runUntil(sim.now + 3*micros.Second)
		if got != tc.want {
			t.Errorf("state of %s: got %q, want %q", tc.id, got, tc.want)
		}
	}
	if len(sim.checker.violations) > 0 {
		t.Errorf("got violations %q, want none", sim.checker.violations)
	}
}

// loadProductionRecords fills the key-value store with production's records. It makes their
// jobs known to the simulation and checks that the recorded heartbeat can be read.
func loadProductionRecords(t *testing.T, sim *Simulation) {
	t.Helper()
	for line := range strings.Lines(readFile(t, "testdata/production/records.jsonl")) {
		var record api.KeyValue
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatal(err)
		}
		if record.Key == "peer" {
			checkReadsProductionHeartbeat(t, record.Value)
			continue
		}
		sim.store.revision = max(sim.store.revision, record.Version)
		if strings.HasPrefix(record.Key, records.PartitionPrefix) {
			continue // the leaders' leases have expired
		}
		sim.store.keys[record.Key] = &storedValue{data: record.Value, version: record.Version}
		var job productionJob
		if strings.HasPrefix(record.Key, records.JobPrefix) && json.Unmarshal(record.Value, &job) == nil {
			sim.jobs[job.Spec.ID] = Job{
				Kind: api.JobKind(job.Spec.Kind), Team: job.Spec.Team, Priority: api.Priority(job.Spec.Priority),
				Tasks: job.Spec.Tasks, CPUs: job.Spec.CPUs, GPUs: job.Spec.GPUs, RunS: 20,
				Spot: job.Spec.Spot, OneZone: job.Spec.OneZone,
			}
		}
	}
}

// checkReadsProductionHeartbeat checks that this version reads a heartbeat between
// controllers, which production sent, as production meant it. The heartbeat is in base64.
func checkReadsProductionHeartbeat(t *testing.T, value []byte) {
	t.Helper()
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		t.Fatal(err)
	}
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	heartbeat, err := peer.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if heartbeat.Node != "nodo-1" || !heartbeat.Healthy || heartbeat.SchemaVersion != 0 ||
		len(heartbeat.IdleMachines) != 1 || len(heartbeat.MachineRequests) != 1 || heartbeat.MachineRequests[0].Tier != 7 {
		t.Errorf("production's heartbeat: got %+v, want it from nodo-1, healthy, with schema version 0, "+
			"one idle machine and one machine request of tier 7", heartbeat)
	}
}

// TestProductionReadsRecords has production's types read all records that this version writes
// in runs with pipelines. It checks that what production reads means the same, and that
// production loses nothing that is still needed from the records that it writes back.
// Otherwise a downgrade, or an upgrade of one process at a time, would lose data.
func TestProductionReadsRecords(t *testing.T) {
	seen := map[string]int{}
	for _, name := range []string{"pipelines", "pipelines_cancelled", "store_limits_lowered"} {
		scenario := mustParse(t, readFile(t, "testdata/"+name+".toml"))
		scenario.DurationS = 60 // ends in the middle of the run
		sim, _, err := Run(scenario)
		if err != nil {
			t.Fatal(err)
		}
		for _, key := range sim.store.sortedKeys("") {
			seen[checkProductionReads(t, sim, name, key)]++
		}
	}
	for _, kind := range []string{"partition", "log", "job", "terminal state", "catalogue", "schema"} {
		if seen[kind] == 0 {
			t.Errorf("got no record of the kind %s, want at least one", kind)
		}
	}
	checkProductionReadsHeartbeat(t)
}

// checkProductionReads checks that production's type for a key reads the stored value, and
// returns the kind of record.
func checkProductionReads(t *testing.T, sim *Simulation, scenario, key string) string {
	t.Helper()
	kind, record, strict := productionRecordType(key)
	if kind == "" {
		t.Fatalf("%s: key %s has no kind of record that production knows", scenario, key)
	}
	if record == nil {
		return kind // production ignores the key: it does not know its prefix
	}
	value := sim.store.keys[key].data
	if err := json.Unmarshal(value, record, json.RejectUnknownMembers(strict)); err != nil {
		t.Fatalf("%s: %s: %v in %s", scenario, key, err, value)
	}
	checkSameMeaning(t, sim, scenario+": "+key, key, value, record)
	return kind
}

// productionRecordType returns the kind of record under a key, and a value of production's
// type for it; nil if production ignores the record. strict reports whether every field must
// be known to production, because it writes the record back or uses it as its own. Job records
// are not strict, although production writes them back: it drops only their dependencies.
func productionRecordType(key string) (kind string, record any, strict bool) {
	switch {
	case strings.HasPrefix(key, "live/p/"):
		return "partition", &productionPartition{}, true
	case strings.HasPrefix(key, "live/l/"):
		return "log", &productionLogEntry{}, true
	case strings.HasPrefix(key, "live/j/"):
		return "job", &productionJob{}, false
	case strings.HasPrefix(key, "over/"):
		return "terminal state", &productionTerminalState{}, false
	case key == "live/c":
		return "catalogue", &api.Catalog{}, true
	case key == "live/a":
		return "adoptions", &struct{}{}, true
	case strings.HasPrefix(key, "live/v/"):
		return "schema", nil, false
	}
	return "", nil, false
}

// checkSameMeaning checks that what production read from a record matches what this version
// wrote.
func checkSameMeaning(t *testing.T, sim *Simulation, what, key string, value []byte, read any) {
	t.Helper()
	switch read := read.(type) {
	case *productionJob:
		owner := sim.usersByID[read.Spec.ID]
		if owner == nil || key != "live/j/"+owner.id || read.Spec.Tasks != max(1, owner.job.Tasks) || read.At == 0 {
			t.Errorf("%s: got job %+v, want the submitted job", what, read)
		}
	case *productionTerminalState:
		if !isTerminal(api.JobState(read.State)) {
			t.Errorf("%s: got %+v, want a terminal state", what, read)
		}
	case *productionLogEntry:
		writtenBack, err := json.Marshal(read)
		if err != nil || !bytes.Equal(writtenBack, value) {
			t.Errorf("%s: production writes %s back as %s, want it unchanged", what, value, writtenBack)
		}
	}
}

// checkProductionReadsHeartbeat checks that production reads a heartbeat between controllers,
// which this version sends, as this version means it.
func checkProductionReadsHeartbeat(t *testing.T) {
	t.Helper()
	encoded, err := peer.Encode(&peer.Heartbeat{
		Node: "nodo-2", Healthy: true,
		IdleMachines:    []peer.IdleMachine{{Machine: "n-1"}},
		MachineRequests: []peer.MachineRequest{{Machine: "n-2", Tier: 4}},
		SchemaVersion:   records.SchemaVersion,
	})
	if err != nil {
		t.Fatal(err)
	}
	var read productionHeartbeat
	if err := msgpack.Unmarshal(encoded, &read); err != nil {
		t.Fatal(err)
	}
	if read.V != 3 || read.Node != "nodo-2" || !read.StoreOK || len(read.Idle) != 1 || read.Asks[0].Tier != 4 {
		t.Errorf("production reads this version's heartbeat as %+v, want V 3, from nodo-2, StoreOK, "+
			"one idle machine and one request of tier 4", read)
	}
}
