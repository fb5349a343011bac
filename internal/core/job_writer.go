package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// jobWriter writes job records on behalf of users. Any controller may do so: these writes
// are guarded by the version of the job's key, not by the leadership of its partition.
type jobWriter struct {
	*coordination.Environment
	applier *recordApplier
	budget  *coordination.WriteBudget
	cache   *coordination.WatchCache
}

func newJobWriter(
	env *coordination.Environment,
	applier *recordApplier,
	budget *coordination.WriteBudget,
	cache *coordination.WatchCache,
) *jobWriter {
	return &jobWriter{Environment: env, applier: applier, budget: budget, cache: cache}
}

// writeOutcome is the outcome of a write to the store.
type writeOutcome int

const (
	writeUnknown   writeOutcome = iota // no reply, or one that does not tell the outcome
	writeConflict                      // a compared key had changed, so nothing was written
	writeCommitted                     // the write is durable and applied to the replica
)

// putJob writes a job's record if all compares hold, and calls done with the outcome.
func (w *jobWriter) putJob(id string, record []byte, compares []api.Compare, done func(writeOutcome)) {
	key := records.JobPrefix + id
	request := &api.Transaction{Compares: compares, Writes: []api.Write{{Put: key, Value: record}}}
	grant := leadership.SharedGrant(leadership.ForUser, leadership.ActionWrite)
	call := message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(grant, request)}
	w.budget.ChargeUnthrottled(1)
	w.CallStore(call, func(reply *message.StoreReply) {
		switch reply.Status {
		case message.StatusOK:
			w.applyOwnWrite(key, record, reply.Transaction.Revision)
			done(writeCommitted)
		case message.StatusConflict:
			done(writeConflict)
		default:
			done(writeUnknown)
		}
	})
}

// applyOwnWrite applies our own write to the replica, unless the replica is already at its
// revision or later: the key may have been deleted since the write.
func (w *jobWriter) applyOwnWrite(key string, value []byte, revision api.Revision) {
	if revision > w.cache.Revision {
		w.applier.ApplyPut(key, value, revision)
	}
}
