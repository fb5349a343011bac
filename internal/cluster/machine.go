package cluster

import (
	"slices"

	"spurmoor/internal/records"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// RecordOrigin says which row of which log told the latest of a machine.
type RecordOrigin struct {
	Epoch     uint64
	Partition int
	Sequence  uint64
}

// supersededBy tells whether a row tells something newer.
func (o RecordOrigin) supersededBy(row RecordOrigin, cur int) bool {
	switch {
	case row.Epoch != o.Epoch:
		return o.Epoch < row.Epoch
	case row.Partition == o.Partition:
		return o.Sequence <= row.Sequence
	}
	return row.Partition == cur
}

// Machine is a machine that has a record.
type Machine struct {
	Name         string
	Record       records.MachineRecord // Token: the least token, from its record
	Origin       RecordOrigin
	MachineType  *api.MachineType
	Allocated    scheduler.Resources
	TaskIDs      []TaskID        // recorded here, in order
	DepartedJobs map[string]bool // jobs whose tasks left, perhaps not committed yet

	PendingChange RecordChangeKind // change of its record that waits or is being committed
	transferTo    int              // partition that it is to go to

	Address           string
	Incarnation       uint64
	HeartbeatSequence uint64
	TokenConfirmed    bool          // it reported with our token
	LastSeenAt        micros.Micros // last heard
	LastHeartbeatAt   micros.Micros // last report: where none comes its lease runs out, whatever else is heard
	LaunchedAt        micros.Micros // rented
	AwaitingHeartbeatSince      micros.Micros // since when we wait for its first report
	FirstHeartbeatAt  micros.Micros // first report
	LeaseExpiresAt    micros.Micros // by then its lease has run out unless we answer again
	NextCommandAt     micros.Micros
	CommandInFlight   bool
	lastCommands      []api.Command // by the last answer to a report
	IgnoringSince     micros.Micros // since when it needs to be told the same again; 0: it obeys
	InterruptionAt    micros.Micros // taken at about this time; 0: no notice
	IdleSince         micros.Micros
	CachedImages      []cachedImage
	Failures          FailureEvidence
	Quarantined       bool // fails what it is given: drained and returned
	ClaimedBy         string
	ClaimExpiresAt    micros.Micros
	ReportedTasks     []api.TaskStatus
	// HighestStartToken is the highest token of a direct start sent there by us.
	HighestStartToken   uint64
	StartOutcomeUnknown bool // a direct start had no answer: its token must be outdone
	MoveToPartition     int  // partition that is to get it once it is empty; -1: none
	PreemptForMove      bool // its tasks are stopped for the move
	ClaimGuaranteed     bool // the claim is by a guarantee
	DeleteSent          bool
	DeleteConfirmed     bool
}

// RecordChangeKind is a change of a machine's record.
type RecordChangeKind int

// Changes of a machine's record.
const (
	NoRecordChange RecordChangeKind = iota
	condemnRecord                   // never to be used again, to be deleted
	DropRecord                      // its record goes
	transferRecord                  // to another partition
	RaiseToken                      // its token rises
	CopyRecord                      // into our log, from that of the partition that it came from
)

// RecordChangePending tells whether a change of the record waits or is being committed.
func (m *Machine) RecordChangePending() bool { return m.PendingChange != NoRecordChange }

type cachedImage struct {
	Name   string
	sizeGB float64
}

// TaskIDsCopy lists the tasks recorded here, for loops that change them.
func (m *Machine) TaskIDsCopy() []TaskID {
	return slices.Clone(m.TaskIDs)
}

// CacheImage notes an image in the machine's cache, the latest used last.
func (m *Machine) CacheImage(name string, gb float64) {
	m.CachedImages = slices.DeleteFunc(m.CachedImages, func(i cachedImage) bool { return i.Name == name })
	m.CachedImages = append(m.CachedImages, cachedImage{Name: name, sizeGB: gb})
	room := 0.0
	if m.MachineType != nil {
		room = m.MachineType.CacheGB
	}
	for i := len(m.CachedImages) - 1; i >= 0; i-- {
		if room -= m.CachedImages[i].sizeGB; room < 0 {
			m.CachedImages = m.CachedImages[i+1:]
			return
		}
	}
}

// AllTasksEnded tells whether the worker shows nothing but ended tasks.
func (m *Machine) AllTasksEnded() bool {
	return !slices.ContainsFunc(m.ReportedTasks, func(r api.TaskStatus) bool { return r.State != api.TaskExited })
}

// TrackRepeatedCommands notes whether a worker does what it was told: one whose reports arrive
// while answers and commands do not reach it needs to be told the same again.
func (m *Machine) TrackRepeatedCommands(now micros.Micros, cmds []api.Command) {
	again := slices.ContainsFunc(cmds, func(o api.Command) bool {
		return o.Op != api.CommandStop && slices.ContainsFunc(m.lastCommands, func(t api.Command) bool {
			return t.Op == o.Op && t.Task == o.Task && t.Attempt == o.Attempt
		})
	})
	switch {
	case !again:
		m.IgnoringSince = 0
	case m.IgnoringSince == 0:
		m.IgnoringSince = now
	}
	m.lastCommands = cmds
}

// IsNewer tells whether a heartbeat was sent after the last one that was taken in.
func (m *Machine) IsNewer(r *api.Heartbeat) bool {
	return r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence > m.HeartbeatSequence
}
