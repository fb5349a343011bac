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

// failoverPlanDelay is how soon after a failover a scheduling cycle is to run, so that
// partitions that are acquired together are planned together.
const failoverPlanDelay = micros.Second / 5

// failoverHandler begins and ceases to act for a partition when its leader changes. It is
// notified by the role manager.
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

// PartitionAcquired begins to act for a partition. What is recorded is known from the
// replica; what was only observed starts over.
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
	f.tasks.ReleaseWithoutMachine()
	f.provisioning.AdoptOpenRequests(partition)
	f.trigger.RequestWithin(failoverPlanDelay)
}

// PartitionLost ceases to act for a partition: what was not committed of it is reverted.
func (f *failoverHandler) PartitionLost(index int, why string) {
	partition := f.cluster.Partitions[index]
	f.LogInfo("partition lost", logkey.Partition, partition.Index, logkey.Reason, why)
	f.abandonCommit(partition)
	f.abandonRecordChanges(partition)
	f.provisioning.AbandonRequests(partition)
	for _, id := range slices.Sorted(maps.Keys(f.cluster.Jobs)) {
		if job := f.cluster.Jobs[id]; job.Partition == partition.Index {
			f.cluster.RevertUncommitted(job)
		}
	}
}

// abandonCommit stops repeating a partition's commit: it was carried out before the
// partition was lost, or never will be, for it compares the partition's key.
func (f *failoverHandler) abandonCommit(partition *cluster.Partition) {
	if partition.CommitInFlight == nil {
		return
	}
	partition.CommitInFlight.Settled = true
	partition.CommitInFlight = nil
}

// abandonRecordChanges drops the changes of a partition's records that wait for a commit.
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
