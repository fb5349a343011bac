package cluster

import (
	"fmt"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// newGraph returns a dependency graph for an empty replica whose watch cache is synced.
func newGraph(t *testing.T, env *coordination.Environment) *DependencyGraph {
	t.Helper()
	state := newState(t, env)
	state.cache.Synced = true
	return NewDependencyGraph(env, state.cache, state, NewCycleTrigger(env))
}

// replyToReads replies to all reads of the store that are in flight, and returns their number.
func replyToReads(t *testing.T, env *coordination.Environment, reply message.StoreReply) int {
	t.Helper()
	calls := env.StoreReplyHandlers
	env.StoreReplyHandlers = map[uint64]func(*message.StoreReply){}
	for _, onRead := range calls {
		onRead(&reply)
	}
	return len(calls)
}

func terminalReply(t *testing.T, state api.JobState) message.StoreReply {
	t.Helper()
	return message.StoreReply{
		Status: message.StatusOK, Item: api.KeyValue{Value: records.MustMarshal(records.TerminalJob{State: state})},
	}
}

// terminalPage returns a page of the records of count jobs that are done, numbered from 0, and of
// jobs between them that nobody asks for.
func terminalPage(t *testing.T, count int, more bool) message.StoreReply {
	t.Helper()
	reply := message.StoreReply{Status: message.StatusOK, Page: api.KeyValuePage{More: more}}
	value := records.MustMarshal(records.TerminalJob{State: api.JobDone})
	for i := range count {
		key := fmt.Sprintf("%swk-%06d", records.TerminalPrefix, i)
		reply.Page.Pairs = append(reply.Page.Pairs, api.KeyValue{Key: key, Value: value}, api.KeyValue{Key: key + "0", Value: value})
	}
	return reply
}

// TestUnknownDependency checks a job that depends on one that ended before the replica could
// show how.
func TestUnknownDependency(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                string
		reply               message.StoreReply
		pending             int
		unknown             bool
		dependencyCancelled bool
		readAgain           bool
	}{
		{name: "done", reply: terminalReply(t, api.JobDone)},
		{name: "cancelled", reply: terminalReply(t, api.JobCancelled), pending: 1, dependencyCancelled: true},
		{
			name: "no answer", reply: message.StoreReply{Status: message.StatusServiceUnavailable},
			pending: 1, unknown: true, readAgain: true,
		},
		{name: "no record", reply: message.StoreReply{Status: message.StatusNotFound}, pending: 1, unknown: true, readAgain: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			graph := newGraph(t, env)
			job := addTestJob(t, graph.cluster, "wk-000002", 1)
			job.Dependencies = []string{"wk-000001"}
			graph.Link(job)
			if job.PendingDependencies != 1 || job.undeterminedDependencies != 1 {
				t.Fatalf("got %d dependencies pending and %d unknown, want 1 and 1", job.PendingDependencies, job.undeterminedDependencies)
			}
			graph.ReadUnknownOutcomes()
			if reads := replyToReads(t, env, tc.reply); reads != 1 {
				t.Fatalf("got %d reads, want 1", reads)
			}
			if job.PendingDependencies != tc.pending || job.undeterminedDependencies > 0 != tc.unknown {
				t.Errorf(
					"got %d dependencies pending and %d unknown, want %d pending and any unknown %t",
					job.PendingDependencies, job.undeterminedDependencies, tc.pending, tc.unknown,
				)
			}
			if job.Cancelled != tc.dependencyCancelled || job.DependencyCancelled != tc.dependencyCancelled {
				t.Errorf(
					"got cancelled %t and dependency cancelled %t, want both %t",
					job.Cancelled, job.DependencyCancelled, tc.dependencyCancelled,
				)
			}
			env.Now += 2 * outcomeRetryInterval
			graph.ReadUnknownOutcomes()
			if readAgain := len(env.StoreReplyHandlers) == 1; readAgain != tc.readAgain {
				t.Errorf("got read again %t, want %t", readAgain, tc.readAgain)
			}
		})
	}
}

