package coordination

import (
	"slices"
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
)

// TestRefusedOrdersAreLoggedTogether guards against one log line per refusal, and against
// total counts that are lost when refusals are logged.
func TestRefusedOrdersAreLoggedTogether(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	counter := manager.refusals
	expired := message.OrderRefused{Role: "partition/1", Action: leadership.ActionLaunch, Reason: leadership.GrantExpired}
	shared := message.OrderRefused{Role: "users", Action: leadership.ActionWrite, Reason: leadership.WrongAction}
	for _, refused := range []message.OrderRefused{shared, expired, expired} {
		counter.Count(refused)
	}
	counter.LogDue()
	if len(counter.Effects) > 0 {
		t.Fatal("got a log line before the interval is over, want none")
	}
	counter.Now += refusalLogInterval
	counter.LogDue()
	counter.LogDue()
	if len(counter.Effects) != 1 {
		t.Fatalf("got %d log lines for one batch of refusals, want 1", len(counter.Effects))
	}
	line, ok := counter.Effects[0].(message.Log)
	want := []any{"partition/1 rent, expired", 2, "users write, grant for another action", 1}
	if !ok || !slices.Equal(line.Args, want) {
		t.Errorf("got log arguments %v, want %v", line.Args, want)
	}
	if got := manager.refusedOrdersUnder("partition/1"); len(got) != 1 || got["rent, expired"] != 2 {
		t.Errorf("got counts %v under the partition's role, want 2 expired grants to rent", got)
	}
	if got := manager.refusedOrdersWithoutRole(); len(got) != 1 || got["write, grant for another action"] != 1 {
		t.Errorf("got counts %v without a role, want 1 write with a grant for another action", got)
	}
}
