package coordination

import (
	"slices"
	"testing"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
)

// TestRefusedOrdersAreLoggedTogether guards against a line in the log for each refusal,
// and against counts that the log's line takes away.
func TestRefusedOrdersAreLoggedTogether(t *testing.T) {
	t.Parallel()
	manager := newTestManager(t)
	audit := manager.audit
	expired := message.OrderRefused{Role: "partition/1", Action: leadership.Launch, Reason: leadership.GrantExpired}
	shared := message.OrderRefused{Role: "users", Action: leadership.Write, Reason: leadership.WrongAction}
	for _, refused := range []message.OrderRefused{shared, expired, expired} {
		audit.CountRefusedOrder(refused)
	}
	audit.LogRefusedOrders()
	if len(audit.Effects) > 0 {
		t.Fatal("logged before the burst is over")
	}
	audit.Now += refusalLogInterval
	audit.LogRefusedOrders()
	audit.LogRefusedOrders()
	if len(audit.Effects) != 1 {
		t.Fatalf("%d lines for one burst", len(audit.Effects))
	}
	line, ok := audit.Effects[0].(message.Log)
	want := []any{"partition/1 rent, expired", 2, "users write, grant for another action", 1}
	if !ok || !slices.Equal(line.Args, want) {
		t.Errorf("the line says %v, want %v", line.Args, want)
	}
	if got := manager.refusedOrdersUnder("partition/1"); len(got) != 1 || got["rent, expired"] != 2 {
		t.Errorf("counted under the partition: %v", got)
	}
	if got := manager.refusedOrdersWithoutRole(); len(got) != 1 || got["write, grant for another action"] != 1 {
		t.Errorf("counted under no role: %v", got)
	}
}
