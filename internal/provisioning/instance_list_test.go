package provisioning

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/settings"
)

// newTestList returns the instance list of one of three controllers. That controller leads
// the only partition and, like the others, acts as instance sweeper. The time is 1,000 s.
func newTestList(t *testing.T) *InstanceList {
	t.Helper()
	operators := settings.DefaultOperators()
	operators.Parts = 1
	testSettings := &settings.Settings{Operators: operators, Nodes: []string{"nodo-1", "nodo-2", "nodo-3"}}
	testSettings.Node = "nodo-1"
	testSettings.Deployment.Cloud.RPS = 6
	testSettings.Deployment.Cloud.ListLagS = 2
	env := coordination.NewEnvironment(testSettings, 1, rand.New(rand.NewPCG(1, 1)))
	env.Now = 1000 * micros.Second
	roles := coordination.NewRoleManager(env, nil, nil, nil, nil, nil, nil, nil)
	state := cluster.NewState(env, nil, roles)
	claim := leadership.Claim{Node: "nodo-1", Incarnation: 1}
	if !state.Partitions[0].Observe(env.Now, claim, 5, claim, true) {
		t.Fatal("the partition is not led, want it led")
	}
	list := NewInstanceList(env, state, cluster.NewDeletionLog(env), nil, roles)
	list.sweeping = true
	return list
}

// TestListInterval guards against reading the list so often that all controllers together
// use more than a third of the cloud's rate limit, or more often than the list changes.
func TestListInterval(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		machines int
		lagS     float64
		sweeping bool
		want     micros.Micros
	}{
		{name: "one page", machines: 499, sweeping: true, want: 5 * micros.Second},
		{name: "a list that lags", machines: 499, lagS: 8, sweeping: true, want: 8 * micros.Second},
		{name: "nine pages", machines: 4000, sweeping: true, want: 13500 * micros.Millisecond},
		{name: "for addresses alone", machines: 4000, want: 60 * micros.Second},
	} {
		list := newTestList(t)
		list.sweeping = tc.sweeping
		list.Settings.Deployment.Cloud.ListLagS = tc.lagS
		for i := range tc.machines {
			list.cluster.Machines[strconv.Itoa(i)] = &cluster.Machine{}
		}
		if got := list.listInterval(); got != tc.want {
			t.Errorf("%s: got interval %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestUnknownWorkersAreProbed guards against adopting a machine because of a late copy of
// its heartbeat. A worker is probed only if it sends heartbeats for longer than
// unknownWorkerGrace, and again only after that time.
func TestUnknownWorkersAreProbed(t *testing.T) {
	t.Parallel()
	list := newTestList(t)
	heartbeat := &api.Heartbeat{Machine: "n-1", Address: "10.1.0.1:9000", Incarnation: 3}
	for _, tc := range []struct {
		after micros.Micros
		want  int // number of probes
	}{
		{after: 0, want: 0},
		{after: unknownWorkerGrace, want: 0},
		{after: 1, want: 1},
		{after: unknownWorkerGrace, want: 0},
		{after: 1, want: 1},
	} {
		list.Now += tc.after
		list.Effects = nil
		list.ObserveUnknownWorker(heartbeat)
		if len(list.Effects) != tc.want {
			t.Fatalf("at %d: got %d effects, want %d", list.Now, len(list.Effects), tc.want)
		}
		for _, effect := range list.Effects {
			if probe, ok := effect.(message.SendCommands); !ok || probe.Machine != "n-1" || probe.StartsTasks {
				t.Errorf("got effect %+v, want a probe of n-1", effect)
			}
		}
	}
}

// TestOrphansAreAdoptedOnce guards against recording an orphan twice, or again after it was
// deleted.
func TestOrphansAreAdoptedOnce(t *testing.T) {
	t.Parallel()
	list := newTestList(t)
	partition := list.cluster.Partitions[0]
	instance := api.Instance{ID: "n-1", Type: "g4", Zone: "alta"}
	list.ObserveInstance(instance)
	list.Now += list.orphanTimeout()
	list.ObserveInstance(instance)
	if len(partition.MachineBatches) != 0 {
		t.Fatal("orphan adopted within orphanTimeout, want no adoption yet")
	}
	for range 2 {
		list.Now += list.orphanTimeout() + 1
		list.ObserveInstance(instance)
	}
	if len(partition.MachineBatches) != 1 || !partition.MachineBatches[0].IsAdoption {
		t.Fatalf("got %d batches to record, want one adoption", len(partition.MachineBatches))
	}
	list.deletions.Record("n-2")
	if !list.AdoptOrphan(peer.Orphan{Machine: "n-2"}, sourceListed) || len(partition.MachineBatches) != 1 {
		t.Error("deleted machine adopted, or AdoptOrphan returned false; want true and no adoption")
	}
}
