package cluster

import (
	"github.com/go-json-experiment/json"

	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

const (
	// maxOutcomeReads bounds the terminal records being read at a time for dependencies.
	maxOutcomeReads = 32
	// maxReplicaReads bounds those of them that are read for jobs in the replica: the rest
	// is left for submissions, whose users wait.
	maxReplicaReads = maxOutcomeReads / 2
	// outcomeRetryInterval is when dependencies are read again after one could not be.
	outcomeRetryInterval = micros.Second / 2
)

// LookupResult is what is known of a job.
type LookupResult int

// Results of looking a job up.
const (
	// LookupFailed is that it could not be found out.
	LookupFailed LookupResult = iota
	// JobNeverAccepted is that there is no such job and never was.
	JobNeverAccepted
	// JobKnown is that the job is unfinished, or its terminal record was read.
	JobKnown
)

// ReadUnknownOutcomes reads, a few at a time, the terminal records of dependencies that had
// ended before the replica could show how.
func (g *DependencyGraph) ReadUnknownOutcomes() {
	if !g.cache.Synced || g.Now < g.nextOutcomeReadAt {
		return
	}
	for len(g.outcomesToRead) > 0 && g.outcomeReads < maxReplicaReads {
		id := g.outcomesToRead[0]
		g.outcomesToRead = g.outcomesToRead[1:]
		if !g.isOutcomeUnknown(id) {
			continue
		}
		if outcome, at := g.KnownOutcome(id); outcome != OutcomeUnknown {
			g.SettleOutcome(id, outcome, at)
			continue
		}
		g.readOutcome(id, func(result LookupResult) { g.dependencyRead(id, result) })
	}
}

// isOutcomeUnknown reports whether unfinished jobs depend on a job whose outcome is not
// known.
func (g *DependencyGraph) isOutcomeUnknown(id string) bool {
	upstream := g.ByJob[id]
	return upstream != nil && upstream.Outcome == OutcomeUnknown
}

// dependencyRead handles whether the terminal record of a dependency could be read, and
// has it read again if it is still wanted.
func (g *DependencyGraph) dependencyRead(id string, result LookupResult) {
	if result == JobKnown || !g.isOutcomeUnknown(id) {
		return
	}
	if result == JobNeverAccepted {
		g.LogError("no record of a dependency", logkey.Job, id)
	}
	g.outcomesToRead = append(g.outcomesToRead, id)
	g.nextOutcomeReadAt = g.Now + g.Jitter(outcomeRetryInterval)
}

// readOutcome reads a terminal record for a dependency, of which maxOutcomeReads are read
// at a time. What users ask of jobs that have ended does not count.
func (g *DependencyGraph) readOutcome(id string, whenRead func(LookupResult)) {
	g.outcomeReads++
	g.ReadTerminalRecord(id, func(result LookupResult) {
		g.outcomeReads--
		whenRead(result)
	})
}

// ReadTerminalRecord reads a job's terminal record, and records what it says before it
// calls whenRead.
func (g *DependencyGraph) ReadTerminalRecord(id string, whenRead func(LookupResult)) {
	call := message.StoreCall{Op: message.OpGet, Key: records.TerminalPrefix + id}
	g.CallStore(call, func(reply *message.StoreReply) {
		whenRead(g.terminalRecordRead(id, reply))
	})
}

// terminalRecordRead handles the store's reply to the read of a job's terminal record.
func (g *DependencyGraph) terminalRecordRead(id string, reply *message.StoreReply) LookupResult {
	if reply.Status == message.StatusNotFound {
		return JobNeverAccepted
	}
	if reply.Status != message.StatusOK {
		return LookupFailed
	}
	var record records.TerminalRecord
	if err := json.Unmarshal(reply.Item.Value, &record); err != nil || record.State == "" {
		return LookupFailed
	}
	g.RecordTerminalState(id, record)
	return JobKnown
}

// outcomeBatch reads the terminal records of several jobs.
type outcomeBatch struct {
	left         int    // how many are not read yet
	missing      string // one that was never accepted; empty: none
	failed       bool   // some could not be read
	whenComplete func(*outcomeBatch)
}

// readOutcomes reads the terminal records of jobs, at least one, and then calls
// whenComplete.
func (g *DependencyGraph) readOutcomes(ids []string, whenComplete func(*outcomeBatch)) {
	batch := &outcomeBatch{left: len(ids), whenComplete: whenComplete}
	for _, id := range ids {
		g.readOutcome(id, func(result LookupResult) { batch.outcomeRead(id, result) })
	}
}

func (b *outcomeBatch) outcomeRead(id string, result LookupResult) {
	switch result {
	case JobNeverAccepted:
		b.missing = id
	case LookupFailed:
		b.failed = true
	case JobKnown:
	}
	b.left--
	if b.left == 0 {
		b.whenComplete(b)
	}
}
