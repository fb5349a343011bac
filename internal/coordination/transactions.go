package coordination

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// grantRetryInterval is how long after a transaction for which there was no grant it
	// is tried again.
	grantRetryInterval = micros.Second / 8

	// resendInterval is how long a transaction waits at least between two attempts to
	// settle it that were not given a time of their own.
	resendInterval = micros.Second

	// A transaction without an outcome is sent again after a time that doubles from
	// minRetryDelay with each attempt, maxRetryDoublings times at most, up to
	// maxRetryDelay; before jitter.
	minRetryDelay     = micros.Second / 8
	maxRetryDelay     = micros.Second
	maxRetryDoublings = 4

	// settleRetryInterval is how long after a failed read a refused transaction is
	// settled anew, before jitter.
	settleRetryInterval = micros.Second / 2
)

// Transaction is a compare-and-swap transaction that is sent again until its outcome is
// known.
//
// A transaction without an outcome may have been carried out, and may still be: the
// network may deliver it late or twice. The same transaction is therefore sent again,
// never one built anew: with random faults, the writes of one were taken for the
// other's. Since its compares name the versions of keys that it writes, it
// is carried out once at most; a repetition of one that was carried out is refused. So a
// refusal says only that no further copy will be carried out. Whether an earlier one
// was, a read tells that was sent after the refusal.
type Transaction struct {
	Request   api.Transaction
	Grant     func() leadership.Grant // asked each time that it is sent
	Settled   bool                    // its outcome is known, or no longer matters
	Malformed bool                    // the store refused it as malformed, perhaps as too large

	// OnCommitted is called once it is known to be carried out, at a revision.
	OnCommitted func(revision api.Revision)
	// OnRefused is called once it was refused and the watch cache is newer than the
	// refusal.
	OnRefused func()

	inFlight   bool
	attempts   int
	refused    bool // a read must settle it
	nextSendAt micros.Micros
}

// TransactionSender sends transactions until their outcomes are known.
type TransactionSender struct {
	*Environment
	cache *WatchCache

	transactions []*Transaction
}

// NewTransactionSender makes a transaction sender.
func NewTransactionSender(env *Environment, cache *WatchCache) *TransactionSender {
	return &TransactionSender{Environment: env, cache: cache}
}

// SubmitTransaction sends a transaction until its outcome is known.
func (s *TransactionSender) SubmitTransaction(transaction *Transaction) {
	s.transactions = append(s.transactions, transaction)
	s.send(transaction)
}

// ResendTransactions advances the transactions whose outcomes are not known, and drops
// the others.
func (s *TransactionSender) ResendTransactions() {
	unsettled := s.transactions[:0]
	for _, transaction := range s.transactions {
		if transaction.Settled {
			continue
		}
		s.advance(transaction)
		unsettled = append(unsettled, transaction)
	}
	clear(s.transactions[len(unsettled):])
	s.transactions = unsettled
}

// allTransactionsSettled reports whether no outcome is awaited.
func (s *TransactionSender) allTransactionsSettled() bool {
	return !slices.ContainsFunc(s.transactions, func(transaction *Transaction) bool { return !transaction.Settled })
}

// advance sends a transaction again, or settles a refused one, if it is due.
func (s *TransactionSender) advance(transaction *Transaction) {
	if transaction.inFlight || s.Now < transaction.nextSendAt {
		return
	}
	transaction.nextSendAt = s.Now + resendInterval
	if transaction.refused {
		s.settleRefused(transaction)
	} else {
		s.send(transaction)
	}
}

// send sends a transaction, if its grant permits that now.
func (s *TransactionSender) send(transaction *Transaction) {
	grant := transaction.Grant()
	if grant.Check(leadership.Write, s.Now) != "" {
		transaction.nextSendAt = s.Now + grantRetryInterval
		return
	}
	transaction.inFlight = true
	transaction.attempts++
	order := leadership.NewOrder(grant, &transaction.Request)
	call := message.StoreCall{Op: message.OpTransaction, Transaction: order}
	s.CallStore(call, func(reply *message.StoreReply) { s.handleReply(transaction, reply) })
}

// handleReply takes in the reply to a transaction.
func (s *TransactionSender) handleReply(transaction *Transaction, reply *message.StoreReply) {
	transaction.inFlight = false
	if transaction.Settled {
		return
	}
	switch OutcomeOf(reply) {
	case OutcomeCommitted:
		transaction.Settled = true
		transaction.OnCommitted(reply.Transaction.Revision)
	case OutcomeMalformed:
		s.LogError("transaction malformed", logkey.Error, reply.Transaction.Error)
		transaction.Malformed = true
		s.handleRefusal(transaction, reply)
	case OutcomeRefused:
		s.handleRefusal(transaction, reply)
	case OutcomeUnknown:
		transaction.nextSendAt = s.Now + s.Jitter(retryDelay(transaction.attempts))
	}
}

// retryDelay is how long after so many attempts a transaction is sent again, before
// jitter.
func retryDelay(attempts int) micros.Micros {
	return min(maxRetryDelay, minRetryDelay<<min(attempts, maxRetryDoublings))
}

// handleRefusal notes that the store refused a transaction, and has a read settle it.
func (s *TransactionSender) handleRefusal(transaction *Transaction, reply *message.StoreReply) {
	s.LogDebug("transaction refused", logkey.Status, reply.Status, logkey.FailedKeys, reply.Transaction.FailedKeys)
	transaction.refused = true
	s.settleRefused(transaction)
}

// settleRefused settles a refused transaction once the watch cache is newer than the
// refusal. If an earlier copy was carried out, the cache has shown its writes by then;
// who submitted it then marks it as settled, if a refusal would mislead.
func (s *TransactionSender) settleRefused(transaction *Transaction) {
	s.cache.ReadLatest(func(ok bool) {
		switch {
		case transaction.Settled:
		case ok:
			transaction.Settled = true
			transaction.OnRefused()
		default:
			transaction.nextSendAt = s.Now + s.Jitter(settleRetryInterval)
		}
	})
}
