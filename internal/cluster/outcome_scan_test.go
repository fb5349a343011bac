package cluster

import (
	"fmt"
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// testPageSize is the number of keys on a page of terminalStore.
const testPageSize = 500

// terminalStore holds terminal records, and answers the reads of an environment.
type terminalStore struct {
	env   *coordination.Environment
	keys  []string // sorted
	value []byte
	reads int
	fail  func(call message.StoreCall) bool // whether a read gets no reply; nil: none
}

// newTerminalStore returns a store with the records of jobs that were cancelled, numbered from 0.
func newTerminalStore(t *testing.T, env *coordination.Environment, jobs int) *terminalStore {
	t.Helper()
	store := &terminalStore{env: env, value: records.MustMarshal(records.TerminalJob{State: api.JobCancelled})}
	for i := range jobs {
		store.keys = append(store.keys, records.TerminalPrefix+testJobID(i))
	}
	slices.Sort(store.keys)
	return store
}

func testJobID(number int) string { return fmt.Sprintf("wk-%06d", number) }

// answer answers the reads that are in flight, and those that follow from the answers.
func (s *terminalStore) answer() {
	for {
		calls := storeCalls(s.env)
		if len(calls) == 0 {
			return
		}
		for _, call := range calls {
			s.reads++
			handle := s.env.StoreReplyHandlers[call.CallID]
			delete(s.env.StoreReplyHandlers, call.CallID)
			handle(s.reply(call))
		}
	}
}

// storeCalls removes the calls to the store from the effects and returns them.
func storeCalls(env *coordination.Environment) []message.StoreCall {
	var calls []message.StoreCall
	for _, effect := range env.Effects {
		if call, ok := effect.(message.StoreCall); ok {
			calls = append(calls, call)
		}
	}
	env.Effects = nil
	return calls
}

func (s *terminalStore) reply(call message.StoreCall) *message.StoreReply {
	if s.fail != nil && s.fail(call) {
		return &message.StoreReply{CallID: call.CallID}
	}
	reply := &message.StoreReply{CallID: call.CallID, Status: message.StatusOK}
	if call.Op == message.OpGet {
		if _, found := slices.BinarySearch(s.keys, call.Key); !found {
			reply.Status = message.StatusNotFound
		}
		reply.Item = api.KeyValue{Key: call.Key, Value: s.value}
		return reply
	}
	first, _ := slices.BinarySearch(s.keys, call.Key)
	end := min(len(s.keys), first+testPageSize)
	for _, key := range s.keys[first:end] {
		reply.Page.Pairs = append(reply.Page.Pairs, api.KeyValue{Key: key, Value: s.value})
	}
	reply.Page.More = end < len(s.keys)
	return reply
}

// TestManyOutcomesAreReadByPages guards against minutes in which users get no answer about jobs
// that wait for others: after a restart the outcomes of thousands of ended jobs were read one by
// one.
func TestManyOutcomesAreReadByPages(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		ended     int // jobs with a terminal record
		step      int // every so many of them is one that another job depends on
		failPages int // this many reads get no reply
		maxReads  int
	}{
		{name: "few", ended: 4_000, step: 1_000, maxReads: 4},
		{name: "all", ended: 9_000, step: 1, maxReads: 18},
		{name: "every tenth", ended: 50_000, step: 10, maxReads: 100},
		{name: "far apart", ended: 60_000, step: 1_500, maxReads: 40},
		{name: "some replies lost", ended: 9_000, step: 1, failPages: 3, maxReads: 21},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			graph := newGraph(t, env)
			store := newTerminalStore(t, env, tc.ended)
			store.fail = func(message.StoreCall) bool {
				tc.failPages--
				return tc.failPages >= 0
			}
			var jobs []*Job
			for i := 0; i < tc.ended; i += tc.step {
				job := addTestJob(t, graph.cluster, fmt.Sprintf("wk-9%06d", i), 1)
				job.Dependencies = []string{testJobID(i)}
				graph.Link(job)
				jobs = append(jobs, job)
			}
			for range 5 {
				graph.ReadUnknownOutcomes()
				store.answer()
				env.Now += 2 * outcomeRetryInterval
			}
			if store.reads > tc.maxReads {
				t.Errorf("got %d reads, want at most %d", store.reads, tc.maxReads)
			}
			for _, job := range jobs {
				if !job.Cancelled {
					t.Fatalf("%s: got a job whose dependency is not known, want it cancelled", job.ID)
				}
			}
		})
	}
}

// TestScanReportsMissingAndFailed checks that a scan tells jobs that have no record from those
// that it could not read.
func TestScanReportsMissingAndFailed(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	graph := newGraph(t, env)
	store := newTerminalStore(t, env, 2*testPageSize)
	pages := 0
	store.fail = func(message.StoreCall) bool {
		pages++
		return pages == 2
	}
	ids := []string{"wk-000001", "wk-0000015", testJobID(2*testPageSize - 1), "wk-999999"}
	var scanned *outcomeScan
	graph.scanOutcomes(ids, func(scan *outcomeScan) { scanned = scan })
	store.answer()
	if scanned == nil || !slices.Equal(scanned.missing, ids[1:2]) || !slices.Equal(scanned.failed(), ids[2:]) {
		t.Errorf("got scan %+v, want %v missing and %v failed", scanned, ids[1:2], ids[2:])
	}
	if _, ok := graph.TerminalStates.Records[ids[0]]; !ok {
		t.Errorf("got no terminal state of %s, want one", ids[0])
	}
}

// TestDeepAndWidePipelines guards against an event loop that stops while the end of one job is
// passed on to thousands of others, in a chain or with thousands of dependencies each.
func TestDeepAndWidePipelines(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name         string
		jobs         int
		dependencies func(i int) []string
	}{
		{"chain", 20_000, func(i int) []string { return []string{testJobID(i + 1)} }},
		{"many dependencies each", 1_000, func(int) []string {
			var ids []string
			for i := range 4_000 {
				ids = append(ids, testJobID(100_000+i))
			}
			return ids
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			graph := newGraph(t, env)
			var jobs []*Job
			for i := range tc.jobs {
				job := addTestJob(t, graph.cluster, testJobID(i), 1)
				job.Dependencies = tc.dependencies(i)
				graph.Link(job)
				jobs = append(jobs, job)
			}
			if job := jobs[0]; !job.MayBeCancelled() {
				t.Fatal("before a record is read: got a job that can't be cancelled, want one that may be")
			}
			for _, id := range jobs[tc.jobs-1].Dependencies {
				graph.RecordTerminalState(id, records.TerminalJob{State: api.JobCancelled})
			}
			for _, job := range jobs {
				if !job.Cancelled {
					t.Fatalf("%s: got it not cancelled, want it cancelled", job.ID)
				}
				graph.Unlink(job)
			}
			if len(graph.ByJob) != 0 {
				t.Errorf("got %d dependencies after all jobs ended, want none", len(graph.ByJob))
			}
		})
	}
}
