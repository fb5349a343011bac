package settings

import (
	"strings"
	"testing"

	"github.com/go-json-experiment/json"
)

// validPlatform is a small, valid settings file of the platform, with an unknown field.
const validPlatform = `{"node_name":"nodo-0","site":"a","public_addr":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
"known":[{"node_name":"nodo-1","site":"b","addr":"10.0.0.2:8081"}],"endpoints":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
"unheard_of":[1],"facts":{"nodes":2,"zones":["a","b"],"teams":[{"name":"x","gpus":8},{"name":"y","gpus":4},{"name":"z","gpus":4}],
"workers":{"report_s":3,"lease_s":18,"gang_wait_s":45,"gang_peer_s":4,"cancel_s":48},
"state":{"rps":150,"write_rps":60,"value_kb":16,"txn_ops":48},"cloud":{"rps":2,"list_lag_s":10},
"machine_limits":{"cores":0.12,"mem_mb":98,"max_connections":1200},"time_bound_ms":5}}`

func TestParse(t *testing.T) {
	settings, err := Parse([]byte(validPlatform), DefaultOperators())
	if err != nil {
		t.Fatal(err)
	}
	partitions, teamPartition := settings.Operators.Parts, settings.TeamPartition
	if partitions != 2 || teamPartition["x"] == teamPartition["y"] || teamPartition["y"] != teamPartition["z"] {
		t.Errorf("got %d partitions, teams assigned as %v; want 2, with x in one, y and z in the other", partitions, teamPartition)
	}
	bad := map[string][2]string{
		"node_name":                     {`"node_name":"nodo-0",`, ``},
		"public_addr":                   {`10.0.0.1:8080`, `localhost:8080`},
		"endpoints.state":               {`10.2.0.1:2`, ``},
		"known":                         {`"nodo-1"`, `"nodo-0"`},
		"facts.workers.lease_s":         {`"lease_s":18`, `"lease_s":0`},
		"facts.workers.cancel_s":        {`"cancel_s":48`, `"cancel_s":19`},
		"facts.state.txn_ops":           {`"txn_ops":48`, `"txn_ops":2`},
		"facts.machine_limits.mem_mb":   {`"mem_mb":98`, `"mem_mb":-1`},
		"facts.teams":                   {`"name":"y"`, `"name":"x"`},
		"facts.zones":                   {`"zones":["a","b"]`, `"zones":[]`},
		"facts.cloud.rps":               {`"rps":2`, `"rps":0`},
		"facts.machine_limits.cores":    {`"cores":0.12,`, ``},
		"facts.state.next.value_kb":     {`"txn_ops":48`, `"txn_ops":48,"next":{"value_kb":0}`},
		"facts.state.next.write_rps":    {`"txn_ops":48`, `"txn_ops":48,"next":{"write_rps":-1}`},
		"facts.state.next.txn_ops":      {`"txn_ops":48`, `"txn_ops":48,"next":{"txn_ops":2}`},
		"/facts/state/next":             {`"txn_ops":48`, `"txn_ops":48,"next":[2]`},
		"facts.teams: y has the amount": {`"name":"y","gpus":4`, `"name":"y","gpus":-4`},
	}
	for field, change := range bad {
		text := strings.Replace(validPlatform, change[0], change[1], 1)
		if text == validPlatform {
			t.Fatalf("%s: the case changes nothing", field)
		}
		if _, err := Parse([]byte(text), DefaultOperators()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v, want one that names it", field, err)
		}
	}
}

// TestNextLimits guards against a controller that exceeds an announced limit once it
// holds. When that is, the controller is not told, so it keeps to the lower of the current
// and the announced limit from the start.
func TestNextLimits(t *testing.T) {
	for next, want := range map[string]State{
		`null`:                                 {RPS: 150, WriteRPS: 60, ValueKB: 16, MaxTransactionOps: 48},
		`{}`:                                   {RPS: 150, WriteRPS: 60, ValueKB: 16, MaxTransactionOps: 48},
		`{"value_kb":2,"txn_ops":4}`:           {RPS: 150, WriteRPS: 60, ValueKB: 2, MaxTransactionOps: 4},
		`{"value_kb":99,"write_rps":42}`:       {RPS: 150, WriteRPS: 42, ValueKB: 16, MaxTransactionOps: 48},
		`{"rps":100,"unheard":1,"txn_ops":48}`: {RPS: 100, WriteRPS: 60, ValueKB: 16, MaxTransactionOps: 48},
	} {
		s, err := Parse([]byte(strings.Replace(validPlatform, `"txn_ops":48`, `"txn_ops":48,"next":`+next, 1)), DefaultOperators())
		if err != nil {
			t.Errorf("%s: %v", next, err)
			continue
		}
		got := s.Deployment.Store
		if got.Next = nil; got != want {
			t.Errorf("%s: got %+v, want %+v", next, got, want)
		}
	}
}

