package simulation

import (
	"bytes"
	"encoding/base64"
	"os"
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

// What the version in production (deploy/service.toml) knows of each record: a
// copy of its own types, which never changes. It passes over fields that it
// does not know, and writes job records, log entries and part records back
// without them.
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
			Job     string `json:"j"`
			From    int    `json:"f,omitzero"`
			N       int    `json:"n,omitzero"`
			State   uint8  `json:"s,omitzero"`
			Attempt uint64 `json:"a,omitzero"`
			Machine string `json:"m,omitzero"`
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

// TestReadsProduction carries on from records that production wrote in
// mid-run: jobs placed, a gang at work, one done, one cancelled and over, one
// cancelled and at work.
func TestReadsProduction(t *testing.T) {
	sc, err := Parse([]byte("duration_s = 400\n"))
	if err != nil {
		t.Fatal(err)
	}
	w := newSimulation(sc, nil)
	w.cloud.nextInstance = 100 // names are never given twice
	loadProduction(t, w)
	for _, n := range w.nodes {
		if err := w.boot(n); err != nil {
			t.Fatal(err)
		}
	}
	w.every(micros.Second/10, func() {
		for _, n := range w.nodes {
			w.step(n, message.Tick{})
		}
	})
	w.runUntil(w.now + 300*micros.Second)
	for id, want := range map[string]api.JobState{
		"wk-000001": api.JobDone, "wk-000002": api.JobDone, "wk-000003": api.JobDone,
		"wk-000004": api.JobCancelled, "wk-000005": api.JobCancelled,
	} {
		var got api.JobState
		w.request(w.nodes[1], func(req uint64) message.Input { return message.GetStatus{RequestID: req, ID: id} }, func(a message.Answer) {
			if s, ok := a.Body.(api.JobStatus); ok {
				got = s.State
			}
		})
		w.runUntil(w.now + 3*micros.Second)
		if got != want {
			t.Errorf("%s is %q, want %q", id, got, want)
		}
	}
	if len(w.checker.violations) > 0 {
		t.Errorf("broken: %q", w.checker.violations)
	}
}

// loadProduction fills the state service with production's records.
func loadProduction(t *testing.T, w *Simulation) {
	t.Helper()
	raw, err := os.ReadFile("testdata/production/records.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		var it api.KeyValue
		if err := json.Unmarshal([]byte(line), &it); err != nil {
			t.Fatal(err)
		}
		if it.Key == "peer" {
			checkReadsHeartbeat(t, it.Value)
			continue
		}
		w.store.keys[it.Key] = &storedValue{it.Value, it.Version, 0}
		w.store.revision = max(w.store.revision, it.Version)
		var j productionJob
		if strings.HasPrefix(it.Key, "live/j/") && json.Unmarshal(it.Value, &j) == nil {
			w.jobs[j.Spec.ID] = Job{
				Kind: api.JobKind(j.Spec.Kind), Team: j.Spec.Team, Priority: api.Priority(j.Spec.Priority), Tasks: j.Spec.Tasks,
				CPUs: j.Spec.CPUs, GPUs: j.Spec.GPUs, RunS: 20, Spot: j.Spec.Spot, OneZone: j.Spec.OneZone,
			}
		}
		if strings.HasPrefix(it.Key, "live/p/") {
			delete(w.store.keys, it.Key) // the holders' leases have run out
		}
	}
}

// checkReadsHeartbeat checks that a message of production's, in base64, means the same here.
func checkReadsHeartbeat(t *testing.T, value []byte) {
	t.Helper()
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		t.Fatal(err)
	}
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	h, err := peer.Decode(b)
	if err != nil || h.Node != "nodo-1" || !h.Healthy || h.SchemaVersion != 0 || len(h.IdleMachines) != 1 || len(h.MachineRequests) != 1 || h.MachineRequests[0].Tier != 7 {
		t.Errorf("production's message read as %+v, %v", h, err)
	}
}

