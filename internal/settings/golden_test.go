package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestPlatformErrorTexts checks the texts of errors in the platform's settings, which
// operators read. Only the first error is reported.
func TestPlatformErrorTexts(t *testing.T) {
	for _, tc := range []struct{ old, replacement, want string }{
		{`"node_name":"nodo-0",`, ``, `field node_name is missing`},
		{`10.0.0.1:8080`, `localhost:8080`, `field public_addr: "localhost:8080" is no IPv4 address with a port`},
		{`10.0.0.1:8080`, `[::1]:8080`, `field public_addr: "[::1]:8080" is no IPv4 address with a port`},
		{`"internal_addr":"10.0.0.1:8081"`, `"internal_addr":""`, `field internal_addr is missing`},
		{`10.2.0.2:1`, ``, `field endpoints.cloud is missing`},
		{`10.2.0.1:2`, `10.2.0.1`, `field endpoints.state: "10.2.0.1" is no IPv4 address with a port`},
		{`"nodo-1"`, `""`, `field known.node_name is missing`},
		{`10.0.0.2:8081`, ``, `field known.addr is missing`},
		{`10.0.0.2:8081`, `nodo-1`, `field known.addr: "nodo-1" is no IPv4 address with a port`},
		{`"nodo-1"`, `"nodo-0"`, `field known: "nodo-0" names this controller itself`},
		{`"report_s":3`, `"report_s":0`, `field facts.workers.report_s: must be above 0, is 0`},
		{`"lease_s":18`, `"lease_s":-1.5`, `field facts.workers.lease_s: must be above 0, is -1.5`},
		{`"gang_wait_s":45`, `"gang_wait_s":0`, `field facts.workers.gang_wait_s: must be above 0, is 0`},
		{`"gang_peer_s":4`, `"gang_peer_s":0`, `field facts.workers.gang_peer_s: must be above 0, is 0`},
		{`"cancel_s":48`, `"cancel_s":0`, `field facts.workers.cancel_s: must be above 0, is 0`},
		{`"rps":150`, `"rps":-1`, `field facts.state.rps: must be above 0, is -1`},
		{`"write_rps":60`, `"write_rps":0`, `field facts.state.write_rps: must be above 0, is 0`},
		{`"value_kb":16`, `"value_kb":0`, `field facts.state.value_kb: must be above 0, is 0`},
		{`"txn_ops":48`, `"txn_ops":0`, `field facts.state.txn_ops: must be above 0, is 0`},
		{`"rps":2,`, `"rps":0,`, `field facts.cloud.rps: must be above 0, is 0`},
		{`"list_lag_s":10`, `"list_lag_s":0`, `field facts.cloud.list_lag_s: must be above 0, is 0`},
		{`"cores":0.12`, `"cores":0`, `field facts.machine_limits.cores: must be above 0, is 0`},
		{`"mem_mb":98`, `"mem_mb":0`, `field facts.machine_limits.mem_mb: must be above 0, is 0`},
		{`"max_connections":1200`, `"max_connections":-3`, `field facts.machine_limits.max_connections: must be above 0, is -3`},
		{`"txn_ops":48`, `"txn_ops":2`, `field facts.state.txn_ops: must be at least 3, is 2`},
		{`"txn_ops":48`, `"txn_ops":48,"next":{"rps":0,"value_kb":0}`, `field facts.state.next.rps: must be above 0, is 0`},
		{`"txn_ops":48`, `"txn_ops":48,"next":{"write_rps":-2.5}`, `field facts.state.next.write_rps: must be above 0, is -2.5`},
		{`"txn_ops":48`, `"txn_ops":48,"next":{"value_kb":0,"txn_ops":0}`, `field facts.state.next.value_kb: must be above 0, is 0`},
		{`"txn_ops":48`, `"txn_ops":48,"next":{"txn_ops":2}`, `field facts.state.next.txn_ops: must be at least 3, is 2`},
		{
			`"txn_ops":48`, `"txn_ops":48,"next":[2]`,
			`settings: json: cannot unmarshal JSON array into Go settings.NextState within "/facts/state/next"`,
		},
		{`"cancel_s":48`, `"cancel_s":19.5`, `field facts.workers.cancel_s: 19.5 leaves no room after lease_s 18`},
		{`"zones":["a","b"]`, `"zones":[]`, `field facts.zones is missing`},
		{`{"name":"x","gpus":8},{"name":"y","gpus":4},{"name":"z","gpus":4}`, ``, `field facts.teams is missing`},
		{`"name":"y"`, `"name":"x"`, `field facts.teams: name "x" is empty or given twice`},
		{`"name":"y"`, `"name":""`, `field facts.teams: name "" is empty or given twice`},
		{`"name":"y"`, `"name":"y","cpus_max":-4`, `field facts.teams: y has the amount -4`},
		{`{"node_name"`, `[{"node_name"`, `settings: json: cannot unmarshal JSON array into Go settings.Platform`},
		{`"gpus":8`, `"gpus":"8"`, `settings: json: cannot unmarshal JSON string into Go float64 within "/facts/teams/0/gpus"`},
	} {
		text := strings.Replace(validPlatform, tc.old, tc.replacement, 1)
		if text == validPlatform {
			t.Fatalf("%s: the case changes nothing", tc.old)
		}
		_, err := Parse([]byte(text), DefaultOperators())
		if got := errorText(err); got != tc.want {
			t.Errorf("%s for %s: got error\n%s, want\n%s", tc.replacement, tc.old, got, tc.want)
		}
	}
}

