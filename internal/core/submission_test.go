package core

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// TestRepeatedSubmissionCostsNoWrite guards against a transaction for a submission of a job
// that is already in the replica. Each transaction counts against the store's write limit.
func TestRepeatedSubmissionCostsNoWrite(t *testing.T) {
	fixture := newSyncedFixture(t)
	withDependency := []byte(string(fixture.submission[:len(fixture.submission)-1]) + `,"Espera":["` + testJob + `"]}`)
	for index, tc := range []struct {
		name string
		body []byte
	}{
		{name: "as before", body: fixture.submission},
		{name: "with another body", body: withDependency},
	} {
		t.Run(tc.name, func(t *testing.T) {
			submit := message.Submit{RequestID: uint64(index + 1), Body: tc.body}
			effects := fixture.Step(micros.Micros(index+1)*micros.Second, submit)
			if transactionWriting(effects, records.JobPrefix+testJob) != nil {
				t.Error("submission of a known job: got a transaction, want none")
			}
			for _, answer := range effectsOf[message.Answer](effects) {
				if answer.Status >= message.StatusBadRequest && answer.Status < message.StatusTooManyRequests {
					t.Errorf("repeated submission: got answer %+v, want no permanent refusal", answer)
				}
			}
		})
	}
}

// TestSlowSubmissionIsReadAgain guards against an outdated answer to a submission whose write
// was delayed: by then another controller may have confirmed the job's cancellation.
func TestSlowSubmissionIsReadAgain(t *testing.T) {
	for _, tc := range []struct {
		name           string
		writeTook      micros.Micros
		answeredAtOnce bool
	}{
		{name: "quick", writeTook: 1, answeredAtOnce: true},
		{name: "slow", writeTook: coordination.MaxReadAge + 1, answeredAtOnce: false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newSyncedFixture(t)
			delete(fixture.cluster.Jobs, testJob)
			fixture.Now = micros.Second
			requestID := fixture.LastCallID + 1000
			effects := fixture.Step(fixture.Now+1, message.Submit{RequestID: requestID, Body: fixture.submission})
			write := transactionWriting(effects, records.JobPrefix+testJob)
			if write == nil {
				t.Fatal("got no write of the job's record, want one")
			}
			fixture.answerReads(fixture.Now+1, effects)
			written := &message.StoreReply{
				CallID: write.CallID, Status: message.StatusOK, Transaction: api.TransactionResult{Revision: fixture.cache.Revision + 1},
			}
			_, answered := answerTo(fixture.Step(fixture.Now+tc.writeTook, written), requestID)
			if answered != tc.answeredAtOnce {
				t.Errorf("answered at once: got %t, want %t", answered, tc.answeredAtOnce)
			}
		})
	}
}
