package cluster

import (
	"testing"

	"spurmoor/internal/coordination"
	"spurmoor/internal/records"
)

// placedTaskChanges returns changes that place the first tasks of a job, perMachine of them on
// each machine.
func placedTaskChanges(job *Job, tasks, perMachine int) []taskChange {
	var changes []taskChange
	for index := range tasks {
		machine := string(rune('a' + index/perMachine%26))
		changes = append(changes, taskChange{
			job: job, index: index, record: TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: machine},
		})
	}
	return changes
}

// joinRuns joins changes into runs, as an entry does.
func joinRuns(changes []taskChange) []records.TaskRun {
	var runs []records.TaskRun
	for _, change := range changes {
		if last := len(runs) - 1; last >= 0 && change.extends(runs[last]) {
			extendRun(&runs[last])
			continue
		}
		runs = append(runs, change.run())
	}
	return runs
}

// TestEncodedSizeOfTasks compares the computed size of tasks with the encoded size. Some runs
// grow to numbers with more digits.
func TestEncodedSizeOfTasks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name              string
		tasks, perMachine int
		runs              int
	}{
		{"none", 0, 1, 0},
		{"one", 1, 1, 1},
		{"a run of 2", 2, 2, 1},
		{"a run of 1000", 1000, 1000, 1},
		{"runs of 9", 27, 9, 3},
		{"no two alike", 50, 1, 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			job := addTestJob(t, newState(t, newEnvironment(t)), "wk-000001", 2000)
			changes := placedTaskChanges(job, tc.tasks, tc.perMachine)
			runs := joinRuns(changes)
			written := 0
			for _, run := range runs {
				written += len(records.MustMarshal(run)) + len(",")
			}
			if got := encodedSizeOf(changes); len(runs) != tc.runs || got != written {
				t.Errorf("got %[1]d runs and a size of %[3]d bytes, want %[4]d runs and %[2]d bytes", len(runs), written, got, tc.runs)
			}
		})
	}
}

// TestTaskExtendsRun checks which differences keep a task from joining the run before it.
func TestTaskExtendsRun(t *testing.T) {
	t.Parallel()
	run := records.TaskRun{Job: "wk-000001", First: 3, Tasks: 2, State: records.TaskPlaced, Attempt: 1, Machine: "n-1"}
	for _, tc := range []struct {
		name   string
		job    string
		index  int
		record TaskRecord
		want   bool
	}{
		{"the next", "wk-000001", 5, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"}, true},
		{"a gap", "wk-000001", 6, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"}, false},
		{"in the run", "wk-000001", 4, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"}, false},
		{"another job", "wk-000002", 5, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-1"}, false},
		{"another state", "wk-000001", 5, TaskRecord{State: records.TaskDone, Attempt: 1, Machine: "n-1"}, false},
		{"another attempt", "wk-000001", 5, TaskRecord{State: records.TaskPlaced, Attempt: 2, Machine: "n-1"}, false},
		{"another machine", "wk-000001", 5, TaskRecord{State: records.TaskPlaced, Attempt: 1, Machine: "n-2"}, false},
	} {
		change := taskChange{job: &Job{ID: tc.job}, index: tc.index, record: tc.record}
		if got := change.extends(run); got != tc.want {
			t.Errorf("%s: got extends %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestEntriesWithinLimit fills entries up to the maximum number of entries. It checks that no
// entry exceeds the size limit and that the computed size of each entry is exact.
func TestEntriesWithinLimit(t *testing.T) {
	t.Parallel()
	state := newState(t, newEnvironment(t))
	job := addTestJob(t, state, "wk-000001", 2000)
	commit := &LogCommit{Transaction: &coordination.Transaction{}}
	const limit, maxEntries = 500, 3
	builder := &entryBuilder{
		log: &PartitionLog{cluster: state}, partition: state.Partitions[0], commit: commit,
		maxEntries: maxEntries, maxEntryBytes: limit, included: map[*Task]bool{},
	}
	if !builder.openEntry() {
		t.Fatal("opening the first entry: got false, want true")
	}
	added := 0
	for _, change := range placedTaskChanges(job, 2000, 1) {
		if !builder.reserveSpace(change.encodedSize()) {
			break
		}
		builder.addTask(change)
		added++
		size := 0
		for _, run := range builder.lastEntry().Runs {
			size += len(records.MustMarshal(run)) + len(",")
		}
		if size != commit.lastEntryBytes || size > limit {
			t.Fatalf(
				"%d tasks: got %d bytes in the last entry, want at most %d; got %d bytes counted, want %d",
				added, size, limit, commit.lastEntryBytes, size,
			)
		}
	}
	if len(commit.Entries) != maxEntries || added == 2000 || added != len(commit.tasks) {
		t.Fatalf(
			"got %d entries, want %d; got %d tasks added, want below 2000; got %d to commit, want %d",
			len(commit.Entries), maxEntries, added, len(commit.tasks), added,
		)
	}
	for i, entry := range commit.Entries {
		if size := len(entry.encode()); size > limit+maxEntryOverheadBytes {
			t.Errorf("entry %d: got %d bytes, want at most %d", i, size, limit+maxEntryOverheadBytes)
		}
	}
	if builder.reserveSpace(limit + 1) {
		t.Error("reserving more than the size limit of an entry: got true, want false")
	}
}
