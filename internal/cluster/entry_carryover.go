package cluster

import (
	"slices"

	"spurmoor/internal/records"
)

// carryover is what an entry alone still holds, to be logged anew before its slot is
// written again.
type carryover struct {
	machines []records.MachineRecord
	tasks    []taskChange
	size     int // in bytes, as it would be encoded
}

// carryoverOf returns what an entry alone still holds.
func (b *entryBuilder) carryoverOf(old LogEntry) carryover {
	var carried carryover
	for _, record := range old.Machines {
		if latest, ok := b.carriedMachine(old, record); ok {
			carried.machines = append(carried.machines, latest)
			carried.size += latest.EncodedSize()
		}
	}
	for _, run := range old.Runs {
		carried.tasks = b.appendCarriedTasks(carried.tasks, old, run)
	}
	carried.size += encodedSizeOf(carried.tasks)
	return carried
}

// carriedMachine returns the latest record of a machine that an entry names, if that entry
// is the one that holds it; or the record of its deletion, while other entries that name
// the machine could bring it back.
func (b *entryBuilder) carriedMachine(old LogEntry, record records.MachineRecord) (records.MachineRecord, bool) {
	state := b.log.cluster
	origin := RecordOrigin{Epoch: record.Epoch, Partition: b.partition.Index, Sequence: old.Sequence}
	if machine := state.Machines[record.Name]; machine != nil && machine.Origin == origin {
		return machine.Record, true
	}
	tombstone, deleted := state.tombstones[record.Name]
	return record, deleted && tombstone == origin && state.logReferences[record.Name] > 1
}

// appendCarriedTasks appends the tasks of a run that no later entry holds. Of a run every
// second task may be left, in as many runs.
func (b *entryBuilder) appendCarriedTasks(tasks []taskChange, old LogEntry, run records.TaskRun) []taskChange {
	job := b.log.cluster.Jobs[run.Job]
	if job == nil || job.Terminal || slices.Contains(b.commit.TerminalJobs, job) {
		return tasks
	}
	for index := run.First; index < run.First+run.TaskCount() && index < job.Spec.Tasks; index++ {
		task := job.EnsureTask(index)
		if task.LogSequence != old.Sequence || b.included[task] {
			continue
		}
		generation := task.generation
		if task.changed {
			generation-- // what it became since is still to be committed
		}
		tasks = append(tasks, taskChange{
			job: job, index: index, generation: generation, record: task.Committed, sequence: 0,
		})
	}
	return tasks
}

// encodedSizeOf returns how many bytes tasks take in an entry, joined to runs.
func encodedSizeOf(tasks []taskChange) int {
	size := 0
	last := records.TaskRun{}
	for _, task := range tasks {
		if task.extends(last) {
			size += extendRun(&last)
			continue
		}
		last = task.run()
		size += last.EncodedSize()
	}
	return size
}
