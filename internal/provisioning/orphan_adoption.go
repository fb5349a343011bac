package provisioning

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/records"
)

// sourceListed is the source in the log of an orphan that was found in the cloud's list.
const sourceListed = "listed"

// unknownWorkerGrace is how long a worker may have no record before it is probed: the record
// of a new machine takes a moment to be committed and to reach this controller.
const unknownWorkerGrace = 6 * micros.Second

// ObserveUnknownWorker handles the heartbeat of a worker whose machine has no record. If
// heartbeats still come after unknownWorkerGrace, the orphan adopter probes the worker: a
// heartbeat alone may be a late copy from a machine that was deleted long ago, but only a
// machine that exists answers a probe.
func (l *InstanceList) ObserveUnknownWorker(heartbeat *api.Heartbeat) {
	seen := l.unknownWorkers[heartbeat.Machine]
	if seen == nil {
		seen = &observation{graceStartedAt: l.Now}
		l.unknownWorkers[heartbeat.Machine] = seen
	}
	l.markSeen(seen)
	if l.Now > seen.graceStartedAt+unknownWorkerGrace && l.roles.MayActAs(leadership.OrphanAdopter) {
		seen.graceStartedAt = l.Now
		l.Emit(message.NewProbe(heartbeat.Machine, heartbeat.Address, heartbeat.Incarnation))
	}
}

// handleOrphan adopts an instance in the cloud's list that has no record. If this controller
// does not adopt orphans, it tells the others of the instance.
func (l *InstanceList) handleOrphan(instance api.Instance) {
	orphan := peer.Orphan{Machine: instance.ID, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot}
	if !l.AdoptOrphan(orphan, sourceListed) {
		l.addFinding(&l.findings.Orphans, orphan)
	}
}

// AdoptOrphan queues an orphaned instance to be recorded in a partition that this controller
// leads, unless it was recently deleted or is already queued. Once recorded, it is used or
// scaled in like any other machine. AdoptOrphan reports whether adopting orphans is up to
// this controller. source says in the log how the orphan was found.
func (l *InstanceList) AdoptOrphan(orphan peer.Orphan, source string) bool {
	if !l.roles.MayActAs(leadership.OrphanAdopter) || !l.roles.LeadsAnyPartition() {
		return false
	}
	if l.deletions.RecentlyDeleted(orphan.Machine) || l.isBeingRecorded(orphan.Machine) {
		return true
	}
	partition := l.firstLedPartition()
	if partition == nil {
		return true
	}
	l.LogInfo("orphaned machine adopted",
		logkey.Machine, orphan.Machine,
		logkey.Type, orphan.Type,
		logkey.Source, source)
	record := records.Machine{
		Name:          orphan.Machine,
		Type:          orphan.Type,
		Zone:          orphan.Zone,
		Spot:          orphan.Spot,
		HomePartition: partition.Index,
		Partition:     partition.Index,
		LaunchedAt:    l.Now,
	}
	partition.MachineBatches = append(partition.MachineBatches, &cluster.MachineBatch{
		Records:    []records.Machine{record},
		IsAdoption: true,
		OnRecorded: func() {},
	})
	return true
}

// firstLedPartition returns the first partition that this controller leads, or nil.
func (l *InstanceList) firstLedPartition() *cluster.Partition {
	for _, partition := range l.cluster.Partitions {
		if partition.Leads() {
			return partition
		}
	}
	return nil
}

// isBeingRecorded reports whether the first record of a machine waits to be committed.
func (l *InstanceList) isBeingRecorded(name string) bool {
	hasName := func(record records.Machine) bool { return record.Name == name }
	for _, partition := range l.cluster.Partitions {
		for _, batch := range partition.MachineBatches {
			if slices.ContainsFunc(batch.Records, hasName) {
				return true
			}
		}
	}
	return false
}
