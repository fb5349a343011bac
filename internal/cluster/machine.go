package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// RecordOrigin says which record in which log is the latest of a machine.
type RecordOrigin struct {
	Epoch     uint64
	Partition int
	Sequence  uint64 // of the log entry
}

// supersededBy reports whether a record of another origin, which names a partition as the
// machine's, is newer.
func (o RecordOrigin) supersededBy(other RecordOrigin, namedPartition int) bool {
	switch {
	case other.Epoch != o.Epoch:
		return o.Epoch < other.Epoch
	case other.Partition == o.Partition:
		return o.Sequence <= other.Sequence
	}
	return other.Partition == namedPartition
}

// noPartition is the MoveToPartition of a machine that is to stay where it is.
const noPartition = -1

// Machine is a machine that has a record.
type Machine struct {
	// Its record. Written by the registry, MachineType by the catalog as well.
	Name        string
	Record      records.MachineRecord // MinToken is never 0 here
	Origin      RecordOrigin
	MachineType *api.MachineType // nil: of a type that the catalog does not have

	// The change of its record that waits or is being committed. Written by State, the
	// registry and the partition log.
	PendingChange RecordChangeKind
	transferTo    int // partition that a pending transfer takes it to

	// Tasks placed on it. Written by State, IdleSince by reconciliation in core as well.
	Allocated    scheduler.Resources
	TaskIDs      []TaskID        // in order
	DepartedJobs map[string]bool // jobs whose tasks left, perhaps not committed yet
	IdleSince    micros.Micros   // since when it has no tasks

	// How it was launched and came up. Written by State and reconciliation in core;
	// LaunchedAt and Address also by provisioning, from the cloud's list.
	LaunchedAt             micros.Micros // by our own clock
	AwaitingHeartbeatSince micros.Micros // since when we wait for its first heartbeat to us
	FirstHeartbeatAt       micros.Micros // 0: not up yet
	Address                string        // of its worker

	// What its worker reported. Written by reconciliation in core; the registry and State
	// take TokenConfirmed back.
	Incarnation       api.Incarnation // of the worker's process
	HeartbeatSequence uint64          // of the last heartbeat applied; counts within an incarnation
	TokenConfirmed    bool            // it reported with our fencing token
	ReportedTasks     []api.TaskStatus
	CachedImages      []cachedImage // the latest used last; written by the task lifecycle as well
	InterruptionAt    micros.Micros // spot instance taken away at about this time; 0: no notice

	// Signs of life and the lease that we grant its worker. Written by the heartbeat
	// handler and reconciliation in core, and by State after a failover.
	LastSeenAt      micros.Micros // last heard from in any way
	LastHeartbeatAt micros.Micros // without heartbeats its lease expires, whatever else is heard
	LeaseExpiresAt  micros.Micros // unless we answer another heartbeat

	// Commands sent to its worker directly or with answers to heartbeats. Written by
	// planning, and by core as the worker answers; NextCommandAt by every component that
	// has something to tell the worker.
	NextCommandAt   micros.Micros // when it is to be sent a direct command, if there is any
	CommandInFlight bool
	lastCommands    []api.Command // by the last answer to a heartbeat
	IgnoringSince   micros.Micros // since when it has to be sent the same again; 0: it obeys
	// HighestStartToken is the highest fencing token of a direct start that we sent there.
	HighestStartToken api.FencingToken
	// StartOutcomeUnknown says that a direct start had no answer: a token higher than its
	// own is needed.
	StartOutcomeUnknown bool

	// Failures of tasks on it. Written by the task lifecycle.
	Failures    FailureEvidence
	Quarantined bool // fails what it is given: drained and scaled in

	// The job that it is being emptied for, whose tasks alone may be placed here. Written
	// by planning.
	ClaimedBy       string // id; empty: nobody's
	ClaimExpiresAt  micros.Micros
	ClaimGuaranteed bool // the claim is within a team's guaranteed quota

	// Its move to another partition. Written by planning, and by State after a failover.
	MoveToPartition int  // partition that gets it once it is empty; -1: none
	PreemptForMove  bool // its tasks are preempted for the move

	// Its deletion in the cloud. Written by provisioning.
	DeleteSent      bool
	DeleteConfirmed bool
}

// RecordChangeKind is a change of a machine's record.
type RecordChangeKind int

// Changes of a machine's record.
const (
	// NoRecordChange is that nothing is to change.
	NoRecordChange RecordChangeKind = iota
	// condemnRecord has the machine deleted and never used again.
	condemnRecord
	// DropRecord deletes the record of a machine that is gone.
	DropRecord
	// transferRecord takes the machine to another partition.
	transferRecord
	// RaiseToken raises the lowest token that the machine's worker may obey.
	RaiseToken
	// CopyRecord copies the record into our log from that of the partition that the
	// machine came from.
	CopyRecord
)

// RecordChangePending reports whether a change of the record waits or is being committed.
func (m *Machine) RecordChangePending() bool { return m.PendingChange != NoRecordChange }

// cachedImage is a container image that a machine keeps.
type cachedImage struct {
	Name   string
	sizeGB float64
}

// TaskIDsCopy lists the tasks placed here, for loops that change them.
func (m *Machine) TaskIDsCopy() []TaskID {
	return slices.Clone(m.TaskIDs)
}

// CacheImage notes that an image is used on the machine. The images used longest ago are
// evicted, as far as the machine's cache does not hold them all.
func (m *Machine) CacheImage(name string, sizeGB float64) {
	m.CachedImages = slices.DeleteFunc(m.CachedImages, func(image cachedImage) bool { return image.Name == name })
	m.CachedImages = append(m.CachedImages, cachedImage{Name: name, sizeGB: sizeGB})
	freeGB := 0.0
	if m.MachineType != nil {
		freeGB = m.MachineType.CacheGB
	}
	for i := len(m.CachedImages) - 1; i >= 0; i-- {
		freeGB -= m.CachedImages[i].sizeGB
		if freeGB < 0 {
			m.CachedImages = m.CachedImages[i+1:]
			return
		}
	}
}

// AllTasksEnded reports whether the worker shows nothing but ended tasks.
func (m *Machine) AllTasksEnded() bool {
	return !slices.ContainsFunc(m.ReportedTasks, func(task api.TaskStatus) bool { return task.State != api.TaskExited })
}

// TrackRepeatedCommands notes whether a worker obeys its commands: one whose heartbeats
// arrive while answers and commands do not reach it has to be sent the same again.
func (m *Machine) TrackRepeatedCommands(now micros.Micros, commands []api.Command) {
	switch {
	case !slices.ContainsFunc(commands, m.isRepeated):
		m.IgnoringSince = 0
	case m.IgnoringSince == 0:
		m.IgnoringSince = now
	}
	m.lastCommands = commands
}

// isRepeated reports whether the last answer had the same command. Stops do not count: they
// are repeated until the task has exited.
func (m *Machine) isRepeated(command api.Command) bool {
	if command.Op == api.CommandStop {
		return false
	}
	return slices.ContainsFunc(m.lastCommands, func(last api.Command) bool {
		return last.Op == command.Op && last.Task == command.Task && last.Attempt == command.Attempt
	})
}

// IsNewer reports whether a heartbeat was sent after the last one that was applied.
func (m *Machine) IsNewer(heartbeat *api.Heartbeat) bool {
	if heartbeat.Incarnation == m.Incarnation {
		return heartbeat.Sequence > m.HeartbeatSequence
	}
	return heartbeat.Incarnation > m.Incarnation
}
