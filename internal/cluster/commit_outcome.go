package cluster

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/logkey"
	"spurmoor/internal/records"
)

// maxSizeReductions is how often the size of a partition's commits is halved at most.
const maxSizeReductions = 3

// CommitSucceeded records that a partition's commit was carried out, at a revision of the
// store.
func (l *PartitionLog) CommitSucceeded(partition *Partition, revision api.Revision) {
	commit := partition.CommitInFlight
	if commit == nil {
		return
	}
	partition.CommitInFlight, commit.Settled = nil, true
	for _, entry := range commit.Entries {
		entry.Version = revision
		l.cluster.RecordLogEntry(partition, entry)
	}
	l.machinesCommitted(partition, commit, revision)
	for _, change := range commit.tasks {
		if l.cluster.Jobs[change.job.ID] == change.job {
			l.taskCommitted(change)
		}
	}
	for i, job := range commit.TerminalJobs {
		l.terminalStateCommitted(partition, job, commit.terminalRecords[i])
	}
	partition.MachineBatches = slices.DeleteFunc(partition.MachineBatches, func(batch *MachineBatch) bool {
		committed := slices.Contains(commit.machineBatches, batch)
		if committed {
			batch.OnRecorded()
		}
		return committed
	})
	if len(commit.TerminalJobs) > 0 {
		// The watch cache removes the jobs once it shows that their keys are gone.
		l.cache.ReadLatest(func(bool) {})
	}
}

// machinesCommitted records that the machines' records of a commit are committed.
func (l *PartitionLog) machinesCommitted(partition *Partition, commit *LogCommit, revision api.Revision) {
	for _, change := range commit.recordChanges {
		if change.machine.PendingChange == change.kind {
			change.machine.PendingChange = NoRecordChange
		}
	}
	for _, entry := range commit.Entries {
		for _, record := range entry.Machines {
			origin := RecordOrigin{Epoch: record.Epoch, Partition: partition.Index, Sequence: entry.Sequence}
			l.registry.ApplyMachineRecord(record, origin, revision)
		}
	}
	for _, batch := range commit.machineBatches {
		for _, record := range batch.Records {
			if machine := l.cluster.Machines[record.Name]; machine != nil {
				// The launch time of a record that we wrote is by our own clock.
				machine.LaunchedAt = min(machine.LaunchedAt, record.LaunchedAt)
			}
		}
	}
}

// taskCommitted records that what a task became is committed.
func (l *PartitionLog) taskCommitted(change taskChange) {
	job := change.job
	task := job.EnsureTask(change.index)
	task.Committed, task.LogSequence = change.record, change.sequence
	if task.changed && task.generation == change.generation {
		task.changed = false
		job.ChangedTasks--
	}
	if task.State == records.TaskPlaced && !task.changed && !task.Observed && task.DirectStartToken == 0 {
		l.cluster.requestCommand(task.Machine) // start it without waiting for a heartbeat
	}
	// Now, before any machine reports: when a machine died first, its gang was taken for one
	// still being placed, and waited for ever.
	job.StartUncommitted = job.StartUncommitted && job.ChangedTasks > 0
}

// terminalStateCommitted records that a job's terminal state is committed.
func (l *PartitionLog) terminalStateCommitted(partition *Partition, job *Job, record records.TerminalRecord) {
	job.Terminal = true
	delete(partition.ChangedJobs, job.ID)
	l.dependencies.RecordTerminalState(job.ID, record)
	l.LogInfo(
		"job ended", logkey.Job, job.ID, logkey.Team, job.Spec.Team, logkey.Class, job.Spec.Class,
		logkey.State, record.State, logkey.AfterS, (l.Now - job.AcceptedAt).WholeSeconds(),
		logkey.DeadlineS, job.Spec.DeadlineS,
	)
}

// commitRefused records that a partition's commit was refused for good: a job was
// cancelled meanwhile, say. The replica is newer than the refusal, so the next commit says
// the same in the light of it. Adoptions are given up: the orphaned instances will be
// found again.
func (l *PartitionLog) commitRefused(partition *Partition) {
	partition.MachineBatches = slices.DeleteFunc(partition.MachineBatches, func(batch *MachineBatch) bool {
		if batch.Adopt {
			batch.OnRecorded()
		}
		return batch.Adopt
	})
	if partition.CommitInFlight.Malformed {
		// The store admits less than the settings say: the same is never sent again.
		partition.sizeReductions = min(partition.sizeReductions+1, maxSizeReductions)
	}
	partition.CommitInFlight = nil
}
