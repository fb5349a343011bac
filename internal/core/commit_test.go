package core

import (
	"slices"
	"testing"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/records"
)

// TestCommitOfStartComparesJob guards against a start that is committed after its job's
// cancellation was: each commit with a start of a job compares that job's key.
func TestCommitOfStartComparesJob(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.clearTask()
	fixture.cluster.ChangeTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskPlaced, Attempt: 2, Machine: fixture.machine.Name})
	commit := fixture.partitionLog.BuildCommit(fixture.partition, 10)
	if commit == nil || !slices.Contains(commit.Request.Compares, fixture.jobCompare()) {
		t.Errorf("a start is committed without its job's key: %+v", commit)
	}
}

// TestCommitOfEndComparesJob guards against an end that is recorded after its job's
// cancellation was told, by a transaction that comes late: it compares the version of the
// job's key that it follows.
func TestCommitOfEndComparesJob(t *testing.T) {
	fixture := newLeaderFixture(t)
	fixture.cluster.ChangeTask(fixture.job, 0, cluster.TaskRecord{State: records.TaskDone, Attempt: 1, Machine: ""})
	commit := fixture.partitionLog.BuildCommit(fixture.partition, 10)
	if commit == nil || len(commit.TerminalJobs) != 1 || !slices.Contains(commit.Request.Compares, fixture.jobCompare()) {
		t.Errorf("an end is recorded without its job's key: %+v", commit)
	}
}

// TestCommitComparesTermAndSlot guards against a commit that is carried out after its
// partition was taken by another controller, or after a newer commit of the same term.
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
			t.Errorf("a commit does not compare %+v: %+v", compare, commit.Request.Compares)
		}
	}
}

// jobCompare is the condition that the job's key is as it was read.
func (f *leaderFixture) jobCompare() api.Compare {
	return api.Compare{Key: records.JobPrefix + f.job.ID, Version: f.job.Version}
}
