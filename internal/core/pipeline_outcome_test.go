package core

import (
	"strings"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// putDependent returns the watch event that adds a job with one dependency.
func putDependent(id, dependency string, version api.Revision) api.Event {
	spec := api.Job{
		ID: id, Class: "c", Team: "norte", Kind: api.KindArray, Priority: "standard", Tasks: 1, CPUs: 1, Image: "i", EstimateS: 5,
		Dependencies: []string{dependency},
	}
	value := records.MustMarshal(records.Job{Spec: spec, AcceptedAt: 1})
	return api.Event{Put: records.JobPrefix + id, Value: value, Version: version}
}

// answerTerminalReads replies to the reads of terminal records among the effects that the jobs
// were cancelled, and returns the effects of these replies.
func (f *syncedFixture) answerTerminalReads(effects []message.Effect) []message.Effect {
	var answered []message.Effect
	for _, call := range storeCallsOf(effects, message.OpGet) {
		if strings.HasPrefix(call.Key, records.TerminalPrefix) {
			value := records.MustMarshal(records.TerminalJob{State: api.JobCancelled})
			reply := &message.StoreReply{CallID: call.CallID, Status: message.StatusOK, Item: api.KeyValue{Value: value}}
			answered = append(answered, f.Step(f.Now, reply)...)
		}
	}
	return answered
}

// TestPipelineCancelledBeforeReplicaWasRead guards against a job that is taken for done, so that
// the next one runs, although it was cancelled with the first job of its pipeline: that job had
// ended before the replica was read. Until its record is read, nothing is known of any job behind
// it, in whatever order they end.
func TestPipelineCancelledBeforeReplicaWasRead(t *testing.T) {
	t.Parallel()
	const first, second, third, last = "wk-000500", "wk-000990", "wk-000050", "wk-000970"
	for _, tc := range []struct {
		name string
		ends []string
	}{
		{"the third ends", []string{third}},
		{"the third ends before the second", []string{third, second}},
		{"the second ends before the third", []string{second, third}},
		{"the last ends before the third", []string{last, third}},
		{"all end", []string{last, third, second}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fixture := newSyncedFixture(t)
			// Keys are listed in their order, which is not that of the pipeline.
			fixture.applyWatchReply(
				10, putDependent(third, second, 5), putDependent(last, third, 6), putDependent(second, first, 4),
			)
			reads := fixture.Step(fixture.Now, message.Tick{}) // of the record of the first job, still unanswered
			for i, id := range tc.ends {
				revision := api.Revision(11 + i)
				fixture.applyWatchReply(revision, api.Event{Delete: records.JobPrefix + id, Version: revision})
			}
			for _, id := range []string{second, third, last} {
				if record, ok := fixture.dependencies.TerminalStates.Records[id]; ok {
					t.Errorf("%s before any record is read: got %+v, want it unknown", id, record)
				}
				if job := fixture.cluster.Jobs[id]; job != nil && (job.PendingDependencies != 1 || !job.MayBeCancelled()) {
					t.Errorf("%s: got %d dependencies pending and may be cancelled %t, want 1 and true",
						id, job.PendingDependencies, job.MayBeCancelled())
				}
			}
			pipeline := []string{second, third, last}
			fixture.pollCancelled(t, pipeline)
			fixture.answerTerminalReads(reads)
			fixture.pollCancelled(t, pipeline)
			if told := fixture.pollCancelled(t, pipeline); told != len(pipeline) {
				t.Errorf("in the end: got answers about %d jobs, want %d", told, len(pipeline))
			}
		})
	}
}

// pollCancelled polls for jobs, and replies to the reads that follow. No answer may tell anything
// but that the job is cancelled. It returns how many of the jobs it was told that of.
func (f *syncedFixture) pollCancelled(t *testing.T, ids []string) int {
	t.Helper()
	told := 0
	for i, id := range ids {
		f.Now += f.Settings.LeaseTTL() // the next read of the changes may be sent
		requestID := uint64(100 + i)
		effects := f.Step(f.Now, message.GetStatus{RequestID: requestID, ID: id})
		effects = append(effects, f.answerReads(f.Now, effects)...)
		effects = append(effects, f.answerTerminalReads(effects)...)
		answer, _ := answerTo(effects, requestID)
		status, ok := answer.Body.(api.JobStatus)
		if !ok {
			continue
		}
		told++
		if status.State != api.JobCancelled {
			t.Errorf("%s: got %s, want %s or no state", id, status.State, api.JobCancelled)
		}
	}
	return told
}
