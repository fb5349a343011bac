package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/settings"

	"github.com/go-json-experiment/json"
)

// watched is a controller whose replica holds one job, accepted at revision 3.
func watched(t *testing.T) (*Controller, []byte, api.Event) {
	t.Helper()
	set := &settings.Settings{Operators: settings.Defaults(), TeamPartition: map[string]int{"norte": 0}, Nodes: []string{"nodo-0"}}
	set.Node, set.Operators.Partitions = "nodo-0", 2
	set.Deployment.Teams = []settings.Team{{Name: "norte"}}
	set.Deployment.Store = settings.StoreLimits{RPS: 200, WriteRPS: 20, ValueKB: 8, MaxTransactionOps: 12}
	c := New(set, 1, rand.New(rand.NewPCG(1, 1)))
	c.cache.Synced = true
	c.catalog.MachineTypes = []api.MachineType{{Name: "g4", CPUs: 24, GPUs: 4, MemoryGB: 100, Zones: []string{"alta"}}}
	spec := api.Job{ID: "wk-000001", Class: "c", Team: "norte", Kind: api.Array, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i", EstimateS: 5}
	put := api.Event{Put: records.JobKey + spec.ID, Value: records.MustMarshal(records.JobRecord{Spec: spec, AcceptedAt: 1}), Version: 3}
	c.cache.ApplyWatchReply(&message.StoreReply{Status: 200, Watch: api.WatchResponse{Revision: 3, Events: []api.Event{put}}}, 0)
	body := map[string]any{}
	if err := json.Unmarshal(records.MustMarshal(spec), &body); err != nil {
		t.Fatal(err)
	}
	body["Zona"], body["PlazoS"] = nil, nil
	return c, records.MustMarshal(body), put
}

// TestOvertakenWatch guards against an answer of a watch that a later one
// overtook: it brought back a job that was over, for good.
func TestOvertakenWatch(t *testing.T) {
	c, _, put := watched(t)
	if c.cluster.Jobs["wk-000001"] == nil {
		t.Fatal("the job is not in the replica")
	}
	c.cache.ApplyWatchReply(&message.StoreReply{Status: 200, Watch: api.WatchResponse{Revision: 5, Events: []api.Event{put, {Delete: put.Put, Version: 5}}}}, 0)
	c.cache.ApplyWatchReply(&message.StoreReply{Status: 200, Watch: api.WatchResponse{Revision: 3, Events: []api.Event{put}}}, 0)
	if c.cluster.Jobs["wk-000001"] != nil || c.dependencies.TerminalStates.Records["wk-000001"].State != api.JobDone {
		t.Errorf("a job that was over came back; its end is taken for %+v", c.dependencies.TerminalStates.Records["wk-000001"])
	}
}

// TestRetryCostsNoChange guards against a transaction, which counts as a change,
// for a submission of a job that the replica knows.
func TestRetryCostsNoChange(t *testing.T) {
	c, body, _ := watched(t)
	txns := 0
	for i, b := range [][]byte{body, []byte(string(body[:len(body)-1]) + `,"Espera":["wk-000001"]}`)} {
		for _, e := range c.Step(micros.Micros(i+1)*micros.Second, message.Submit{RequestID: uint64(i + 1), Body: b}) {
			if call, ok := e.(message.StoreCall); ok && call.Op == message.OpTransaction && len(call.Transaction.Body().Writes) > 0 && call.Transaction.Body().Writes[0].Put == records.JobKey+"wk-000001" {
				txns++
			}
			if a, ok := e.(message.Answer); ok && a.Status >= 400 && a.Status < 429 {
				t.Errorf("a retry was refused: %+v", a)
			}
		}
	}
	if txns > 0 {
		t.Errorf("%d transactions for a job that is known", txns)
	}
}

// TestPack guards that a long list of needs comes back as it was, leading
// zeros included, and takes so little room that several hundred fit into a
// value of 2 KiB beside the job.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ count, digits, room int }{{1, 6, 60}, {500, 6, 1400}, {40, 18, 600}, {300, 1, 60}, {1000, 9, 6000}} {
		want := map[string]bool{}
		for len(want) < min(c.count, 10) || len(want) < c.count && c.digits > 2 {
			most := uint64(1)
			for range c.digits {
				most *= 10
			}
			want[fmt.Sprintf("wk-%0*d", c.digits, rng.Uint64N(most))] = true
		}
		want["wk-7"], want["wk-07"], want["wk-000000000000000000"] = true, true, true
		rec := records.JobRecord{Spec: api.Job{ID: "wk-1", Dependencies: slices.Sorted(maps.Keys(want))}}
		rec.PackDependencies()
		b := records.MustMarshal(rec)
		if spec := len(records.MustMarshal(records.JobRecord{Spec: api.Job{ID: "wk-1"}})); len(b)-spec > c.room+60 {
			t.Errorf("%d ids of %d digits take %d bytes", len(want), c.digits, len(b)-spec)
		}
		got := rec.Dependencies()
		slices.Sort(got)
		if !slices.Equal(got, slices.Sorted(maps.Keys(want))) {
			t.Errorf("%d ids of %d digits came back as %d others", len(want), c.digits, len(got))
		}
	}
}

// FuzzNeeds guards that what is unreadable in a job's record does no harm.
func FuzzNeeds(f *testing.F) {
	f.Add([]byte{6, 2, 1, 1})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		rec := records.JobRecord{PackedDependencies: b}
		if ids := rec.Dependencies(); len(ids) > len(b) {
			t.Errorf("%d bytes give %d ids", len(b), len(ids))
		}
	})
}
