package core

import (
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/records"
)

// putLogSlot takes in a slot of a partition's log. A slot that cannot be read is taken for
// an empty one, so that it is the next to be written.
func (a *recordApplier) putLogSlot(name string, value []byte, version api.Revision) error {
	partition, slot := a.parseSlot(name)
	if partition == nil {
		return nil
	}
	if partition.Leads() && a.cache.Synced {
		a.observeOwnSlot(partition, slot, version)
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

// parseSlot reads PARTITION/SLOT; nil: it is not of that form, or there is no such partition.
func (a *recordApplier) parseSlot(name string) (*cluster.Partition, int) {
	partitionName, slotName, found := strings.Cut(name, "/")
	partition := a.partitionNamed(partitionName)
	slot, err := strconv.Atoi(slotName)
	if !found || partition == nil || err != nil || slot < 0 {
		return nil, 0
	}
	return partition, slot
}

// observeOwnSlot takes in that a slot of a log that we write changed: the answer to the
// commit that did so may be late or lost.
func (a *recordApplier) observeOwnSlot(partition *cluster.Partition, slot int, version api.Revision) {
	commit := partition.CommitInFlight
	if commit != nil && slot == commit.Entries[0].Slot && version > commit.PreviousSlotVersion {
		a.partitionLog.HandleCommitted(partition, version)
	}
	for i := range partition.Log {
		if entry := &partition.Log[i]; entry.Slot == slot {
			// Where someone else wrote it, what we know of its contents still holds.
			entry.Version = max(entry.Version, version)
		}
	}
}

// applyLogEntry takes in an entry of a log that another controller writes.
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

// applyTaskRun takes in what a log entry says of consecutive tasks of a job, except those
// that a later entry told of.
func (a *recordApplier) applyTaskRun(run records.TaskRun, sequence uint64) {
	job := a.cluster.Jobs[run.Job]
	if job == nil {
		return // it has ended
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
}
