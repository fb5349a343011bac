package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// jobWriter writes jobs' records for users. Any controller may do so: what guards these
// writes is the version of the job's key, not the leadership of its partition.
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

// writeOutcome is what became of a write.
type writeOutcome int

const (
	writeUnknown   writeOutcome = iota // no answer, or none that tells
	writeConflict                      // a compared key had changed: nothing was written
	writeCommitted                     // durable, and taken in by the replica
)

// putJob writes a job's record if all compares hold, and gives the outcome to done.
func (w *jobWriter) putJob(id string, record []byte, compares []api.Compare, done func(writeOutcome)) {
	key := records.JobPrefix + id
	request := &api.Transaction{Compares: compares, Writes: []api.Write{{Put: key, Value: record}}}
	grant := leadership.SharedGrant(leadership.ForUser, leadership.Write)
	call := message.StoreCall{Op: message.OpTransaction, Transaction: leadership.NewOrder(grant, request)}
	w.budget.ChargeWrites(1)
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

// applyOwnWrite takes in what we wrote, unless the replica is past it already: the key
// may have been deleted since.
func (w *jobWriter) applyOwnWrite(key string, value []byte, revision api.Revision) {
	if revision > w.cache.Revision {
		w.applier.ApplyPut(key, value, revision)
	}
}