// TestOperatorErrorTexts checks the texts of errors in the operators' settings: unknown
// keys, wrong syntax and wrong types.
func TestOperatorErrorTexts(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"cycles = 7", `unknown key cycles`},
		{"cycles = 7\ncycle = 7", `unknown key cycles`},
		{"[weights]\nhunger = 1", `unknown key weights.hunger`},
		{"cycle_s = ", `toml: expected value, not end of input`},
		{"cycle_s = 7\ncycle_s = 7", `key cycle_s: toml: key cycle_s is already defined`},
		{
			"queue_jobs = \"plenty\"",
			`key queue_jobs: toml: cannot decode TOML string into struct field settings.Operators.QueueJobs of type int`,
		},
		{
			"[duties]\nexclusive = \"strays\"",
			`key duties.exclusive: toml: cannot decode TOML string into struct field settings.Duties.Exclusive of type []string`,
		},
		{
			"[duties]\nrecord_rentals = 1",
			`key duties.record_rentals: toml: cannot decode TOML integer into struct field ` +
				`settings.Duties.RecordRentals of type bool`,
		},
	} {
		checkOperatorsError(t, tc.text, tc.want)
	}
}

// TestOperatorRangeTexts checks the texts of errors for values that are out of range or
// contradict each other.
func TestOperatorRangeTexts(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"parts = 1", `parts = 1 is out of range: at least two, or 0 for one per controller`},
		{"parts = -1", `parts = -1 is out of range 0 to 64`},
		{"parts = 65", `parts = 65 is out of range 0 to 64`},
		{"cycle_s = 0.1", `cycle_s = 0.1 is out of range 0.5 to 60`},
		{"cycle_s = 61", `cycle_s = 61 is out of range 0.5 to 60`},
		{"reference_wait_s = 0", `reference_wait_s = 0 is out of range 1 to 86400`},
		{"idle_return_s = -1", `idle_return_s = -1 is out of range 0 to 86400`},
		{"silent_s = 4.5", `silent_s = 4.5 is out of range 5 to 600`},
		{"hold_ttl_s = 1", `hold_ttl_s = 1 is out of range 2 to 60`},
		{"refusal_memory_s = 0.5", `refusal_memory_s = 0.5 is out of range 1 to 600`},
		{"late_penalty = 11", `late_penalty = 11 is out of range 0 to 10`},
		{"large_penalty = -0.1", `large_penalty = -0.1 is out of range 0 to 10`},
		{"price_ceiling = nan", `price_ceiling = NaN is out of range 1 to 1000`},
		{"idle_price_ceiling = inf", `idle_price_ceiling = +Inf is out of range 1 to 1000`},
		{"ceiling_growth_s = 0", `ceiling_growth_s = 0 is out of range 1 to 86400`},
		{"begin_within_s = 86401", `begin_within_s = 86401 is out of range 1 to 86400`},
		{"[weights]\npriority = 2", `weights.priority = 2 is out of range 0 to 1`},
		{"[weights]\nwait = 2", `weights.wait = 2 is out of range 0 to 1`},
		{"[weights]\ndeficit = 2", `weights.deficit = 2 is out of range 0 to 1`},
		{"[weights]\nzone_fit = 2", `weights.zone_fit = 2 is out of range 0 to 1`},
		{"[weights]\nreadiness = 2", `weights.readiness = 2 is out of range 0 to 1`},
		{"[weights]\nbacklog = 2", `weights.backlog = 2 is out of range 0 to 1`},
		{"queue_jobs = 9", `queue_jobs = 9 is out of range 10 to 1000000, or 0 for as many as memory holds`},
		{"queue_jobs = -9", `queue_jobs = -9 is out of range 10 to 1000000, or 0 for as many as memory holds`},
		{"queue_jobs = 1000001", `queue_jobs = 1000001 is out of range 10 to 1000000, or 0 for as many as memory holds`},
		{"[duties]\nexclusive = [\"dusting\"]", `duties.exclusive = "dusting": "dusting" is no duty; allowed are strays, sweep, catalogue`},
		{
			"[duties]\nexclusive = [\"strays\", \"strays\"]",
			`duties.exclusive = "strays" is given twice; allowed is each of strays, sweep, catalogue once`,
		},
		{
			"[duties]\nexclusive = [\"sweep\"]",
			`duties.exclusive = "sweep" without "strays": every controller would adopt what the one finds; ` +
				`allowed is "strays" beside it or neither`,
		},
		{
			"parts = 1\n[duties]\nexclusive = [\"sweep\"]",
			`duties.exclusive = "sweep" without "strays": every controller would adopt what the one finds; ` +
				`allowed is "strays" beside it or neither`,
		},
		{"queue_jobs = 9\nparts = 1", `queue_jobs = 9 is out of range 10 to 1000000, or 0 for as many as memory holds`},
		{"queue_jobs = 9\n[weights]\nwait = 2", `weights.wait = 2 is out of range 0 to 1`},
	} {
		checkOperatorsError(t, tc.text, tc.want)
	}
}

