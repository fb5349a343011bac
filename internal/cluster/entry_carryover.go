package cluster

import (
	"slices"

	"spurmoor/internal/records"
)

// carryover is the current content of a log entry: the records and tasks that no later entry
// holds. It must be logged again before the entry's slot is overwritten.
type carryover struct {
	machines  []records.Machine
	tasks     []taskChange
	sizeBytes int // encoded size
}

// carryoverOf returns the carryover of an entry.
func (b *entryBuilder) carryoverOf(old LogEntry) carryover {
	var carried carryover
	for _, record := range old.Machines {
		if latest, ok := b.carriedMachine(old, record); ok {
			carried.machines = append(carried.machines, latest)
			carried.sizeBytes += latest.EncodedSize()
		}
	}
	for _, run := range old.Runs {
		carried.tasks = b.appendCarriedTasks(carried.tasks, old, run)
	}
	carried.sizeBytes += encodedSizeOf(carried.tasks)
	return carried
}

// carriedMachine returns the record to carry over for a machine that an entry names, and
// whether there is one: the machine's current record if this entry holds it, or the record of
// its deletion while other entries that name the machine could recreate it.
func (b *entryBuilder) carriedMachine(old LogEntry, record records.Machine) (records.Machine, bool) {
	state := b.log.cluster
	origin := RecordOrigin{Epoch: record.Epoch, Partition: b.partition.Index, Sequence: old.Sequence}
	if machine := state.Machines[record.Name]; machine != nil && machine.Origin == origin {
		return machine.Record, true
	}
	tombstone, deleted := state.tombstones[record.Name]
	return record, deleted && tombstone == origin && state.logReferences[record.Name] > 1
}

// appendCarriedTasks appends the tasks of a run that no later entry holds. In the worst case
// these are every second task of the run, and each of them needs a run of its own.
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
		if task.uncommitted {
			generation-- // the carried state is the one before the uncommitted change
		}
		tasks = append(tasks, taskChange{
			job: job, index: index, generation: generation, record: task.Committed, sequence: 0,
		})
	}
	return tasks
}

// encodedSizeOf returns how many bytes tasks take in an entry when they are joined into runs.
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
