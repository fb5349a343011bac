package provisioning

import (
	"maps"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// TestDeferredRequests guards against forgetting a refused request that may still be carried
// out, and against more than one that is kept for each kind without need.
func TestDeferredRequests(t *testing.T) {
	t.Parallel()
	type request struct {
		name    string
		unknown bool // whether it was carried out
	}
	for _, tc := range []struct {
		what    string
		refused []request
		want    []string // still open
	}{
		{what: "one", refused: []request{{name: "a"}}, want: []string{"a"}},
		{what: "the later of two settled ones", refused: []request{{name: "a"}, {name: "b"}}, want: []string{"b"}},
		{what: "an unknown one before a settled one", refused: []request{{name: "a", unknown: true}, {name: "b"}}, want: []string{"a"}},
		{what: "an unknown one after a settled one", refused: []request{{name: "a"}, {name: "b", unknown: true}}, want: []string{"b"}},
		{what: "two unknown ones", refused: []request{{name: "a", unknown: true}, {name: "b", unknown: true}}, want: []string{"a", "b"}},
	} {
		t.Run(tc.what, func(t *testing.T) {
			t.Parallel()
			kind := scheduler.InstanceKind{Type: "g4", Zone: "alta"}
			ledger := &requestLedger{}
			for _, refused := range tc.refused {
				ledger.open = append(ledger.open, &provisioningRequest{
					launch:         api.LaunchRequest{Name: refused.name},
					kind:           kind,
					outcomeUnknown: refused.unknown,
				})
			}
			for _, open := range slices.Clone(ledger.open) {
				ledger.deferRequest(open)
			}
			var names []string
			for _, open := range ledger.open {
				names = append(names, open.launch.Name)
				if !open.deferred {
					t.Errorf("%s is open and not deferred", open.launch.Name)
				}
			}
			if !slices.Equal(names, tc.want) {
				t.Errorf("open: %q, want %q", names, tc.want)
			}
			other := scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}
			if ledger.deferredRequest(kind) != ledger.open[0] || ledger.deferredRequest(other) != nil {
				t.Error("a request of another kind is found, or none of this one")
			}
			if !ledger.outdated {
				t.Error("the record would not be written again")
			}
		})
	}
}

// TestOnlyDeferredRequestsGiveWay guards against forgetting a request that waits for its
// answer in favour of another.
func TestOnlyDeferredRequestsGiveWay(t *testing.T) {
	t.Parallel()
	waiting, deferred := &provisioningRequest{inFlight: true}, &provisioningRequest{deferred: true}
	ledger := &requestLedger{open: []*provisioningRequest{waiting, deferred}}
	if !ledger.withdrawAnyDeferred() || !slices.Equal(ledger.open, []*provisioningRequest{waiting}) {
		t.Errorf("%d open, want the one that waits for its answer", len(ledger.open))
	}
	if ledger.withdrawAnyDeferred() || len(ledger.open) != 1 {
		t.Error("a request that was not deferred is withdrawn")
	}
}

// TestPendingMachines guards against machines that are counted on for ever: of those that
// were requested none is left once all are recorded.
func TestPendingMachines(t *testing.T) {
	t.Parallel()
	kind := scheduler.InstanceKind{Type: "g4", Zone: "alta"}
	ledger := &requestLedger{}
	ledger.countPendingMachines(kind, 5)
	ledger.countPendingMachines(kind, -2)
	if want := map[scheduler.InstanceKind]int{kind: 3}; !maps.Equal(ledger.pendingMachines, want) {
		t.Errorf("pending: %v, want %v", ledger.pendingMachines, want)
	}
	ledger.countPendingMachines(kind, -4)
	if len(ledger.pendingMachines) != 0 {
		t.Errorf("pending: %v, want none", ledger.pendingMachines)
	}
}

// TestWhenRequestsAreDue guards against sending a request twice at a time, or before its
// record is committed.
func TestWhenRequestsAreDue(t *testing.T) {
	t.Parallel()
	const now = 100 * micros.Second
	for _, tc := range []struct {
		name    string
		request provisioningRequest
		want    bool
	}{
		{name: "recorded", request: provisioningRequest{recorded: true}, want: true},
		{name: "not recorded", request: provisioningRequest{}},
		{name: "sent", request: provisioningRequest{recorded: true, inFlight: true}},
		{name: "answered", request: provisioningRequest{recorded: true, unrecordedBatches: 1}},
		{name: "deferred", request: provisioningRequest{recorded: true, deferred: true}},
		{name: "later", request: provisioningRequest{recorded: true, nextSendAt: now + 1}},
		{name: "now", request: provisioningRequest{recorded: true, nextSendAt: now}, want: true},
	} {
		if got := tc.request.isDue(now); got != tc.want {
			t.Errorf("%s: due %t, want %t", tc.name, got, tc.want)
		}
	}
}
