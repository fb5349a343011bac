package cluster

import (
	"slices"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// maxOutcomeReads bounds the reads of dependencies' terminal records in flight.
	maxOutcomeReads = 32
	// maxReplicaReads bounds these reads for jobs in the replica. The rest is reserved for
	// submissions, whose users wait.
	maxReplicaReads = maxOutcomeReads / 2
	// outcomeRetryInterval is the delay before dependencies are read again after a failed read.
	outcomeRetryInterval = micros.Second / 2
)

// LookupResult is the result of looking up a job.
type LookupResult int

// Results of looking up a job.
const (
	// LookupFailed means that the store did not answer or its record could not be read.
	LookupFailed LookupResult = iota
	// JobNeverAccepted means that there is no such job and never was.
	JobNeverAccepted
	// JobKnown means that the job is unfinished, or that its terminal record was read.
	JobKnown
)

// ReadUnknownOutcomes reads the terminal records of dependencies that ended before the replica
// could show how. Until they are read, users get no answer about the jobs that may be cancelled
// with them. After a restart there may be thousands, which a scan reads. A few are read one by
// one: it starts as many reads as maxReplicaReads permits; the others follow in later calls.
func (g *DependencyGraph) ReadUnknownOutcomes() {
	if !g.cache.Synced || g.Now < g.nextOutcomeReadAt || g.scanInFlight {
		return
	}
	if len(g.outcomesToRead) >= minScannedOutcomes {
		g.scanUnknownOutcomes()
		return
	}
	for len(g.outcomesToRead) > 0 && g.outcomeReads < maxReplicaReads {
		id := g.outcomesToRead[0]
		g.outcomesToRead = g.outcomesToRead[1:]
		if !g.isOutcomeUnknown(id) {
			continue
		}
		if outcome, at := g.KnownOutcome(id); outcome != OutcomeUnknown {
			g.SetOutcome(id, outcome, at)
			continue
		}
		g.readOutcome(id, func(result LookupResult) { g.handleDependencyRead(id, result) })
	}
}

// scanUnknownOutcomes scans the terminal records of all dependencies with unknown outcomes.
func (g *DependencyGraph) scanUnknownOutcomes() {
	unknown := slices.DeleteFunc(g.outcomesToRead, func(id string) bool { return !g.isOutcomeUnknown(id) })
	g.outcomesToRead = nil
	if len(unknown) == 0 {
		return
	}
	g.scanInFlight = true
	g.scanOutcomes(unknown, func(scan *outcomeScan) {
		g.scanInFlight = false
		for _, id := range scan.missing {
			g.handleDependencyRead(id, JobNeverAccepted)
		}
		for _, id := range scan.failed() {
			g.handleDependencyRead(id, LookupFailed)
		}
	})
}

// isOutcomeUnknown reports whether unfinished jobs depend on the job and its outcome is not
// known.
func (g *DependencyGraph) isOutcomeUnknown(id string) bool {
	upstream := g.ByJob[id]
	return upstream != nil && upstream.Outcome == OutcomeUnknown
}

// handleDependencyRead handles the result of reading the terminal record of a dependency. If
// the record was not read, or there is none, and the outcome is still needed, the record is
// queued to be read again.
func (g *DependencyGraph) handleDependencyRead(id string, result LookupResult) {
	if result == JobKnown || !g.isOutcomeUnknown(id) {
		return
	}
	if result == JobNeverAccepted {
		g.LogError("no record of a dependency", logkey.Job, id)
	}
	g.outcomesToRead = append(g.outcomesToRead, id)
	g.nextOutcomeReadAt = g.Now + g.Jitter(outcomeRetryInterval)
}

// readOutcome reads the terminal record of a dependency and counts the read in outcomeReads.
// Reads for users' queries about ended jobs use ReadTerminalRecord and are not counted.
func (g *DependencyGraph) readOutcome(id string, onRead func(LookupResult)) {
	g.outcomeReads++
	g.ReadTerminalRecord(id, func(result LookupResult) {
		g.outcomeReads--
		onRead(result)
	})
}

// ReadTerminalRecord reads a job's terminal record from the store and stores its content in
// the graph. It then calls onRead with the result.
func (g *DependencyGraph) ReadTerminalRecord(id string, onRead func(LookupResult)) {
	call := message.StoreCall{Op: message.OpGet, Key: records.TerminalPrefix + id}
	g.CallStore(call, func(reply *message.StoreReply) {
		onRead(g.handleTerminalReply(id, reply))
	})
}

// handleTerminalReply handles the store's reply to the read of a job's terminal record.
// It returns the result of the read.
func (g *DependencyGraph) handleTerminalReply(id string, reply *message.StoreReply) LookupResult {
	if reply.Status == message.StatusNotFound {
		return JobNeverAccepted
	}
	if reply.Status != message.StatusOK {
		return LookupFailed
	}
	record, ok := decodeTerminalRecord(reply.Item.Value)
	if !ok {
		return LookupFailed
	}
	g.RecordTerminalState(id, record)
	return JobKnown
}

// decodeTerminalRecord decodes a terminal record and reports whether it is readable.
func decodeTerminalRecord(value []byte) (records.TerminalJob, bool) {
	var record records.TerminalJob
	err := json.Unmarshal(value, &record)
	return record, err == nil && record.State != ""
}

// outcomeBatch collects the results of reading the terminal records of several jobs.
type outcomeBatch struct {
	remaining  int    // number of records not read yet
	missing    string // id of a job that was never accepted; empty: none
	failed     bool   // a record could not be read
	onComplete func(*outcomeBatch)
}

// readOutcomes reads the terminal records of one or more jobs, and calls onComplete after the
// last result.
func (g *DependencyGraph) readOutcomes(ids []string, onComplete func(*outcomeBatch)) {
	batch := &outcomeBatch{remaining: len(ids), onComplete: onComplete}
	for _, id := range ids {
		g.readOutcome(id, func(result LookupResult) { batch.handleRead(id, result) })
	}
}

func (b *outcomeBatch) handleRead(id string, result LookupResult) {
	switch result {
	case JobNeverAccepted:
		b.missing = id
	case LookupFailed:
		b.failed = true
	case JobKnown:
	}
	b.remaining--
	if b.remaining == 0 {
		b.onComplete(b)
	}
}
