package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// maxSizeHalvings is how many times the size of a partition's commits is halved at most.
const maxSizeHalvings = 3

// HandleCommitted applies the commit in flight of a partition, which was carried out at a
// revision of the store.
func (l *PartitionLog) HandleCommitted(partition *Partition, revision api.Revision) {
	commit := partition.CommitInFlight
	if commit == nil {
		return
	}
	partition.CommitInFlight, commit.Settled = nil, true
	for _, entry := range commit.Entries {
		entry.Version = revision
		l.cluster.AddLogEntry(partition, entry)
	}
	l.applyCommittedMachines(partition, commit, revision)
	for _, change := range commit.tasks {
		if l.cluster.Jobs[change.job.ID] == change.job {
			l.applyCommittedTask(change)
		}
	}
	for i, job := range commit.TerminalJobs {
		l.applyCommittedTerminalState(partition, job, commit.terminalRecords[i])
	}
	partition.MachineBatches = slices.DeleteFunc(partition.MachineBatches, func(batch *MachineBatch) bool {
		committed := slices.Contains(commit.machineBatches, batch)
		if committed {
			batch.OnRecorded()
		}
		return committed
	})
	if len(commit.TerminalJobs) > 0 {
		// The jobs are removed when the watch cache reads that their keys were deleted.
		l.cache.ReadLatest(func(bool) {})
	}
}

// applyCommittedMachines applies the machine records of a successful commit.
func (l *PartitionLog) applyCommittedMachines(partition *Partition, commit *LogCommit, revision api.Revision) {
	for _, change := range commit.recordChanges {
		if change.machine.PendingChange == change.kind {
			change.machine.PendingChange = NoRecordChange
		}
	}
	for _, entry := range commit.Entries {
		for _, record := range entry.Machines {
			origin := RecordOrigin{Epoch: record.Epoch, Partition: partition.Index, Sequence: entry.Sequence}
			l.registry.ApplyRecord(record, origin, revision)
		}
	}
	for _, batch := range commit.machineBatches {
		for _, record := range batch.Records {
			if machine := l.cluster.Machines[record.Name]; machine != nil {
				// The launch time in a record that this controller wrote is by its own clock.
				machine.LaunchedAt = min(machine.LaunchedAt, record.LaunchedAt)
			}
		}
	}
}

// applyCommittedTask applies a task change of a successful commit. The task stays uncommitted
// if it has changed again since.
func (l *PartitionLog) applyCommittedTask(change taskChange) {
	job := change.job
	task := job.EnsureTask(change.index)
	task.Committed, task.LogSequence = change.record, change.sequence
	if task.generation == change.generation {
		job.setUncommitted(change.index, false)
	}
	if task.State == records.TaskPlaced && !task.uncommitted && !task.Observed && task.DirectStartToken == 0 {
		l.cluster.requestCommand(task.Machine) // starts the task without waiting for a heartbeat
	}
	// The flag is cleared here, not when a machine reports. Otherwise, if a machine died before
	// its report, its gang would count as still being placed and wait forever.
	job.StartUncommitted = job.StartUncommitted && job.UncommittedTasks > 0
}

// applyCommittedTerminalState applies a terminal state of a successful commit.
func (l *PartitionLog) applyCommittedTerminalState(partition *Partition, job *Job, record records.TerminalJob) {
	job.Terminal = true
	delete(partition.ChangedJobs, job.ID)
	l.dependencies.RecordTerminalState(job.ID, record)
	l.LogInfo(
		"job ended", logkey.Job, job.ID, logkey.Team, job.Spec.Team, logkey.Class, job.Spec.Class,
		logkey.State, record.State, logkey.AfterS, (l.Now - job.AcceptedAt).WholeSeconds(),
		logkey.DeadlineS, job.Spec.DeadlineS,
	)
}

// handleRefused handles the final refusal of a partition's commit, for example because a job
// was cancelled concurrently. The replica is newer than the refusal by now, so the next commit
// includes the remaining changes on that basis. Adoptions are dropped, since the orphaned
// instances will be found again.
func (l *PartitionLog) handleRefused(partition *Partition) {
	partition.MachineBatches = slices.DeleteFunc(partition.MachineBatches, func(batch *MachineBatch) bool {
		if batch.IsAdoption {
			batch.OnRecorded()
		}
		return batch.IsAdoption
	})
	if partition.CommitInFlight.Malformed {
		// The store admits smaller transactions than the settings say. The next one is half
		// as large, until maxSizeHalvings is reached: one of this size would be refused again.
		partition.sizeHalvings = min(partition.sizeHalvings+1, maxSizeHalvings)
	}
	partition.CommitInFlight = nil
}