func TestParseOperators(t *testing.T) {
	operators, err := ParseOperators([]byte("cycle_s = 7\n[weights]\nwait = 0.5\n"))
	if err != nil || operators.CycleS != 7 || operators.Weights.Wait != 0.5 ||
		operators.Weights.Priority != DefaultOperators().Weights.Priority {
		t.Errorf("got %+v, error %v; want cycle_s 7, weights.wait 0.5 and the default of weights.priority", operators, err)
	}
	for text, want := range map[string]string{
		"cycles = 7":                                     "cycles",
		"parts = 1":                                      "parts = 1",
		"cycle_s = 0.1":                                  "cycle_s = 0.1",
		"[weights]\nwait = 2":                            "weights.wait = 2",
		"[weights]\nhunger = 1":                          "weights.hunger",
		"price_ceiling = nan":                            "price_ceiling",
		"queue_jobs = \"plenty\"":                        "queue_jobs",
		"queue_jobs = 9":                                 "queue_jobs = 9",
		"[duties]\nexclusive = [\"dusting\"]":            "strays, sweep, catalogue",
		"[duties]\nexclusive = [\"sweep\"]":              "duties.exclusive = \"sweep\" without \"strays\"",
		"[duties]\nexclusive = [\"strays\", \"strays\"]": "duties.exclusive = \"strays\" is given twice",
		"[duties]\nexclusive = \"strays\"":               "duties.exclusive",
		"[duties]\nrecord_rentals = 1":                   "duties.record_rentals",
		"[duties]\nrecord_rental = true":                 "duties.record_rental",
	} {
		if _, err := ParseOperators([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that contains %q", text, err, want)
		}
	}
}

// TestMaxUnfinishedJobs guards against a fixed limit on unfinished jobs that is below what
// a fleet of thousands of machines runs.
func TestMaxUnfinishedJobs(t *testing.T) {
	for _, tc := range []struct {
		queueJobs int
		memMB     float64
		want      int
	}{{0, 20, 4000}, {0, 98, 9800}, {0, 342, 34200}, {50, 342, 50}} {
		settings := &Settings{Operators: Operators{QueueJobs: tc.queueJobs}}
		settings.Deployment.Process.MemMB = tc.memMB
		if got := settings.MaxUnfinishedJobs(); got != tc.want {
			t.Errorf("queue_jobs %d, mem_mb %v: got %d, want %d", tc.queueJobs, tc.memMB, got, tc.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validPlatform))
	f.Fuzz(func(t *testing.T, raw []byte) {
		settings, err := Parse(raw, DefaultOperators())
		if err != nil {
			return
		}
		if settings.Operators.Parts < 2 || settings.Deployment.Workers.CancelS <= settings.Deployment.Workers.LeaseS {
			t.Errorf("got %+v, want parts of 2 or more and cancel_s above lease_s", settings)
		}
		if _, err := json.Marshal(settings.Platform); err != nil {
			t.Error(err)
		}
	})
}

// TestAnswerWindow guards against a task that outlives cancel_s because the last answer
// in the answer window kept it alive on a worker whose clock is slow. It also checks the
// warning about a short window.
func TestAnswerWindow(t *testing.T) {
	for _, tc := range []struct {
		lease, cancel string
		warned        bool
	}{{"31", "61", false}, {"38", "58", false}, {"18", "48", false}, {"18", "28.5", true}, {"18", "21", true}, {"600", "2000", false}} {
		text := strings.NewReplacer(`"lease_s":18`, `"lease_s":`+tc.lease, `"cancel_s":48`, `"cancel_s":`+tc.cancel).Replace(validPlatform)
		settings, err := Parse([]byte(text), DefaultOperators())
		if err != nil {
			t.Fatal(err)
		}
		workers := settings.Deployment.Workers
		windowS := settings.Deployment.AnswerWindowS()
		taskEndS := (windowS + workers.LeaseS) * 1.0005 // the maximum drift between two clocks
		if windowS <= 0 || taskEndS >= workers.CancelS-0.2 {
			t.Errorf("lease_s %s, cancel_s %s: got answer window %.2f s, tasks end after %.2f s; want above 0, below cancel_s",
				tc.lease, tc.cancel, windowS, taskEndS)
		}
		if got := strings.Contains(strings.Join(settings.Warnings(), "; "), "cancel_s"); got != tc.warned {
			t.Errorf("lease_s %s, cancel_s %s: got warning %t, want %t", tc.lease, tc.cancel, got, tc.warned)
		}
	}
}
