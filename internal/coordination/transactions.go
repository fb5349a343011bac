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
	// grantRetryInterval is the time until a transaction without a valid grant is tried
	// again.
	grantRetryInterval = micros.Second / 8

	// resendInterval is the minimum time between two attempts to send or settle a
	// transaction, unless the first attempt sets the time of the next.
	resendInterval = micros.Second

	// A transaction with an unknown outcome is sent again after a delay. The delay is
	// baseRetryDelay, doubled with each attempt at most maxRetryDoublings times, and at most
	// maxRetryDelay, all before jitter.
	baseRetryDelay    = micros.Second / 8
	maxRetryDelay     = micros.Second
	maxRetryDoublings = 4

	// settleRetryInterval is the time from a failed read to the next attempt to settle a
	// refused transaction, before jitter.
	settleRetryInterval = micros.Second / 2
)

// Transaction is a compare-and-swap transaction that is sent again until its outcome is
// known.
//
// While the outcome is unknown, the transaction may have been committed and may still be
// committed, because the network may deliver it late or twice. Therefore the same
// transaction is sent again, never a rebuilt one. With a rebuilt one, the writes of the
// first can be mistaken for those of the second, which happens in tests with random faults.
//
// The compares name the versions of the keys that the transaction writes, so at most one
// copy is committed and later copies are refused. A refusal therefore says only that no
// further copy will be committed. A read that is sent after the refusal shows whether an
// earlier copy was.
type Transaction struct {
	Request   api.Transaction
	Grant     func() leadership.Grant // called before each attempt
	Settled   bool                    // the outcome is known or no longer matters
	Malformed bool                    // the store rejected it as invalid, for example as too large

	// OnCommitted is called at most once, when the transaction is known to be committed, with
	// the revision of the commit.
	OnCommitted func(revision api.Revision)
	// OnRefused is called at most once, when the transaction was refused and the watch cache
	// is newer than the refusal.
	OnRefused func()

	inFlight   bool
	attempts   int
	refused    bool // a later read must settle it
	nextSendAt micros.Micros
}

// TransactionSender sends each submitted transaction until its outcome is known.
type TransactionSender struct {
	*Environment
	cache *WatchCache

	transactions []*Transaction
}

// NewTransactionSender returns a transaction sender that settles refused transactions by
// reads of cache.
func NewTransactionSender(env *Environment, cache *WatchCache) *TransactionSender {
	return &TransactionSender{Environment: env, cache: cache}
}

// Submit sends a transaction now and, with Resend, again until its outcome is known.
func (s *TransactionSender) Submit(transaction *Transaction) {
	s.transactions = append(s.transactions, transaction)
	s.send(transaction)
}

// Resend advances all unsettled transactions and drops the settled ones. It must be called
// regularly.
func (s *TransactionSender) Resend() {
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

// allSettled reports whether all submitted transactions are settled.
func (s *TransactionSender) allSettled() bool {
	return !slices.ContainsFunc(s.transactions, func(transaction *Transaction) bool { return !transaction.Settled })
}

// advance sends a transaction again, or tries to settle a refused one, if that is due.
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

// send sends a transaction if its grant permits that now. Otherwise it schedules a retry.
func (s *TransactionSender) send(transaction *Transaction) {
	grant := transaction.Grant()
	if grant.Check(leadership.ActionWrite, s.Now) != "" {
		transaction.nextSendAt = s.Now + grantRetryInterval
		return
	}
	transaction.inFlight = true
	transaction.attempts++
	order := leadership.NewOrder(grant, &transaction.Request)
	call := message.StoreCall{Op: message.OpTransaction, Transaction: order}
	s.CallStore(call, func(reply *message.StoreReply) { s.handleReply(transaction, reply) })
}

// handleReply handles the reply to a transaction.
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

// retryDelay returns the delay before the next attempt after the given number of attempts,
// before jitter.
func retryDelay(attempts int) micros.Micros {
	return min(maxRetryDelay, baseRetryDelay<<min(attempts, maxRetryDoublings))
}

// handleRefusal records that the store refused a transaction and requests the read that
// settles it.
func (s *TransactionSender) handleRefusal(transaction *Transaction, reply *message.StoreReply) {
	s.LogDebug("transaction refused", logkey.Status, reply.Status, logkey.FailedKeys, reply.Transaction.FailedKeys)
	transaction.refused = true
	s.settleRefused(transaction)
}

// settleRefused settles a refused transaction once the watch cache is newer than the
// refusal. If an earlier copy was committed, the cache has shown its writes by then. The
// submitter must then have marked the transaction as settled if OnRefused would be wrong.
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