// startVerify verifies a submission that depends on dependencies jobs. replicaRead is the result
// of reading the replica, if that is necessary. It returns the answered statuses, to which later
// answers are added.
func startVerify(t *testing.T, graph *DependencyGraph, dependencies int, replicaRead bool) *[]int {
	t.Helper()
	spec := &api.Job{}
	for i := range dependencies {
		spec.Dependencies = append(spec.Dependencies, fmt.Sprintf("wk-%06d", i))
	}
	answers := &[]int{}
	check := &dependencyCheck{graph: graph, spec: spec, answer: func(status int, _ string) {
		*answers = append(*answers, status)
	}}
	if len(check.unknownDependencies()) > 0 {
		check.handleReplicaRead(replicaRead)
	} else {
		graph.Verify(spec, check.answer)
	}
	return answers
}

// TestVerifyDependencies verifies submissions whose dependencies the replica has or does not
// have.
func TestVerifyDependencies(t *testing.T) {
	t.Parallel()
	const accepted = 0
	for _, tc := range []struct {
		name         string
		dependencies int
		prepare      func(*DependencyGraph)
		replicaRead  bool // whether a necessary read of the replica succeeds
		reply        message.StoreReply
		want         int
		reads        int // number of reads of terminal records
	}{
		{name: "none", want: accepted},
		{name: "unfinished", dependencies: 1, prepare: func(graph *DependencyGraph) {
			graph.cluster.AddJob("wk-000000", api.Job{})
		}, want: accepted},
		{name: "a service", dependencies: 1, prepare: func(graph *DependencyGraph) {
			graph.cluster.AddJob("wk-000000", api.Job{}).Spec.Kind = api.KindService
		}, want: message.StatusUnprocessableEntity},
		{name: "the store does not answer", dependencies: 1, want: message.StatusServiceUnavailable},
		{name: "ended", dependencies: 2, replicaRead: true, reply: terminalReply(t, api.JobDone), want: accepted, reads: 2},
		{
			name: "never accepted", dependencies: 1, replicaRead: true, reply: message.StoreReply{Status: message.StatusNotFound},
			want: message.StatusUnprocessableEntity, reads: 1,
		},
		{
			name: "not read", dependencies: 1, replicaRead: true, reply: message.StoreReply{Status: message.StatusServiceUnavailable},
			want: message.StatusServiceUnavailable, reads: 1,
		},
		{
			name: "more than are read one by one", dependencies: maxOutcomeReads + 1, replicaRead: true,
			reply: terminalPage(t, maxOutcomeReads+1, false), want: accepted, reads: 1,
		},
		{
			name: "one of many was never accepted", dependencies: maxOutcomeReads + 2, replicaRead: true,
			reply: terminalPage(t, maxOutcomeReads+1, false), want: message.StatusUnprocessableEntity, reads: 1,
		},
		{
			name: "many, not read", dependencies: maxOutcomeReads + 1, replicaRead: true,
			reply: message.StoreReply{Status: message.StatusServiceUnavailable}, want: message.StatusServiceUnavailable, reads: 1,
		},
		{name: "too many in flight", dependencies: 1, prepare: func(graph *DependencyGraph) {
			graph.outcomeReads, graph.outcomeScans = maxOutcomeReads, maxOutcomeScans
		}, replicaRead: true, want: message.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newEnvironment(t)
			graph := newGraph(t, env)
			if tc.prepare != nil {
				tc.prepare(graph)
			}
			answers := startVerify(t, graph, tc.dependencies, tc.replicaRead)
			if reads := replyToReads(t, env, tc.reply); reads != tc.reads {
				t.Errorf("got %d reads, want %d", reads, tc.reads)
			}
			if len(*answers) != 1 || (*answers)[0] != tc.want {
				t.Errorf("got answers %v, want only %d", *answers, tc.want)
			}
		})
	}
}
