package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"
)

// RecordOrigin tells which record of a machine is applied: its epoch and the log entry that
// holds it.
type RecordOrigin struct {
	Epoch     uint64
	Partition int
	Sequence  uint64 // of the log entry
}

// supersededBy reports whether the record of another origin is the same or applies in place of
// this one, by the rules of records.Machine. namedPartition is the partition that the other
// record assigns the machine to.
func (o RecordOrigin) supersededBy(other RecordOrigin, namedPartition int) bool {
	switch {
	case other.Epoch != o.Epoch:
		return o.Epoch < other.Epoch
	case other.Partition == o.Partition:
		return o.Sequence <= other.Sequence
	}
	return other.Partition == namedPartition
}

// noPartition is the TransferToPartition of a machine whose transfer is not planned.
const noPartition = -1

// Machine is a machine that has a record in the store.
type Machine struct {
	// The machine's record. Written by the registry, MachineType also by the catalog.
	Name        string
	Record      records.Machine // MinToken is never 0 here
	Origin      RecordOrigin
	MachineType *api.MachineType // nil: the catalog does not have the type

	// The requested change of the record, until it is committed. Written by State, the
	// registry and the partition log, and by core when leadership is lost.
	PendingChange    RecordChangeKind
	pendingPartition int // the new partition, if the pending change is a transfer

	// Tasks placed on the machine. Written by State, IdleSince also by reconciliation in
	// core.
	Allocated           scheduler.Resources
	TaskIDs             []TaskID        // sorted
	UncommittedRemovals map[string]bool // ids of jobs whose tasks were removed, which may be uncommitted
	IdleSince           micros.Micros   // since when it has no tasks

	// Launch and boot. Written by State and core; LaunchedAt and Address also by provisioning,
	// from the cloud's list, and LaunchedAt by the partition log.
	LaunchedAt             micros.Micros // by this controller's clock
	AwaitingHeartbeatSince micros.Micros // since when its first heartbeat to this controller is awaited
	FirstHeartbeatAt       micros.Micros // 0: none yet
	Address                string        // of its worker

	// What the machine's worker reported. Written by core; the registry and State reset
	// TokenConfirmed.
	Incarnation       api.Incarnation // of the worker's process
	HeartbeatSequence uint64          // of the last heartbeat applied; counts within an incarnation
	TokenConfirmed    bool            // the worker reported with the current fencing token
	ReportedTasks     []api.TaskStatus
	ExitedStatusBytes int           // space in heartbeats that exited tasks take at most
	CachedImages      []cachedImage // least recently used first; also written by the task lifecycle
	InterruptionAt    micros.Micros // approximate time of a spot instance's announced interruption; 0: none announced

	// Contact with the worker and the lease that this controller grants it. Written by core, and
	// by State when the machine is new or comes from another leader.
	LastSeenAt      micros.Micros // last contact of any kind
	LastHeartbeatAt micros.Micros // only heartbeats renew the lease
	LeaseExpiresAt  micros.Micros // unless another heartbeat is answered

	// Commands sent to the worker directly or with answers to heartbeats. Written by planning,
	// by core as the worker answers, and by State when the machine comes from another leader;
	// NextCommandAt by every component that has commands for the worker.
	NextCommandAt         micros.Micros // when to send the next direct command, if there is any
	CommandInFlight       bool
	lastCommands          []api.Command // sent with the last answer to a heartbeat
	IgnoringCommandsSince micros.Micros // since when the same commands have to be repeated; 0: it obeys
	// HighestStartToken is the highest fencing token of the direct starts sent to the worker.
	HighestStartToken api.FencingToken
	// MustRaiseToken reports whether the fencing token must be raised: because a direct start was
	// not answered and may still be carried out, or because the worker may forget exited tasks only
	// under a token higher than HighestStartToken.
	MustRaiseToken bool

	// Failures of tasks on the machine. Written by the task lifecycle.
	Failures    MachineFailures
	Quarantined bool // tasks fail because of the machine: it is drained and scaled in

	// The job that the machine is drained for. Only tasks of that job may be placed on it.
	// Written by planning.
	ClaimedBy       string // job id; empty: no claim
	ClaimExpiresAt  micros.Micros
	ClaimGuaranteed bool // the claim is within a team's guaranteed quota

	// Planned transfer to another partition. Written by planning, and by State when the machine
	// is new or comes from another leader.
	TransferToPartition int  // partition to transfer it to once it is empty; noPartition: none
	PreemptForTransfer  bool // its tasks are preempted for the transfer

	// Deletion in the cloud. Written by provisioning, and by State when the machine comes from
	// another leader.
	DeleteSent      bool
	DeleteConfirmed bool
}

