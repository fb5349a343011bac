package coordination

import (
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// senderFixture is a transaction sender with one transaction submitted.
type senderFixture struct {
	*TransactionSender
	transaction *Transaction
	committed   []api.Revision // the revisions told to OnCommitted
	refusals    int            // calls of OnRefused
}

// submitOne submits one transaction. Its grant is asked anew for each attempt.
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
	fixture.SubmitTransaction(fixture.transaction)
	return fixture
}

// advanceBy lets time pass and sends what is due.
func (f *senderFixture) advanceBy(span micros.Micros) {
	f.Now += span
	f.ResendTransactions()
}

// takeAttempt returns the only call since the last time, which must carry the transaction.
func (f *senderFixture) takeAttempt(t *testing.T) message.StoreCall {
	t.Helper()
	call := takeStoreCall(t, f.Environment)
	if call.Op != message.OpTransaction || call.Transaction.Body() != &f.transaction.Request {
		t.Fatalf("another call than the same transaction: %+v", call)
	}
	return call
}

// expectOutcome checks how often each handler was called.
func (f *senderFixture) expectOutcome(t *testing.T, commits, refusals int) {
	t.Helper()
	if len(f.committed) != commits || f.refusals != refusals {
		t.Fatalf("told of %d commits and %d refusals, want %d and %d", len(f.committed), f.refusals, commits, refusals)
	}
}

// TestUnknownOutcomeIsSentAgain guards against a transaction without an answer that is
// given up or built anew: the same is sent until its outcome is known.
func TestUnknownOutcomeIsSentAgain(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	for attempt, status := range []int{message.StatusNoReply, message.StatusServiceUnavailable, message.StatusTooManyRequests} {
		call := fixture.takeAttempt(t)
		fixture.advanceBy(10 * micros.Second)
		if calls := takeStoreCalls(fixture.Environment); len(calls) > 0 {
			t.Fatalf("attempt %d: sent again while in flight", attempt)
		}
		replyTo(fixture.Environment, call, message.StoreReply{Status: status})
		fixture.ResendTransactions()
		if calls := takeStoreCalls(fixture.Environment); len(calls) > 0 {
			t.Fatalf("attempt %d: sent again at once", attempt)
		}
		fixture.expectOutcome(t, 0, 0)
		fixture.advanceBy(2 * maxRetryDelay)
	}
	if fixture.allTransactionsSettled() {
		t.Fatal("settled without an outcome")
	}
	replyTo(fixture.Environment, fixture.takeAttempt(t), message.StoreReply{
		Status:      message.StatusOK,
		Transaction: api.TransactionResult{Revision: 11},
	})
	fixture.expectOutcome(t, 1, 0)
	if fixture.committed[0] != 11 || !fixture.allTransactionsSettled() {
		t.Errorf("committed at %d, settled %t", fixture.committed[0], fixture.allTransactionsSettled())
	}
	fixture.advanceBy(10 * micros.Second)
	if calls := takeStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Error("sent again after its outcome was known")
	}
}

// refuse gives the transaction's attempt a refusal and returns the read that settles it.
func (f *senderFixture) refuse(t *testing.T, status int) message.StoreCall {
	t.Helper()
	replyTo(f.Environment, f.takeAttempt(t), message.StoreReply{Status: status})
	f.expectOutcome(t, 0, 0)
	f.cache.watchInFlight = true // only reads are of interest
	f.cache.MaintainWatch()
	read := takeStoreCall(t, f.Environment)
	if read.Op != message.OpWatch || !read.Urgent {
		t.Fatalf("a refusal is followed by %+v, not by a read", read)
	}
	return read
}

// TestRefusalIsSettledByARead guards against a refusal that is believed at once: an
// earlier copy may have been carried out, which only a later read shows.
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
				t.Errorf("malformed %t, settled %t", fixture.transaction.Malformed, fixture.transaction.Settled)
			}
		})
	}
}

// TestRefusalOfACommittedTransaction guards against a transaction that was carried out
// without an answer, and is reported as refused because its repetition was: the read
// shows its writes first, and whoever waits for them settles it.
func TestRefusalOfACommittedTransaction(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	replyTo(fixture.Environment, fixture.takeAttempt(t), message.StoreReply{Status: message.StatusNoReply})
	fixture.advanceBy(2 * maxRetryDelay)
	fixture.cache.Sink = &settlingSink{transaction: fixture.transaction}
	read := fixture.refuse(t, message.StatusConflict)
	put := api.Event{Put: "k", Value: []byte("1"), Version: 11}
	replyTo(fixture.Environment, read, message.StoreReply{
		Status: message.StatusOK,
		Watch:  api.WatchResponse{Revision: 11, Events: []api.Event{put}},
	})
	fixture.expectOutcome(t, 0, 0)
	if !fixture.allTransactionsSettled() {
		t.Error("not settled although its write was seen")
	}
}

// settlingSink marks a transaction as settled when its write is seen.
type settlingSink struct {
	recordedSink
	transaction *Transaction
}

func (s *settlingSink) ApplyPut(string, []byte, api.Revision) { s.transaction.Settled = true }

// TestFailedReadIsRepeated guards against a refused transaction that is sent again, or
// taken for refused, because the read that was to settle it failed.
func TestFailedReadIsRepeated(t *testing.T) {
	t.Parallel()
	fixture := submitOne(t, electionGrant)
	replyTo(fixture.Environment, fixture.refuse(t, message.StatusConflict), message.StoreReply{Status: message.StatusNoReply})
	fixture.expectOutcome(t, 0, 0)
	fixture.advanceBy(2 * settleRetryInterval)
	if calls := takeStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Fatalf("a refused transaction was followed by %+v before the next read", calls)
	}
	fixture.cache.MaintainWatch()
	read := takeStoreCall(t, fixture.Environment)
	if read.Op != message.OpWatch {
		t.Fatalf("%+v is no read", read)
	}
	replyTo(fixture.Environment, read, message.StoreReply{Status: message.StatusOK})
	fixture.expectOutcome(t, 0, 1)
}

// TestTransactionWaitsForItsGrant guards against a transaction that is sent without a
// grant, or never once it has one.
func TestTransactionWaitsForItsGrant(t *testing.T) {
	t.Parallel()
	var grant leadership.Grant
	fixture := submitOne(t, func() leadership.Grant { return grant })
	fixture.advanceBy(grantRetryInterval)
	if calls := takeStoreCalls(fixture.Environment); len(calls) > 0 {
		t.Fatal("sent without a grant")
	}
	grant = electionGrant()
	fixture.advanceBy(resendInterval)
	fixture.takeAttempt(t)
}

// TestRetryDelay guards the doubling of the time between two attempts, and its bound.
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
			t.Errorf("after %d attempts: %d us, want %d", tc.attempts, got, tc.want)
		}
	}
}
