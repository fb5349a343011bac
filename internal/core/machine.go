package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// recordOrigin says which row of which log told the latest of a machine.
type recordOrigin struct {
	epoch     uint64
	partition int
	sequence  uint64
}

// olderThan tells whether a row tells something newer.
func (o recordOrigin) olderThan(row recordOrigin, cur int) bool {
	switch {
	case row.epoch != o.epoch:
		return o.epoch < row.epoch
	case row.partition == o.partition:
		return o.sequence <= row.sequence
	}
	return row.partition == cur
}

type machine struct {
	name         string
	record       machineRecord // Token: the least token, from its record
	origin       recordOrigin
	machineType  *api.MachineType
	allocated    scheduler.Resources
	taskIDs      []taskID        // recorded here, in order
	departedJobs map[string]bool // jobs whose tasks left, perhaps not committed yet

	pendingChange recordChangeKind // change of its record that waits or is being committed
	transferTo    int              // partition that it is to go to

	address           string
	incarnation       uint64
	heartbeatSequence uint64
	tokenConfirmed    bool          // it reported with our token
	lastSeenAt        micros.Micros // last heard
	lastHeartbeatAt   micros.Micros // last report: where none comes its lease runs out, whatever else is heard
	launchedAt        micros.Micros // rented
	awaitedSince      micros.Micros // since when we wait for its first report
	firstHeartbeatAt  micros.Micros // first report
	leaseExpiresAt    micros.Micros // by then its lease has run out unless we answer again
	nextCommandAt     micros.Micros
	commandInFlight   bool
	lastCommands      []api.Command // by the last answer to a report
	ignoringSince     micros.Micros // since when it needs to be told the same again; 0: it obeys
	interruptionAt    micros.Micros // taken at about this time; 0: no notice
	idleSince         micros.Micros
	cachedImages      []cachedImage
	failures          failureEvidence
	quarantined       bool // fails what it is given: drained and returned
	claimedBy         string
	claimExpiresAt    micros.Micros
	reportedTasks     []api.TaskStatus
	// highestStartToken is the highest token of a direct start sent there by us.
	highestStartToken   uint64
	startOutcomeUnknown bool // a direct start had no answer: its token must be outdone
	moveToPartition     int  // partition that is to get it once it is empty; -1: none
	preemptForMove      bool // its tasks are stopped for the move
	claimGuaranteed     bool // the claim is by a guarantee
	deleteSent          bool
	deleteConfirmed     bool
}

// recordChangeKind is a change of a machine's record.
type recordChangeKind int

const (
	noRecordChange recordChangeKind = iota
	condemnRecord                   // never to be used again, to be deleted
	dropRecord                      // its record goes
	transferRecord                  // to another partition
	raiseToken                      // its token rises
	copyRecord                      // into our log, from that of the partition that it came from
)

func (m *machine) recordChangePending() bool { return m.pendingChange != noRecordChange }

type cachedImage struct {
	name   string
	sizeGB float64
}
