package core

import (
	"slices"

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

func (m *machine) taskIDsCopy() []taskID {
	return slices.Clone(m.taskIDs)
}

// cacheImage notes an image in the machine's cache, the latest used last.
func (m *machine) cacheImage(name string, gb float64) {
	m.cachedImages = slices.DeleteFunc(m.cachedImages, func(i cachedImage) bool { return i.name == name })
	m.cachedImages = append(m.cachedImages, cachedImage{name: name, sizeGB: gb})
	room := 0.0
	if m.machineType != nil {
		room = m.machineType.CacheGB
	}
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		if room -= m.cachedImages[i].sizeGB; room < 0 {
			m.cachedImages = m.cachedImages[i+1:]
			return
		}
	}
}

// allTasksEnded tells whether the worker shows nothing but ended tasks.
func (m *machine) allTasksEnded() bool {
	return !slices.ContainsFunc(m.reportedTasks, func(r api.TaskStatus) bool { return r.State != api.TaskExited })
}

// trackRepeatedCommands notes whether a worker does what it was told: one whose reports arrive
// while answers and commands do not reach it needs to be told the same again.
func (m *machine) trackRepeatedCommands(now micros.Micros, cmds []api.Command) {
	again := slices.ContainsFunc(cmds, func(o api.Command) bool {
		return o.Op != api.CommandStop && slices.ContainsFunc(m.lastCommands, func(t api.Command) bool {
			return t.Op == o.Op && t.Task == o.Task && t.Attempt == o.Attempt
		})
	})
	switch {
	case !again:
		m.ignoringSince = 0
	case m.ignoringSince == 0:
		m.ignoringSince = now
	}
	m.lastCommands = cmds
}

func (m *machine) isNewer(r *api.Heartbeat) bool {
	return r.Incarnation > m.incarnation || r.Incarnation == m.incarnation && r.Sequence > m.heartbeatSequence
}
