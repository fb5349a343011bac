package provisioning

import (
	"maps"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// TestDeferredRequests guards against removing a refused request that may still be carried
// out, and against keeping several deferred requests for a kind when one suffices.
func TestDeferredRequests(t *testing.T) {
	t.Parallel()
	type request struct {
		name     string
		noAnswer bool // sent without an answer: it may still be carried out
	}
	for _, tc := range []struct {
		name    string
		refused []request
		want    []string // names of the requests that stay open
	}{
		{name: "one", refused: []request{{name: "a"}}, want: []string{"a"}},
		{name: "the later of two settled ones", refused: []request{{name: "a"}, {name: "b"}}, want: []string{"b"}},
		{name: "an unknown one before a settled one", refused: []request{{name: "a", noAnswer: true}, {name: "b"}}, want: []string{"a"}},
		{name: "an unknown one after a settled one", refused: []request{{name: "a"}, {name: "b", noAnswer: true}}, want: []string{"b"}},
		{name: "two unknown ones", refused: []request{{name: "a", noAnswer: true}, {name: "b", noAnswer: true}}, want: []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			kind := scheduler.InstanceKind{Type: "g4", Zone: "alta"}
			tracker := &requestTracker{}
			for _, refused := range tc.refused {
				tracker.open = append(tracker.open, &provisioningRequest{
					launch:         api.LaunchRequest{Name: refused.name},
					kind:           kind,
					outcomeUnknown: refused.noAnswer,
				})
			}
			for _, open := range slices.Clone(tracker.open) {
				tracker.deferRequest(open)
			}
			var names []string
			for _, open := range tracker.open {
				names = append(names, open.launch.Name)
				if !open.deferred {
					t.Errorf("request %s is open but not deferred, want it deferred", open.launch.Name)
				}
			}
			if !slices.Equal(names, tc.want) {
				t.Errorf("got open requests %q, want %q", names, tc.want)
			}
			other := scheduler.InstanceKind{Type: "g4", Zone: "alta", Spot: true}
			if tracker.deferredRequest(kind) != tracker.open[0] || tracker.deferredRequest(other) != nil {
				t.Error("deferredRequest: got one of another kind, or not the first of this kind; want the first of this kind and no other")
			}
			if !tracker.recordOutdated {
				t.Error("recordOutdated is false, want true so that the record is written again")
			}
		})
	}
}

// TestOnlyDeferredRequestsAreRemoved guards against removing a request that waits for its
// answer to make room for another.
func TestOnlyDeferredRequestsAreRemoved(t *testing.T) {
	t.Parallel()
	inFlight, deferred := &provisioningRequest{inFlight: true}, &provisioningRequest{deferred: true}
	tracker := &requestTracker{open: []*provisioningRequest{inFlight, deferred}}
	if !tracker.removeOldestDeferred() || !slices.Equal(tracker.open, []*provisioningRequest{inFlight}) {
		t.Errorf("got %d open requests, want only the one that waits for its answer", len(tracker.open))
	}
	if tracker.removeOldestDeferred() || len(tracker.open) != 1 {
		t.Error("a request that was not deferred was removed, want it kept")
	}
}

// TestPendingMachines guards against machines that count as pending forever: none is pending
// once all that were requested are recorded.
func TestPendingMachines(t *testing.T) {
	t.Parallel()
	kind := scheduler.InstanceKind{Type: "g4", Zone: "alta"}
	tracker := &requestTracker{}
	tracker.adjustPendingMachines(kind, 5)
	tracker.adjustPendingMachines(kind, -2)
	if want := map[scheduler.InstanceKind]int{kind: 3}; !maps.Equal(tracker.pendingMachines, want) {
		t.Errorf("got pending machines %v, want %v", tracker.pendingMachines, want)
	}
	tracker.adjustPendingMachines(kind, -4)
	if len(tracker.pendingMachines) != 0 {
		t.Errorf("got pending machines %v, want none", tracker.pendingMachines)
	}
}

// TestRequestIsDue guards against sending a request while it is already in flight, or before
// its record is committed.
func TestRequestIsDue(t *testing.T) {
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
			t.Errorf("%s: got due %t, want %t", tc.name, got, tc.want)
		}
	}
}