// TestProductionReads has production's types read all that this version writes
// on days with pipelines: nothing in a record that production writes back may
// be lost by that, and what it reads means the same.
func TestProductionReads(t *testing.T) {
	seen := map[string]int{}
	for _, name := range []string{"pipelines", "pipelines_cancelled", "store_limits_lowered"} {
		text, err := os.ReadFile("testdata/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		sc, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		sc.DurationS = 60 // in mid-run
		w, _, err := Play(sc)
		if err != nil {
			t.Fatal(err)
		}
		for _, key := range w.store.sortedKeys("") {
			kind, to, strict := productionRecord(key)
			if kind == "" {
				t.Fatalf("%s: production does not know what %s is", name, key)
			}
			seen[kind]++
			if to == nil {
				continue // passed over: no prefix that production knows
			}
			val := w.store.keys[key].data
			if err := json.Unmarshal(val, to, json.RejectUnknownMembers(strict)); err != nil {
				t.Fatalf("%s: %s: %v in %s", name, key, err, val)
			}
			checkSameMeaning(t, w, name+": "+key, key, val, to)
		}
	}
	for _, kind := range []string{"part", "log", "job", "final", "catalogue", "form"} {
		if seen[kind] == 0 {
			t.Errorf("no record of the kind %s was written", kind)
		}
	}
	checkProductionReadsHeartbeat(t)
}

// productionRecord gives a key's kind and production's type for it; strict: production
// writes the record back, or takes it for its own.
func productionRecord(key string) (kind string, to any, strict bool) {
	switch {
	case strings.HasPrefix(key, "live/p/"):
		return "part", &productionPartition{}, true
	case strings.HasPrefix(key, "live/l/"):
		return "log", &productionLogEntry{}, true
	case strings.HasPrefix(key, "live/j/"):
		return "job", &productionJob{}, false
	case strings.HasPrefix(key, "over/"):
		return "final", &productionTerminalState{}, false
	case key == "live/c":
		return "catalogue", &api.Catalog{}, true
	case key == "live/a":
		return "adoptions", &struct{}{}, true
	case strings.HasPrefix(key, "live/v/"):
		return "form", nil, false
	}
	return "", nil, false
}

// checkSameMeaning checks what production read of a record.
func checkSameMeaning(t *testing.T, w *Simulation, what, key string, val []byte, read any) {
	t.Helper()
	switch v := read.(type) {
	case *productionJob:
		if u := w.usersByID[v.Spec.ID]; u == nil || key != "live/j/"+u.id || v.Spec.Tasks != max(1, u.job.Tasks) || v.At == 0 {
			t.Errorf("%s read as %+v", what, v)
		}
	case *productionTerminalState:
		if v.State != string(api.JobDone) && v.State != string(api.JobCancelled) {
			t.Errorf("%s read as %+v", what, v)
		}
	case *productionLogEntry:
		back, err := json.Marshal(v)
		if err != nil || !bytes.Equal(back, val) {
			t.Errorf("%s: %s would be written back as %s", what, val, back)
		}
	}
}

// checkProductionReadsHeartbeat checks that a message of ours means the same to production.
func checkProductionReadsHeartbeat(t *testing.T) {
	t.Helper()
	b, err := peer.Encode(&peer.Heartbeat{Node: "nodo-2", Healthy: true, IdleMachines: []peer.IdleMachine{{Machine: "n-1"}}, MachineRequests: []peer.MachineRequest{{Machine: "n-2", Tier: 4}}, SchemaVersion: records.SchemaVersion})
	if err != nil {
		t.Fatal(err)
	}
	var h productionHeartbeat
	if err := msgpack.Unmarshal(b, &h); err != nil || h.V != 3 || h.Node != "nodo-2" || !h.StoreOK || len(h.Idle) != 1 || h.Asks[0].Tier != 4 {
		t.Errorf("production reads our message as %+v, %v", h, err)
	}
}
