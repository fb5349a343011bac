package provisioning

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

// InstanceDeleter deletes machines in the cloud that are marked for deletion in their
// records and therefore never used again.
type InstanceDeleter struct {
	*coordination.Environment
	cluster    *cluster.State
	storeLease *coordination.StoreLease

	deleteInFlight      bool
	nextDeleteAt        micros.Micros
	nextDeletePartition int // the search begins here, modulo the number of partitions; it only grows
}

// NewInstanceDeleter returns a deleter that has sent no request.
func NewInstanceDeleter(
	env *coordination.Environment, state *cluster.State, lease *coordination.StoreLease,
) *InstanceDeleter {
	return &InstanceDeleter{Environment: env, cluster: state, storeLease: lease}
}

const (
	// maxDeletesPerCall is the most machines that one request deletes.
	maxDeletesPerCall = 100
	// minDeleteInterval is the least time between two requests. Machines that are marked
	// meanwhile are deleted together.
	minDeleteInterval = micros.Second
	// deleteRetryInterval is about how long after a failure a request is repeated.
	deleteRetryInterval = 2 * micros.Second
)

// DeleteWhenDue deletes marked machines, one request at a time.
func (d *InstanceDeleter) DeleteWhenDue() {
	if !d.deleteInFlight && d.Now >= d.nextDeleteAt {
		d.DeleteNextBatch()
	}
}

// DeleteNextBatch deletes marked machines of one of the partitions that this controller
// leads; the partitions take turns. The mark is committed before the request is sent and is
// never removed, so a request that is carried out late does no harm.
func (d *InstanceDeleter) DeleteNextBatch() {
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

// instancesToDelete returns the names of up to maxDeletesPerCall machines of a partition that
// are to be deleted, or none if this controller does not lead the partition.
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

// awaitsDeletion reports whether a machine is marked, the mark is committed, and no request
// to delete the machine is in flight or has succeeded.
func awaitsDeletion(machine *cluster.Machine) bool {
	return machine.Record.MarkedForDeletion && !machine.RecordChangePending() && !machine.DeleteSent
}

// sendDelete sends a request to delete machines, if there is a grant for it.
func (d *InstanceDeleter) sendDelete(partition *cluster.Partition, names []string) {
	grant := d.storeLease.Grant(partition.RoleState, leadership.ActionDelete)
	if grant.Check(leadership.ActionDelete, d.Now) != "" {
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

// handleDeleteReply handles the outcome of a request. If it succeeded, the machines and
// everything on them are gone. Otherwise they are deleted again after deleteRetryInterval.
func (d *InstanceDeleter) handleDeleteReply(names []string, deleted bool) {
	for _, name := range names {
		if machine := d.cluster.Machines[name]; machine != nil {
			machine.DeleteConfirmed = machine.DeleteConfirmed || deleted
			machine.DeleteSent = deleted
		}
	}
	if deleted {
		d.nextDeleteAt = d.Now + minDeleteInterval
	} else {
		d.nextDeleteAt = d.Now + d.Jitter(deleteRetryInterval)
	}
}
