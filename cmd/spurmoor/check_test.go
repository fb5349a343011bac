package main

import (
	"strings"
	"testing"

	"spurmoor/internal/settings"
)

// TestCheckWarns guards against a check that leaves out warnings which a controller logs at
// its start.
func TestCheckWarns(t *testing.T) {
	loaded := &settings.Settings{Operators: settings.DefaultOperators(), TeamPartition: map[string]int{"norte": 1}}
	loaded.Operators.Parts = 2
	loaded.Deployment.Teams = []settings.Team{{Name: "norte"}}
	loaded.Deployment.Process.MaxConnections = 20 // far too few
	var out strings.Builder
	if err := printCheck(&out, loaded); err != nil {
		t.Fatal(err)
	}
	if want := "norte: partition 1 of 2\n"; !strings.HasPrefix(out.String(), want) {
		t.Errorf("got output %q, want it to begin with %q", out.String(), want)
	}
	if len(loaded.Warnings()) == 0 || !strings.Contains(out.String(), "warning: "+loaded.Warnings()[0]) {
		t.Errorf("got output %q, want it to contain the first of the warnings %q", out.String(), loaded.Warnings())
	}
}