// RecordChangeKind is a kind of change of a machine's record.
type RecordChangeKind int

// Kinds of changes of a machine's record.
const (
	// NoRecordChange means that no change is requested.
	NoRecordChange RecordChangeKind = iota
	// markRecordForDeletion marks the machine for deletion: it is never used again.
	markRecordForDeletion
	// DeleteRecord deletes the record of a machine that no longer exists.
	DeleteRecord
	// transferRecord transfers the machine to another partition.
	transferRecord
	// RaiseToken raises the lowest fencing token that the machine's worker may obey.
	RaiseToken
	// CopyRecord copies the record of a transferred machine from the log of its former
	// partition into the log of its new one.
	CopyRecord
)

// RecordChangePending reports whether a change of the record is requested and not committed.
func (m *Machine) RecordChangePending() bool { return m.PendingChange != NoRecordChange }

// cachedImage is a container image in a machine's local cache.
type cachedImage struct {
	Name   string
	sizeGB float64
}

// TaskIDsCopy returns a copy of TaskIDs, for loops that place or remove tasks.
func (m *Machine) TaskIDsCopy() []TaskID {
	return slices.Clone(m.TaskIDs)
}

// hasTask reports whether a task is placed on the machine.
func (m *Machine) hasTask(id TaskID) bool {
	_, found := slices.BinarySearchFunc(m.TaskIDs, id, TaskID.compare)
	return found
}

// CacheImage records that an image was used on the machine. It evicts the least recently
// used images that do not fit into the machine's cache.
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

// SetReportedTasks sets the tasks that the worker last reported.
func (m *Machine) SetReportedTasks(tasks []api.TaskStatus) {
	m.ReportedTasks = tasks
	m.ExitedStatusBytes = 0
	for _, task := range tasks {
		if task.State == api.TaskExited {
			m.ExitedStatusBytes += api.MaxStatusBytes(task.Task)
		}
	}
}

// AllTasksEnded reports whether every task in the worker's last report has exited.
func (m *Machine) AllTasksEnded() bool {
	return !slices.ContainsFunc(m.ReportedTasks, func(task api.TaskStatus) bool { return task.State != api.TaskExited })
}

// TrackRepeatedCommands sets IgnoringCommandsSince from the commands that now answer a
// heartbeat. If heartbeats arrive but answers and commands do not reach the worker, the same
// commands have to be sent again.
func (m *Machine) TrackRepeatedCommands(now micros.Micros, commands []api.Command) {
	switch {
	case !slices.ContainsFunc(commands, m.isRepeated):
		m.IgnoringCommandsSince = 0
	case m.IgnoringCommandsSince == 0:
		m.IgnoringCommandsSince = now
	}
	m.lastCommands = commands
}

// isRepeated reports whether the last answer held the same command. Stop commands do not
// count: they are repeated until the task has exited.
func (m *Machine) isRepeated(command api.Command) bool {
	if command.Op == api.CommandStop {
		return false
	}
	return slices.ContainsFunc(m.lastCommands, func(last api.Command) bool {
		return last.Op == command.Op && last.Task == command.Task && last.Attempt == command.Attempt
	})
}

// IsNewer reports whether a heartbeat was sent after the last one applied.
func (m *Machine) IsNewer(heartbeat *api.Heartbeat) bool {
	if heartbeat.Incarnation == m.Incarnation {
		return heartbeat.Sequence > m.HeartbeatSequence
	}
	return heartbeat.Incarnation > m.Incarnation
}
