package core

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

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
func (c *Controller) submitTransaction(t *transaction) {
	c.transactions = append(c.transactions, t)
	c.sendTransaction(t)
}

// allTransactionsSettled tells whether no outcome is awaited.
func (c *Controller) allTransactionsSettled() bool {
	return !slices.ContainsFunc(c.transactions, func(t *transaction) bool { return !t.settled })
}

// grantRetryInterval is when a transaction is tried again for which there was no grant.
const grantRetryInterval = micros.Second / 8

// sendTransaction sends a transaction, if it is permitted now.
func (c *Controller) sendTransaction(t *transaction) {
	grant := t.grant()
	if grant.Check(leadership.Write, c.now) != "" {
		t.nextSendAt = c.now + grantRetryInterval
		return
	}
	t.inFlight = true
	t.attempts++
	c.callStore(StoreCall{Op: OpTransaction, Transaction: leadership.NewOrder(grant, &t.request)}, func(r *StoreReply) {
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
				c.logError("transaction malformed", "error", r.Transaction.Error)
				t.malformed = true
			}
			c.logDebug("transaction refused", "status", r.Status, "failed", r.Transaction.FailedKeys)
			t.refused = true
			c.settleRefused(t)
		default:
			// Unknown, or not carried out: the same again. Even one refused may
			// be repeated by the network; built anew, each would be taken for
			// the other (random days).
			t.nextSendAt = c.now + c.jitter(min(micros.Second, micros.Second/8<<min(t.attempts, 4)))
		}
	})
}

func (c *Controller) settleRefused(t *transaction) {
	c.readLatest(func(ok bool) {
		switch {
		case t.settled:
		case ok:
			t.settled = true
			t.onRefused()
		default:
			t.nextSendAt = c.now + c.jitter(micros.Second/2)
		}
	})
}

// resendTransactions repeats the transactions whose outcome is not known.
func (c *Controller) resendTransactions() {
	live := c.transactions[:0]
	for _, t := range c.transactions {
		if t.settled {
			continue
		}
		if !t.inFlight && c.now >= t.nextSendAt {
			t.nextSendAt = c.now + micros.Second
			if t.refused {
				c.settleRefused(t)
			} else {
				c.sendTransaction(t)
			}
		}
		live = append(live, t)
	}
	clear(c.transactions[len(live):])
	c.transactions = live
}
