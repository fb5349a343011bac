package coordination

import (
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/message"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// TransactionSender sends conditional transactions until their outcomes are known.
type TransactionSender struct {
	*Environment
	cache *WatchCache

	transactions []*Transaction
}

// NewTransactionSender makes a transaction sender.
func NewTransactionSender(env *Environment, cache *WatchCache) *TransactionSender {
	return &TransactionSender{Environment: env, cache: cache}
}

// Transaction is a conditional transaction that is repeated until its outcome is
// known.
type Transaction struct {
	Request     api.Transaction
	Grant       func() leadership.Grant // each time that it is sent
	Settled     bool
	nextSendAt  micros.Micros
	inFlight    bool
	attempts    int
	refused     bool // refused: the replica is to be read before it fails
	Malformed   bool // refused as malformed: too large, perhaps
	OnCommitted func(rev uint64)
	OnRefused   func()
}

// SubmitTransaction sends a transaction until its outcome is known.
func (s *TransactionSender) SubmitTransaction(t *Transaction) {
	s.transactions = append(s.transactions, t)
	s.sendTransaction(t)
}

// allTransactionsSettled tells whether no outcome is awaited.
func (s *TransactionSender) allTransactionsSettled() bool {
	return !slices.ContainsFunc(s.transactions, func(t *Transaction) bool { return !t.Settled })
}

// grantRetryInterval is when a transaction is tried again for which there was no grant.
const grantRetryInterval = micros.Second / 8

// sendTransaction sends a transaction, if it is permitted now.
func (s *TransactionSender) sendTransaction(t *Transaction) {
	grant := t.Grant()
	if grant.Check(leadership.Write, s.Now) != "" {
		t.nextSendAt = s.Now + grantRetryInterval
		return
	}
	t.inFlight = true
	t.attempts++
	s.CallStore(message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(grant, &t.Request)}, func(r *message.StoreReply) {
		t.inFlight = false
		if t.Settled {
			return
		}
		switch r.Status {
		case 200:
			t.Settled = true
			t.OnCommitted(r.Transaction.Revision)
		case 409, 400:
			// An earlier copy without an answer may have been carried out:
			// the replica tells, once it is newer than this refusal.
			if r.Status == 400 {
				s.LogError("transaction malformed", logkey.Error, r.Transaction.Error)
				t.Malformed = true
			}
			s.LogDebug("transaction refused", logkey.Status, r.Status, logkey.FailedKeys, r.Transaction.FailedKeys)
			t.refused = true
			s.settleRefused(t)
		default:
			// Unknown, or not carried out: the same again. Even one refused may
			// be repeated by the network; built anew, each would be taken for
			// the other (random days).
			t.nextSendAt = s.Now + s.Jitter(min(micros.Second, micros.Second/8<<min(t.attempts, 4)))
		}
	})
}

func (s *TransactionSender) settleRefused(t *Transaction) {
	s.cache.ReadLatest(func(ok bool) {
		switch {
		case t.Settled:
		case ok:
			t.Settled = true
			t.OnRefused()
		default:
			t.nextSendAt = s.Now + s.Jitter(micros.Second/2)
		}
	})
}

// ResendTransactions repeats the transactions whose outcome is not known.
func (s *TransactionSender) ResendTransactions() {
	live := s.transactions[:0]
	for _, t := range s.transactions {
		if t.Settled {
			continue
		}
		if !t.inFlight && s.Now >= t.nextSendAt {
			t.nextSendAt = s.Now + micros.Second
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
