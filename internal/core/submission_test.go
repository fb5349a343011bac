package core

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// TestRepeatedSubmissionCostsNoWrite guards against a transaction, which counts against the
// budget of writes, for a submission of a job that the replica knows.
func TestRepeatedSubmissionCostsNoWrite(t *testing.T) {
	f := newSyncedFixture(t)
	withDependency := []byte(string(f.submission[:len(f.submission)-1]) + `,"Espera":["` + testJob + `"]}`)
	for i, tc := range []struct {
		name string
		body []byte
	}{
		{name: "as before", body: f.submission},
		{name: "with another body", body: withDependency},
	} {
		t.Run(tc.name, func(t *testing.T) {
			submit := message.Submit{RequestID: uint64(i + 1), Body: tc.body}
			effects := f.Step(micros.Micros(i+1)*micros.Second, submit)
			if transactionWriting(effects, records.JobKey+testJob) != nil {
				t.Error("a transaction is sent for a job that is known")
			}
			for _, answer := range effectsOf[message.Answer](effects) {
				if answer.Status >= statusBadRequest && answer.Status < statusTooManyRequests {
					t.Errorf("a repeated submission was refused: %+v", answer)
				}
			}
		})
	}
}

// TestSlowSubmissionIsReadAgain guards against the answer to a submission whose write was
// held up: the job may have been cancelled by then, and its user told so elsewhere.
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
			f := newSyncedFixture(t)
			delete(f.cluster.Jobs, testJob)
			f.Now = micros.Second
			requestID := f.NextCall + 1000
			effects := f.Step(f.Now+1, message.Submit{RequestID: requestID, Body: f.submission})
			write := transactionWriting(effects, records.JobKey+testJob)
			if write == nil {
				t.Fatal("no record was sent")
			}
			f.answerReads(f.Now+1, effects)
			written := &message.StoreReply{
				Call: write.Call, Status: statusOK, Transaction: api.TransactionResult{Revision: f.cache.Revision + 1},
			}
			_, answered := answerTo(f.Step(f.Now+tc.writeTook, written), requestID)
			if answered != tc.answeredAtOnce {
				t.Errorf("answered at once: %t", answered)
			}
		})
	}
}
