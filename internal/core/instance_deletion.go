package core

import (
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
)

// instanceDeleter has the cloud delete machines that are never to be used again.
type instanceDeleter struct {
	*environment
	cluster    *clusterState
	storeLease *storeLease

	deleteInFlight      bool
	nextDeleteAt        micros.Micros
	nextDeletePartition int // whose turn it is
}

func newInstanceDeleter(env *environment, cluster *clusterState, lease *storeLease) *instanceDeleter {
	return &instanceDeleter{environment: env, cluster: cluster, storeLease: lease}
}

// maxDeletesPerCall is how many machines one request deletes.
const maxDeletesPerCall = 100

// deleteInstancesWhenDue has the cloud delete what it should, one request at a time.
func (d *instanceDeleter) deleteInstancesWhenDue() {
	if !d.deleteInFlight && d.now >= d.nextDeleteAt {
		d.deleteInstances()
	}
}

// deleteInstances has the cloud delete our machines that are never to be used again:
// those of one partition at a time, each in its turn. That they are never used again
// is committed before, and never taken back, so a request that is carried out late
// changes nothing.
func (d *instanceDeleter) deleteInstances() {
	for i := range d.cluster.partitions {
		p := d.cluster.partitions[(d.nextDeletePartition+i)%len(d.cluster.partitions)]
		if names := d.instancesToDelete(p); len(names) > 0 {
			d.nextDeletePartition += i + 1
			d.sendDelete(p, names)
			return
		}
	}
}

// instancesToDelete lists machines of a partition of ours that the cloud is to delete.
func (d *instanceDeleter) instancesToDelete(p *partition) []string {
	var names []string
	if !p.Leads() {
		return nil
	}
	for _, m := range d.cluster.machinesByName {
		if m.record.Condemned && m.record.Partition == p.index && !m.recordChangePending() && !m.deleteSent && len(names) < maxDeletesPerCall {
			names = append(names, m.name)
		}
	}
	return names
}

func (d *instanceDeleter) sendDelete(p *partition, names []string) {
	grant := d.storeLease.grant(p.RoleState, leadership.Delete)
	if grant.Check(leadership.Delete, d.now) != "" {
		return
	}
	for _, name := range names {
		d.cluster.machines[name].deleteSent = true
	}
	d.deleteInFlight = true
	d.callCloud(CloudCall{Op: OpDelete, Delete: leadership.NewOrder(grant, names)}, func(r *CloudReply) {
		d.deleteInFlight = false
		d.nextDeleteAt = d.now + micros.Second // more come meanwhile: one call for them
		for _, name := range names {
			if m := d.cluster.machines[name]; m != nil {
				// 200: the machines and all on them are gone.
				m.deleteConfirmed = m.deleteConfirmed || r.Status == 200
				m.deleteSent = r.Status == 200
			}
		}
		if r.Status != 200 {
			d.nextDeleteAt = d.now + d.jitter(2*micros.Second)
		}
	})
}