// checkOperatorsError checks the text of the error for an operators' file.
func checkOperatorsError(t *testing.T, file, want string) {
	t.Helper()
	_, err := ParseOperators([]byte(file))
	if got := errorText(err); got != want {
		t.Errorf("%q: got error\n%s, want\n%s", file, got, want)
	}
}

// TestLoadErrorTexts checks that an error names the file that it is about.
func TestLoadErrorTexts(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	platform := write("platform.json", validPlatform)
	for _, tc := range []struct{ platform, operators, want string }{
		{platform, "", "no error"},
		{platform, write("good.toml", "cycle_s = 7"), "no error"},
		{filepath.Join(dir, "none.json"), "", `read settings: open none.json: no such file or directory`},
		{platform, filepath.Join(dir, "none.toml"), `read operators' settings: open none.toml: no such file or directory`},
		{platform, write("syntax.toml", "cycle_s ="), `syntax.toml: toml: expected value, not end of input`},
		{platform, write("range.toml", "parts = 1"), `range.toml: parts = 1 is out of range: at least two, or 0 for one per controller`},
		{write("empty.json", "{}"), "", `empty.json: field node_name is missing`},
	} {
		_, err := Load(tc.platform, tc.operators)
		if got := strings.ReplaceAll(errorText(err), dir+string(filepath.Separator), ""); got != tc.want {
			t.Errorf("%s, %s: got error\n%s, want\n%s", tc.platform, tc.operators, got, tc.want)
		}
	}
}

// TestWarningTexts checks the texts of the warnings that are logged at the start.
func TestWarningTexts(t *testing.T) {
	text := strings.NewReplacer(`"max_connections":1200`, `"max_connections":199`, `"mem_mb":98`, `"mem_mb":47`,
		`"cancel_s":48`, `"cancel_s":21`).Replace(validPlatform)
	parsed, err := Parse([]byte(text), DefaultOperators())
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`facts.machine_limits.max_connections is below 200: workers and users will be turned away`,
		`facts.machine_limits.mem_mb is below 48: the process may be ended for its memory`,
		`facts.workers.cancel_s leaves 2.2 s beside a lease: when the state service is away for longer, ` +
			`or a controller ends, workers' tasks end`,
	}
	if got := parsed.Warnings(); !slices.Equal(got, want) {
		t.Errorf("got warnings %q, want %q", got, want)
	}
}

// errorText returns an error's text. At each start of a process the JSON package picks at
// random between two wordings; errorText always returns the first.
func errorText(err error) string {
	if err == nil {
		return "no error"
	}
	return strings.Replace(err.Error(), "json: unable to unmarshal", "json: cannot unmarshal", 1)
}
