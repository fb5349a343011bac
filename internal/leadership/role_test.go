package leadership

import (
	"errors"
	"strings"
	"testing"
)

// TestRoleNames guards against roles that operators can't name.
func TestRoleNames(t *testing.T) {
	t.Parallel()
	for _, role := range FleetRoles() {
		if got, err := ParseFleetRole(role.String()); err != nil || got != role {
			t.Errorf("%s: %v, %v", role, got, err)
		}
	}
	if got := PartitionRole(3).String(); got != "partition/3" {
		t.Error(got)
	}
}

// TestUnknownRole guards against a partition that passes for a fleet role, and against
// an error that does not say what is allowed.
func TestUnknownRole(t *testing.T) {
	t.Parallel()
	_, err := ParseFleetRole("partition/0")
	var unknown *UnknownRoleError
	if !errors.As(err, &unknown) || unknown.Name != "partition/0" {
		t.Fatalf("the error is %v", err)
	}
	if !strings.Contains(err.Error(), "strays, sweep, catalogue") {
		t.Errorf("what is allowed is not named: %v", err)
	}
}
