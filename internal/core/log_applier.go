package core

import (
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/records"
)

// applyLogSlot applies a slot of a partition's log. An unreadable slot is treated as empty,
// so that it is the next to be written. While the cache is being synchronized, slots that a
// former leader wrote may arrive after this controller's claim to lead the partition, so they
// are applied even if it leads.
func (a *recordApplier) applyLogSlot(name string, value []byte, version api.Revision) error {
	partition, slot := a.parseLogSlot(name)
	if partition == nil {
		return nil
	}
	if partition.Leads() && a.cache.Synced {
		a.observeOwnLogSlot(partition, slot, version)
		return nil
	}
	record, err := decodeRecord[records.LogEntry](value)
	if err != nil {
		record = records.LogEntry{}
	}
	a.applyLogEntry(partition, cluster.LogEntry{
		Sequence: record.Sequence, Slot: slot, Version: version, Runs: record.Runs, Machines: record.Machines,
	})
	return err
}

// parseLogSlot parses a name of the form PARTITION/SLOT. It returns nil if the name does not
// have that form or the partition does not exist.
func (a *recordApplier) parseLogSlot(name string) (*cluster.Partition, int) {
	partitionName, slotName, found := strings.Cut(name, "/")
	partition := a.partitionByName(partitionName)
	slot, err := strconv.Atoi(slotName)
	if !found || partition == nil || err != nil || slot < 0 {
		return nil, 0
	}
	return partition, slot
}

// observeOwnLogSlot handles a change to a slot of a log that this controller writes. The
// change may show that a commit succeeded whose reply is late or lost.
func (a *recordApplier) observeOwnLogSlot(partition *cluster.Partition, slot int, version api.Revision) {
	commit := partition.CommitInFlight
	if commit != nil && slot == commit.Entries[0].Slot && version > commit.PreviousSlotVersion {
		a.partitionLog.HandleCommitted(partition, version)
	}
	for i := range partition.Log {
		if entry := &partition.Log[i]; entry.Slot == slot {
			// Only the version changes. The contents are known: no commit of another
			// controller succeeds while the partition's key has our claim, and we stop
			// leading as soon as the cache shows another claim.
			entry.Version = max(entry.Version, version)
		}
	}
}

// applyLogEntry applies an entry of a log that another controller writes.
func (a *recordApplier) applyLogEntry(partition *cluster.Partition, entry cluster.LogEntry) {
	a.cluster.AddLogEntry(partition, entry)
	for _, machine := range entry.Machines {
		origin := cluster.RecordOrigin{Epoch: machine.Epoch, Partition: partition.Index, Sequence: entry.Sequence}
		a.registry.ApplyRecord(machine, origin, entry.Version)
	}
	for _, run := range entry.Runs {
		a.applyTaskRun(run, entry.Sequence)
	}
}

// applyTaskRun applies the part of a log entry that describes consecutive tasks of a job.
// Tasks in a later entry that was already applied are skipped.
func (a *recordApplier) applyTaskRun(run records.TaskRun, sequence uint64) {
	job := a.cluster.Jobs[run.Job]
	if job == nil {
		return // the job has ended
	}
	for index := run.First; index < min(run.First+run.TaskCount(), job.Spec.Tasks); index++ {
		task := job.EnsureTask(index)
		if task.LogSequence > sequence {
			continue
		}
		a.cluster.SetTask(job, index, cluster.TaskRecord{State: run.State, Attempt: run.Attempt, Machine: run.Machine})
		task.Committed = task.TaskRecord
		task.LogSequence = sequence
	}
	a.dependencies.ObserveTasks(job)
}
