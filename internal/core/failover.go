package core

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/provisioning"

	"spurmoor/internal/micros"
)

// failoverHandler begins and ceases to act for a partition when its leadership changes.
type failoverHandler struct {
	*coordination.Environment
	cluster      *cluster.State
	provisioning *provisioning.Provisioner
	tasks        *cluster.TaskLifecycle
	trigger      *cluster.CycleTrigger
}

func newFailoverHandler(env *coordination.Environment, cluster *cluster.State, provisioning *provisioning.Provisioner, tasks *cluster.TaskLifecycle, trigger *cluster.CycleTrigger) *failoverHandler {
	return &failoverHandler{Environment: env, cluster: cluster, provisioning: provisioning, tasks: tasks, trigger: trigger}
}

// PartitionAcquired begins to act for a partition.
func (f *failoverHandler) PartitionAcquired(index int) {
	p := f.cluster.Partitions[index]
	f.LogInfo("partition acquired", logkey.Partition, p.Index, logkey.Term, p.Term)
	for _, m := range f.cluster.MachinesByName {
		if m.Record.Partition == p.Index {
			f.cluster.ResetObservations(m)
		}
	}
	for id, j := range f.cluster.Jobs {
		if j.Partition == p.Index {
			p.ChangedJobs[id] = true
		}
	}
	f.tasks.ReleaseTasksWithoutMachine()
	f.provisioning.AdoptOpenRequests(p)
	f.trigger.RequestCycleWithin(micros.Second / 5)
}

// PartitionLost throws away what was not committed of a partition that is held no
// more.
func (f *failoverHandler) PartitionLost(index int, why string) {
	p := f.cluster.Partitions[index]
	f.LogInfo("partition lost", logkey.Partition, p.Index, logkey.Reason, why)
	if p.CommitInFlight != nil {
		p.CommitInFlight.Settled = true // it was carried out before the partition went, or never
		p.CommitInFlight = nil
	}
	for _, m := range p.RecordChanges {
		m.PendingChange = cluster.NoRecordChange
	}
	fresh := p.MachineBatches
	p.RecordChanges, p.MachineBatches = nil, nil
	clear(p.ChangedJobs)
	for _, n := range fresh {
		n.OnRecorded()
	}
	f.provisioning.AbandonRequests(p)
	for _, id := range slices.Sorted(maps.Keys(f.cluster.Jobs)) {
		if j := f.cluster.Jobs[id]; j.Partition == p.Index {
			f.cluster.RevertUncommitted(j)
		}
	}
}
