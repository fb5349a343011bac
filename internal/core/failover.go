package core

import (
	"maps"
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/provisioning"
)

// failoverPlanDelay is the longest time from a failover to the next scheduling cycle. The
// delay lets partitions that are acquired together be planned together.
const failoverPlanDelay = micros.Second / 5

// failoverHandler prepares the replica for leading a partition, and cleans up after a lost
// one. The role manager calls it when this controller acquires or loses a partition.
type failoverHandler struct {
	*coordination.Environment
	cluster      *cluster.State
	provisioning *provisioning.Provisioner
	tasks        *cluster.TaskLifecycle
	trigger      *cluster.CycleTrigger
}

func newFailoverHandler(
	env *coordination.Environment,
	cluster *cluster.State,
	provisioning *provisioning.Provisioner,
	tasks *cluster.TaskLifecycle,
	trigger *cluster.CycleTrigger,
) *failoverHandler {
	return &failoverHandler{Environment: env, cluster: cluster, provisioning: provisioning, tasks: tasks, trigger: trigger}
}

// PartitionAcquired begins to act as the leader of a partition. The replica already holds all
// recorded state. What was observed of the partition's machines before is outdated, so it is
// reset.
func (f *failoverHandler) PartitionAcquired(index int) {
	partition := f.cluster.Partitions[index]
	f.LogInfo("partition acquired", logkey.Partition, partition.Index, logkey.Term, partition.Term)
	for _, machine := range f.cluster.MachinesByName {
		if machine.Record.Partition == partition.Index {
			f.cluster.ResetObservations(machine)
		}
	}
	for id, job := range f.cluster.Jobs {
		if job.Partition == partition.Index {
			partition.ChangedJobs[id] = true
		}
	}
	f.tasks.ReleaseWithoutMachine(partition)
	f.provisioning.AdoptOpenRequests(partition)
	f.trigger.RequestWithin(failoverPlanDelay)
}

// PartitionLost stops acting as the leader of a partition and reverts its uncommitted
// changes. reason is logged.
func (f *failoverHandler) PartitionLost(index int, reason string) {
	partition := f.cluster.Partitions[index]
	f.LogInfo("partition lost", logkey.Partition, partition.Index, logkey.Reason, reason)
	f.abandonCommit(partition)
	f.abandonRecordChanges(partition)
	f.provisioning.AbandonRequests(partition)
	for _, id := range slices.Sorted(maps.Keys(f.cluster.Jobs)) {
		if job := f.cluster.Jobs[id]; job.Partition == partition.Index {
			f.cluster.RevertUncommitted(job)
		}
	}
}

// abandonCommit stops retrying a partition's commit. Either it was carried out before the
// partition was lost, or it never will be, because it compares the partition's key.
func (f *failoverHandler) abandonCommit(partition *cluster.Partition) {
	if partition.CommitInFlight == nil {
		return
	}
	partition.CommitInFlight.Settled = true
	partition.CommitInFlight = nil
}

// abandonRecordChanges drops the uncommitted changes to records of a partition's machines.
// For batches of machines that are dropped, OnRecorded is called as if they were recorded.
func (f *failoverHandler) abandonRecordChanges(partition *cluster.Partition) {
	for _, machine := range partition.RecordChanges {
		machine.PendingChange = cluster.NoRecordChange
	}
	batches := partition.MachineBatches
	partition.RecordChanges = nil
	partition.MachineBatches = nil
	clear(partition.ChangedJobs)
	for _, batch := range batches {
		batch.OnRecorded()
	}
}
