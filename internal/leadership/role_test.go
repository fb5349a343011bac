package leadership

import (
	"errors"
	"strings"
	"testing"
)

// TestRoleNames guards against a fleet role whose name can't be parsed, and against a wrong
// name of a partition's role.
func TestRoleNames(t *testing.T) {
	t.Parallel()
	for _, role := range FleetRoles() {
		if got, err := ParseFleetRole(role.String()); err != nil || got != role {
			t.Errorf("parsing %s: got %v and error %v, want the same role", role, got, err)
		}
	}
	if got := PartitionRole(3).String(); got != "partition/3" {
		t.Errorf("got name %q of the role of partition 3, want partition/3", got)
	}
}

// TestUnknownRole guards against a partition's role that is accepted as a fleet role, and
// against an error that does not list the allowed names.
func TestUnknownRole(t *testing.T) {
	t.Parallel()
	_, err := ParseFleetRole("partition/0")
	var unknown *UnknownRoleError
	if !errors.As(err, &unknown) || unknown.Name != "partition/0" {
		t.Fatalf("got error %v, want an unknown role partition/0", err)
	}
	if !strings.Contains(err.Error(), "strays, sweep, catalogue") {
		t.Errorf("got error %v, want one that lists the allowed names", err)
	}
}
