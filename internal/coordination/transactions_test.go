package coordination

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// senderFixture is a transaction sender to which one transaction was submitted.
type senderFixture struct {
	*TransactionSender
	transaction *Transaction
	committed   []api.Revision // the arguments of the calls of OnCommitted
	refusals    int            // the number of calls of OnRefused
}

// submitOne submits one transaction to a new sender. grant is called before each attempt.
func submitOne(t *testing.T, grant func() leadership.Grant) *senderFixture {
	t.Helper()
	env := newTestEnvironment(t)
	cache, _ := newSyncedCache(env)
	fixture := &senderFixture{TransactionSender: NewTransactionSender(env, cache)}
	fixture.transaction = &Transaction{
		Request: api.Transaction{
			Compares: []api.Compare{{Key: "k", Version: 9}},
			Writes:   []api.Write{{Put: "k", Value: []byte("1")}},
		},
		Grant:       grant,
		OnCommitted: func(revision api.Revision) { fixture.committed = append(fixture.committed, revision) },
		OnRefused:   func() { fixture.refusals++ },
	}
	fixture.Submit(fixture.transaction)
	return fixture
}

// advanceTime advances the clock by span and resends what is due.
func (f *senderFixture) advanceTime(span micros.Micros) {
	f.Now += span
	f.Resend()
}

// popTransactionCall returns the only emitted call, which must carry the transaction, and clears all
// effects.
func (f *senderFixture) popTransactionCall(t *testing.T) message.StoreCall {
	t.Helper()
	call := popStoreCall(t, f.Environment)
	if call.Op != message.OpTransaction || call.Transaction.Body() != &f.transaction.Request {
		t.Fatalf("got call %+v, want the same transaction", call)
	}
	return call
}

// expectOutcome checks how often OnCommitted and OnRefused were called.
func (f *senderFixture) expectOutcome(t *testing.T, commits, refusals int) {
	t.Helper()
	if len(f.committed) != commits || f.refusals != refusals {
		t.Fatalf("got %d commits and %d refusals, want %d and %d", len(f.committed), f.refusals, commits, refusals)
	}
}

// TestUnknownOutcomeIsSentAgain guards against a transaction that is abandoned or rebuilt
// because its outcome is unknown. The same transaction must be sent until its outcome is
// known.
func TestUnknownOutcomeIsSentAgain(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	for attempt, status := range []int{message.StatusNoReply, message.StatusServiceUnavailable, message.StatusTooManyRequests} {
		call := fixture.popTransactionCall(t)
		fixture.advanceTime(10 * micros.Second)
		if calls := popStoreCalls(fixture.Environment); len(calls) > 0 {
			t.Fatalf("attempt %d: got another call while it is in flight, want none", attempt)
		}
		replyTo(fixture.Environment, call, message.StoreReply{Status: status})
		fixture.Resend()
		if calls := popStoreCalls(fixture.Environment); len(calls) > 0 {
			t.Fatalf("attempt %d: got another call at once, want none before the retry delay", attempt)
		}
		fixture.expectOutcome(t, 0, 0)
		fixture.advanceTime(2 * maxRetryDelay)
	}
	if fixture.allSettled() {
		t.Fatal("got settled without an outcome, want unsettled")
	}
	replyTo(fixture.Environment, fixture.popTransactionCall(t), message.StoreReply{
		Status:      message.StatusOK,
		Transaction: api.TransactionResult{Revision: 11},
	})
	fixture.expectOutcome(t, 1, 0)
	if fixture.committed[0] != 11 || !fixture.allSettled() {
		t.Errorf("got committed at %d and settled %t, want 11 and true", fixture.committed[0], fixture.allSettled())
	}
	fixture.advanceTime(10 * micros.Second)
	if calls := popStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Error("got another call after the outcome was known, want none")
	}
}

// refuse delivers a refusal as the reply to an attempt and returns the read that settles it.
func (f *senderFixture) refuse(t *testing.T, status int) message.StoreCall {
	t.Helper()
	replyTo(f.Environment, f.popTransactionCall(t), message.StoreReply{Status: status})
	f.expectOutcome(t, 0, 0)
	f.cache.watchInFlight = true // so that only reads are sent
	f.cache.MaintainWatch()
	read := popStoreCall(t, f.Environment)
	if read.Op != message.OpWatch || !read.Urgent {
		t.Fatalf("got call %+v after a refusal, want a read", read)
	}
	return read
}

