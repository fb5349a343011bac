package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// transactionSender sends conditional transactions until their outcomes are known.
type transactionSender struct {
	*environment
	cache *watchCache

	transactions []*transaction
}

func newTransactionSender(env *environment, cache *watchCache) *transactionSender {
	return &transactionSender{environment: env, cache: cache}
}

// transaction is a conditional transaction that is repeated until its outcome is
// known.
type transaction struct {
	request     api.Transaction
	grant       func() leadership.Grant // each time that it is sent
	settled     bool
	nextSendAt  micros.Micros
	inFlight    bool
	attempts    int
	refused     bool // refused: the replica is to be read before it fails
	malformed   bool // refused as malformed: too large, perhaps
	onCommitted func(rev uint64)
	onRefused   func()
}

// submitTransaction sends a transaction until its outcome is known.
func (s *transactionSender) submitTransaction(t *transaction) {
	s.transactions = append(s.transactions, t)
	s.sendTransaction(t)
}

// allTransactionsSettled tells whether no outcome is awaited.
func (s *transactionSender) allTransactionsSettled() bool {
	return !slices.ContainsFunc(s.transactions, func(t *transaction) bool { return !t.settled })
}

// grantRetryInterval is when a transaction is tried again for which there was no grant.
const grantRetryInterval = micros.Second / 8

// sendTransaction sends a transaction, if it is permitted now.
func (s *transactionSender) sendTransaction(t *transaction) {
	grant := t.grant()
	if grant.Check(leadership.Write, s.now) != "" {
		t.nextSendAt = s.now + grantRetryInterval
		return
	}
	t.inFlight = true
	t.attempts++
	s.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(grant, &t.request)}, func(r *StoreReply) {
		t.inFlight = false
		if t.settled {
			return
		}
		switch r.Status {
		case 200:
			t.settled = true
			t.onCommitted(r.Transaction.Revision)
		case 409, 400:
			// An earlier copy without an answer may have been carried out:
			// the replica tells, once it is newer than this refusal.
			if r.Status == 400 {
				s.logError("transaction malformed", "error", r.Transaction.Error)
				t.malformed = true
			}
			s.logDebug("transaction refused", "status", r.Status, "failed", r.Transaction.FailedKeys)
			t.refused = true
			s.settleRefused(t)
		default:
			// Unknown, or not carried out: the same again. Even one refused may
			// be repeated by the network; built anew, each would be taken for
			// the other (random days).
			t.nextSendAt = s.now + s.jitter(min(micros.Second, micros.Second/8<<min(t.attempts, 4)))
		}
	})
}

func (s *transactionSender) settleRefused(t *transaction) {
	s.cache.readLatest(func(ok bool) {
		switch {
		case t.settled:
		case ok:
			t.settled = true
			t.onRefused()
		default:
			t.nextSendAt = s.now + s.jitter(micros.Second/2)
		}
	})
}

// resendTransactions repeats the transactions whose outcome is not known.
func (s *transactionSender) resendTransactions() {
	live := s.transactions[:0]
	for _, t := range s.transactions {
		if t.settled {
			continue
		}
		if !t.inFlight && s.now >= t.nextSendAt {
			t.nextSendAt = s.now + micros.Second
			if t.refused {
				s.settleRefused(t)
			} else {
				s.sendTransaction(t)
			}
		}
		live = append(live, t)
	}
	clear(s.transactions[len(live):])
	s.transactions = live
}
