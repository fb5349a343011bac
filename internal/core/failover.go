package core

import (
	"maps"
	"slices"

	"spurmoor/internal/micros"
)

// failoverHandler begins and ceases to act for a partition when its leadership changes.
type failoverHandler struct {
	*environment
	cluster      *clusterState
	provisioning *provisioner
	tasks        *taskLifecycle
	trigger      *cycleTrigger
}

func newFailoverHandler(env *environment, cluster *clusterState, provisioning *provisioner, tasks *taskLifecycle, trigger *cycleTrigger) *failoverHandler {
	return &failoverHandler{environment: env, cluster: cluster, provisioning: provisioning, tasks: tasks, trigger: trigger}
}

// partitionAcquired begins to act for a partition.
func (f *failoverHandler) partitionAcquired(index int) {
	p := f.cluster.partitions[index]
	f.logInfo("partition taken over", "partition", p.index, "term", p.Term)
	for _, m := range f.cluster.machinesByName {
		if m.record.Partition == p.index {
			f.cluster.resetObservations(m)
		}
	}
	for id, j := range f.cluster.jobs {
		if j.partition == p.index {
			p.changedJobs[id] = true
		}
	}
	f.tasks.releaseTasksWithoutMachine()
	f.provisioning.adoptOpenRequests(p)
	f.trigger.requestPlanWithin(micros.Second / 5)
}

// partitionLost throws away what was not committed of a partition that is held no
// more.
func (f *failoverHandler) partitionLost(index int, why string) {
	p := f.cluster.partitions[index]
	f.logInfo("partition lost", "partition", p.index, "why", why)
	if p.commitInFlight != nil {
		p.commitInFlight.settled = true // it was carried out before the partition went, or never
		p.commitInFlight = nil
	}
	for _, m := range p.recordChanges {
		m.pendingChange = noRecordChange
	}
	fresh := p.machineBatches
	p.recordChanges, p.machineBatches = nil, nil
	clear(p.changedJobs)
	for _, n := range fresh {
		n.onRecorded()
	}
	f.provisioning.abandonRequests(p)
	for _, id := range slices.Sorted(maps.Keys(f.cluster.jobs)) {
		if j := f.cluster.jobs[id]; j.partition == p.index {
			f.cluster.revertUncommitted(j)
		}
	}
}