// TestRefusalIsSettledByARead guards against a refusal that is reported at once. An earlier
// copy of the transaction may have been committed, which only a later read shows.
func TestRefusalIsSettledByARead(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		status    int
		malformed bool
	}{
		{"a compare failed", message.StatusConflict, false},
		{"malformed", message.StatusBadRequest, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fixture := submitOne(t, electionGrant)
			read := fixture.refuse(t, tc.status)
			fixture.expectOutcome(t, 0, 0)
			replyTo(fixture.Environment, read, message.StoreReply{Status: message.StatusOK, Watch: api.WatchResponse{Revision: 12}})
			fixture.expectOutcome(t, 0, 1)
			if fixture.transaction.Malformed != tc.malformed || !fixture.transaction.Settled {
				t.Errorf("got malformed %t and settled %t, want %t and true",
					fixture.transaction.Malformed, fixture.transaction.Settled, tc.malformed)
			}
		})
	}
}

// TestRefusalOfACommittedTransaction guards against a committed transaction that is reported
// as refused. That can happen if the reply to the first copy is lost and the second copy is
// refused. The read shows the writes of the transaction before it settles the refusal, and
// the sink then marks the transaction as settled.
func TestRefusalOfACommittedTransaction(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	replyTo(fixture.Environment, fixture.popTransactionCall(t), message.StoreReply{Status: message.StatusNoReply})
	fixture.advanceTime(2 * maxRetryDelay)
	fixture.cache.Sink = &settlingSink{transaction: fixture.transaction}
	read := fixture.refuse(t, message.StatusConflict)
	put := api.Event{Put: "k", Value: []byte("1"), Version: 11}
	replyTo(fixture.Environment, read, message.StoreReply{
		Status: message.StatusOK,
		Watch:  api.WatchResponse{Revision: 11, Events: []api.Event{put}},
	})
	fixture.expectOutcome(t, 0, 0)
	if !fixture.allSettled() {
		t.Error("got unsettled after the write was seen, want settled")
	}
}

// settlingSink is a sink that marks a transaction as settled when it sees a write.
type settlingSink struct {
	recordingSink
	transaction *Transaction
}

func (s *settlingSink) ApplyPut(string, []byte, api.Revision) { s.transaction.Settled = true }

// TestFailedReadIsRepeated guards against a refused transaction that is sent again, or
// reported as refused, although the read that should settle it failed.
func TestFailedReadIsRepeated(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	replyTo(fixture.Environment, fixture.refuse(t, message.StatusConflict), message.StoreReply{Status: message.StatusNoReply})
	fixture.expectOutcome(t, 0, 0)
	fixture.advanceTime(2 * settleRetryInterval)
	if calls := popStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Fatalf("got calls %+v after a refusal and before the next read, want none", calls)
	}
	fixture.cache.MaintainWatch()
	read := popStoreCall(t, fixture.Environment)
	if read.Op != message.OpWatch {
		t.Fatalf("got call %+v, want a read", read)
	}
	replyTo(fixture.Environment, read, message.StoreReply{Status: message.StatusOK})
	fixture.expectOutcome(t, 0, 1)
}

// TestTransactionWaitsForGrant guards against a transaction that is sent without a grant, or
// that is not sent after a grant is given.
func TestTransactionWaitsForGrant(t *testing.T) {
	t.Parallel()
	var grant leadership.Grant
	fixture := submitOne(t, func() leadership.Grant { return grant })
	fixture.advanceTime(grantRetryInterval)
	if calls := popStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Fatal("got a call without a grant, want none")
	}
	grant = electionGrant()
	fixture.advanceTime(resendInterval)
	fixture.popTransactionCall(t)
}

// TestRetryDelay guards against a retry delay that does not double with each attempt, or that
// exceeds its maximum.
func TestRetryDelay(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		attempts int
		want     micros.Micros
	}{
		{1, micros.Second / 4},
		{2, micros.Second / 2},
		{3, micros.Second},
		{4, micros.Second},
		{1000, micros.Second},
	} {
		if got := retryDelay(tc.attempts); got != tc.want {
			t.Errorf("after %d attempts: got %d us, want %d", tc.attempts, got, tc.want)
		}
	}
}
