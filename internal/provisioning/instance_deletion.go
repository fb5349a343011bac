package provisioning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// InstanceDeleter has the cloud delete machines that are condemned, that is, never to be
// used again.
type InstanceDeleter struct {
	*coordination.Environment
	cluster    *cluster.State
	storeLease *coordination.StoreLease

	deleteInFlight      bool
	nextDeleteAt        micros.Micros
	nextDeletePartition int // where the search for condemned machines goes on; it only grows
}

// NewInstanceDeleter makes an instance deleter.
func NewInstanceDeleter(
	env *coordination.Environment, state *cluster.State, lease *coordination.StoreLease,
) *InstanceDeleter {
	return &InstanceDeleter{Environment: env, cluster: state, storeLease: lease}
}

const (
	// maxDeletesPerCall is how many machines one request deletes.
	maxDeletesPerCall = 100
	// deleteInterval is the least time between two requests: what is condemned meanwhile
	// goes with the next.
	deleteInterval = micros.Second
	// deleteRetryInterval is about how long a request waits that failed.
	deleteRetryInterval = 2 * micros.Second
)

// DeleteInstancesWhenDue has the cloud delete what it should, one request at a time.
func (d *InstanceDeleter) DeleteInstancesWhenDue() {
	if !d.deleteInFlight && d.Now >= d.nextDeleteAt {
		d.DeleteInstances()
	}
}

// DeleteInstances has the cloud delete condemned machines of ours: those of one partition
// at a time, each in its turn. That they are condemned is committed before, and never
// taken back, so a request that is carried out late changes nothing.
func (d *InstanceDeleter) DeleteInstances() {
	partitions := d.cluster.Partitions
	for offset := range partitions {
		partition := partitions[(d.nextDeletePartition+offset)%len(partitions)]
		if names := d.instancesToDelete(partition); len(names) > 0 {
			d.nextDeletePartition += offset + 1
			d.sendDelete(partition, names)
			return
		}
	}
}

// instancesToDelete lists machines of a partition that the cloud is to delete, as many as
// one request takes; none of a partition that we do not lead.
func (d *InstanceDeleter) instancesToDelete(partition *cluster.Partition) []string {
	if !partition.Leads() {
		return nil
	}
	var names []string
	for _, machine := range d.cluster.MachinesByName {
		if len(names) >= maxDeletesPerCall {
			break
		}
		if machine.Record.Partition == partition.Index && awaitsDeletion(machine) {
			names = append(names, machine.Name)
		}
	}
	return names
}

// awaitsDeletion tells whether a machine is known to be condemned for good, and the cloud
// was not told yet.
func awaitsDeletion(machine *cluster.Machine) bool {
	return machine.Record.MarkedForDeletion && !machine.RecordChangePending() && !machine.DeleteSent
}

// sendDelete sends one request, if there is a grant for it now.
func (d *InstanceDeleter) sendDelete(partition *cluster.Partition, names []string) {
	grant := d.storeLease.Grant(partition.RoleState, leadership.Delete)
	if grant.Check(leadership.Delete, d.Now) != "" {
		return
	}
	for _, name := range names {
		d.cluster.Machines[name].DeleteSent = true
	}
	d.deleteInFlight = true
	call := message.CloudCall{Op: message.OpDelete, Delete: leadership.NewOrder(grant, names)}
	d.CallCloud(call, func(reply *message.CloudReply) {
		d.deleteInFlight = false
		d.handleDeleteReply(names, reply.Status == message.StatusOK)
	})
}

// handleDeleteReply takes in whether a request succeeded: then the machines and all on them
// are gone. Otherwise it is repeated.
func (d *InstanceDeleter) handleDeleteReply(names []string, deleted bool) {
	for _, name := range names {
		if machine := d.cluster.Machines[name]; machine != nil {
			machine.DeleteConfirmed = machine.DeleteConfirmed || deleted
			machine.DeleteSent = deleted
		}
	}
	if deleted {
		d.nextDeleteAt = d.Now + deleteInterval
	} else {
		d.nextDeleteAt = d.Now + d.Jitter(deleteRetryInterval)
	}
}
