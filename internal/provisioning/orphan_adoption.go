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

// sourceListed is said in the log of an orphan that the cloud's list showed.
const sourceListed = "listed"

// unknownWorkerGrace is how long a worker may be unknown before it is probed: the record of
// a new machine takes a moment to be committed and to reach this controller.
const unknownWorkerGrace = 6 * micros.Second

// ObserveUnknownWorker notes the heartbeat of a worker that no record is known of. A worker
// that goes on is probed, for only what answers exists: the heartbeat may be a late copy
// of one from a machine deleted long ago.
func (l *InstanceList) ObserveUnknownWorker(heartbeat *api.Heartbeat) {
	seen := l.unknownWorkers[heartbeat.Machine]
	if seen == nil {
		seen = &sighting{firstSeenAt: l.Now}
		l.unknownWorkers[heartbeat.Machine] = seen
	}
	l.refresh(seen)
	if l.Now > seen.firstSeenAt+unknownWorkerGrace && l.roles.MayActAs(leadership.OrphanAdopter) {
		seen.firstSeenAt = l.Now
		l.Emit(message.NewProbe(heartbeat.Machine, heartbeat.Address, heartbeat.Incarnation))
	}
}

// handleOrphan acts on an instance in the list that no record is known of.
func (l *InstanceList) handleOrphan(instance api.Instance) {
	orphan := peer.Orphan{Machine: instance.ID, Type: instance.Type, Zone: instance.Zone, Spot: instance.Spot}
	if !l.AdoptOrphan(orphan, sourceListed) {
		l.addFinding(&l.findings.Orphans, orphan)
	}
}

// AdoptOrphan has an orphaned instance recorded in a partition of ours; it is used or
// scaled in like any other machine. It tells whether that is this controller's role.
// source is how the orphan was found, for the log.
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
		Adopt:      true,
		OnRecorded: func() {},
	})
	return true
}

// firstLedPartition gives the first partition that we lead; nil: there is none.
func (l *InstanceList) firstLedPartition() *cluster.Partition {
	for _, partition := range l.cluster.Partitions {
		if partition.Leads() {
			return partition
		}
	}
	return nil
}

// isBeingRecorded tells whether a machine's first record waits to be committed.
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
