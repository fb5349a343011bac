package provisioning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// InstanceDeleter has the cloud delete machines that are never to be used again.
type InstanceDeleter struct {
	*coordination.Environment
	cluster    *cluster.State
	storeLease *coordination.StoreLease

	deleteInFlight      bool
	nextDeleteAt        micros.Micros
	nextDeletePartition int // whose turn it is
}

// NewInstanceDeleter makes an instance deleter.
func NewInstanceDeleter(env *coordination.Environment, cluster *cluster.State, lease *coordination.StoreLease) *InstanceDeleter {
	return &InstanceDeleter{Environment: env, cluster: cluster, storeLease: lease}
}

// maxDeletesPerCall is how many machines one request deletes.
const maxDeletesPerCall = 100

// DeleteInstancesWhenDue has the cloud delete what it should, one request at a time.
func (d *InstanceDeleter) DeleteInstancesWhenDue() {
	if !d.deleteInFlight && d.Now >= d.nextDeleteAt {
		d.DeleteInstances()
	}
}

// DeleteInstances has the cloud delete our machines that are never to be used again:
// those of one partition at a time, each in its turn. That they are never used again
// is committed before, and never taken back, so a request that is carried out late
// changes nothing.
func (d *InstanceDeleter) DeleteInstances() {
	for i := range d.cluster.Partitions {
		p := d.cluster.Partitions[(d.nextDeletePartition+i)%len(d.cluster.Partitions)]
		if names := d.instancesToDelete(p); len(names) > 0 {
			d.nextDeletePartition += i + 1
			d.sendDelete(p, names)
			return
		}
	}
}

// instancesToDelete lists machines of a partition of ours that the cloud is to delete.
func (d *InstanceDeleter) instancesToDelete(p *cluster.Partition) []string {
	var names []string
	if !p.Leads() {
		return nil
	}
	for _, m := range d.cluster.MachinesByName {
		if m.Record.Condemned && m.Record.Partition == p.Index && !m.RecordChangePending() && !m.DeleteSent && len(names) < maxDeletesPerCall {
			names = append(names, m.Name)
		}
	}
	return names
}

func (d *InstanceDeleter) sendDelete(p *cluster.Partition, names []string) {
	grant := d.storeLease.Grant(p.RoleState, leadership.Delete)
	if grant.Check(leadership.Delete, d.Now) != "" {
		return
	}
	for _, name := range names {
		d.cluster.Machines[name].DeleteSent = true
	}
	d.deleteInFlight = true
	d.CallCloud(message.CloudCall{Op: message.OpDelete, Delete: leadership.NewOrder(grant, names)}, func(r *message.CloudReply) {
		d.deleteInFlight = false
		d.nextDeleteAt = d.Now + micros.Second // more come meanwhile: one call for them
		for _, name := range names {
			if m := d.cluster.Machines[name]; m != nil {
				// 200: the machines and all on them are gone.
				m.DeleteConfirmed = m.DeleteConfirmed || r.Status == 200
				m.DeleteSent = r.Status == 200
			}
		}
		if r.Status != 200 {
			d.nextDeleteAt = d.Now + d.Jitter(2*micros.Second)
		}
	})
}
