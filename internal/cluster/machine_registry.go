package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// recordCycleDelay is how soon a scheduling cycle runs after a machine's record has changed.
// It lets one cycle cover several changes.
const recordCycleDelay = micros.Second / 5

// machineTypes is the catalog of the cloud's machine types.
type machineTypes interface {
	// TypeNamed returns the machine type of that name, or nil if it is not known.
	TypeNamed(name string) *api.MachineType
}

// MachineRegistry applies machine records to the replica and requests changes of them.
type MachineRegistry struct {
	*coordination.Environment
	types     machineTypes
	cluster   *State
	deletions *DeletionLog
	tasks     *TaskLifecycle
	trigger   *CycleTrigger
}

// NewMachineRegistry returns a machine registry that applies records to cluster. It looks up
// machine types in types.
func NewMachineRegistry(
	env *coordination.Environment, types machineTypes, cluster *State,
	deletions *DeletionLog, tasks *TaskLifecycle, trigger *CycleTrigger,
) *MachineRegistry {
	return &MachineRegistry{
		Environment: env, types: types, cluster: cluster,
		deletions: deletions, tasks: tasks, trigger: trigger,
	}
}

// ApplyRecord applies a machine's record that was written at a revision of the store. It
// ignores a record that is older than the known one.
func (r *MachineRegistry) ApplyRecord(record records.Machine, origin RecordOrigin, revision api.Revision) {
	machine := r.cluster.Machines[record.Name]
	if !r.shouldApply(machine, record, origin) {
		return
	}
	if record.Deleted {
		r.cluster.setTombstone(record.Name, origin)
		if machine != nil {
			r.applyDeletion(machine)
		}
		return
	}
	r.cluster.clearTombstone(record.Name)
	transferred := machine != nil && machine.Record.Partition != record.Partition
	if machine == nil {
		machine = r.cluster.addMachine(record)
	}
	tokenRaised := r.replaceRecord(machine, record, origin, revision)
	switch {
	case transferred:
		r.cluster.ResetObservations(machine)
	case tokenRaised && machine.TokenConfirmed:
		// Send the new token at once. Otherwise the worker would report with it only later, and
		// until then its messages do not count as contact.
		machine.TokenConfirmed = false
		machine.NextCommandAt = r.Now
	}
	r.trigger.RequestWithin(recordCycleDelay)
}

// shouldApply reports whether a record names an existing partition and is not older than the
// known record or tombstone of its machine. machine is nil if the replica does not have it.
func (r *MachineRegistry) shouldApply(machine *Machine, record records.Machine, origin RecordOrigin) bool {
	known, ok := r.cluster.tombstones[record.Name]
	if machine != nil {
		known, ok = machine.Origin, true
	}
	if ok && !known.supersededBy(origin, record.Partition) {
		return false
	}
	return record.Partition >= 0 && record.Partition < len(r.cluster.Partitions)
}

// replaceRecord sets a machine's record and reports whether that raises its minimum token.
// The token never decreases, whatever the record holds.
func (r *MachineRegistry) replaceRecord(
	machine *Machine, record records.Machine, origin RecordOrigin, revision api.Revision,
) (tokenRaised bool) {
	previous := machine.Record.MinToken
	minToken := max(previous, record.MinToken)
	if record.MinToken == 0 {
		minToken = max(minToken, api.FencingToken(revision))
	}
	machine.Record, machine.Origin = record, origin
	machine.Record.MinToken = minToken
	machine.MachineType = r.types.TypeNamed(record.Type)
	return minToken > previous
}

// applyDeletion removes a machine whose record was deleted. The record is deleted only after
// all tasks on the machine are proven gone.
func (r *MachineRegistry) applyDeletion(machine *Machine) {
	ids := machine.TaskIDsCopy()
	for _, id := range ids {
		r.cluster.updateMachineCounts(r.cluster.Jobs[id.Job], id.Index, machine, -1)
	}
	r.cluster.removeMachine(machine)
	r.deletions.Record(machine.Name)
	r.tasks.releaseTasks(ids, reasonRecordGone)
}

// ScaleIn requests that a machine is marked for deletion. Once that is committed, no leader
// of its partition uses the machine again. It has no effect while another change of the
// record is pending.
func (r *MachineRegistry) ScaleIn(machine *Machine, reason string) {
	if machine.RecordChangePending() || machine.Record.MarkedForDeletion {
		return
	}
	r.LogInfo(
		"machine scaled in", logkey.Machine, machine.Name, logkey.Type, machine.Record.Type, logkey.Reason, reason,
		logkey.Tasks, len(machine.TaskIDs), logkey.AgeS, (r.Now - machine.LaunchedAt).WholeSeconds(),
	)
	r.cluster.RequestRecordChange(machine, markRecordForDeletion)
}

// Transfer requests that an empty machine is transferred to another partition. It has no effect if
// the machine is not empty, is marked for deletion or has a pending change of its record, or
// if there is no such other partition.
func (r *MachineRegistry) Transfer(machine *Machine, newPartition int) {
	if machine.RecordChangePending() || machine.Record.MarkedForDeletion || !r.cluster.IsEmptyAndCommitted(machine) {
		return
	}
	if newPartition == machine.Record.Partition || newPartition < 0 || newPartition >= len(r.cluster.Partitions) {
		return
	}
	r.LogInfo(
		"machine transferred", logkey.Machine, machine.Name, logkey.FromPartition, machine.Record.Partition,
		logkey.ToPartition, newPartition, logkey.HomePartition, machine.Record.HomePartition,
	)
	machine.pendingPartition = newPartition
	r.cluster.RequestRecordChange(machine, transferRecord)
}
