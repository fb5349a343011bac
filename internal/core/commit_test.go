package core

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/records"
)

// TestCommitOfStartComparesJob guards against a start that is committed after its job was
// cancelled: a commit with a start must compare the job's key.
func TestCommitOfStartComparesJob(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.removeTask()
	fixture.cluster.ChangeTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: 2, Machine: fixture.machine.Name})
	commit := fixture.partitionLog.BuildCommit(fixture.partition, 10)
	if commit == nil || !slices.Contains(commit.Request.Compares, fixture.jobCompare()) {
		t.Errorf("commit of a start: got %+v, want one that compares the job's key", commit)
	}
}

// TestCommitOfEndComparesJob guards against a late transaction that records a job as done
// after its cancellation was confirmed to the user: the transaction must compare the version
// of the job's key that it is based on.
func TestCommitOfEndComparesJob(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.cluster.ChangeTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskDone, Attempt: 1, Machine: ""})
	commit := fixture.partitionLog.BuildCommit(fixture.partition, 10)
	if commit == nil || len(commit.TerminalJobs) != 1 || !slices.Contains(commit.Request.Compares, fixture.jobCompare()) {
		t.Errorf("commit of a job's end: got %+v, want one that ends one job and compares its key", commit)
	}
}

// TestCommitComparesTermAndSlot guards against a commit that is carried out after another
// controller acquired the partition, or after a newer commit of the same term.
func TestCommitComparesTermAndSlot(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.cluster.SetTask(fixture.job, 0, cluster.TaskRecord{})
	fixture.cluster.ChangeTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: 2, Machine: fixture.machine.Name})
	commit := fixture.partitionLog.BuildCommit(fixture.partition, 10)
	slotKey := records.SlotKey(fixture.partition.Index, commit.Entries[0].Slot)
	for _, compare := range []api.Compare{
		{Key: fixture.partition.Key(), Version: api.Revision(fixture.partition.Term)},
		{Key: slotKey, Version: commit.PreviousSlotVersion},
	} {
		if !slices.Contains(commit.Request.Compares, compare) {
			t.Errorf("compares of the commit: got %+v, want %+v among them", commit.Request.Compares, compare)
		}
	}
}

// jobCompare returns the condition that the job's key has not changed since it was read.
func (f *leaderFixture) jobCompare() api.Compare {
	return api.Compare{Key: records.JobPrefix + f.job.ID, Version: f.job.Version}
}
