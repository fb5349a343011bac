package cluster

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// recordCycleDelay is how soon a scheduling cycle runs once a machine's record has changed,
// so that one cycle covers several changes.
const recordCycleDelay = micros.Second / 5

// machineTypes is the catalog of the cloud's machine types.
type machineTypes interface {
	// TypeNamed returns the type of a name; nil: it is not known.
	TypeNamed(name string) *api.MachineType
}

// MachineRegistry applies machines' records to the replica, and requests changes of them.
type MachineRegistry struct {
	*coordination.Environment
	types     machineTypes
	cluster   *State
	deletions *DeletionLog
	tasks     *TaskLifecycle
	trigger   *CycleTrigger
}

// NewMachineRegistry returns a machine registry.
func NewMachineRegistry(
	env *coordination.Environment, types machineTypes, cluster *State,
	deletions *DeletionLog, tasks *TaskLifecycle, trigger *CycleTrigger,
) *MachineRegistry {
	return &MachineRegistry{
		Environment: env, types: types, cluster: cluster,
		deletions: deletions, tasks: tasks, trigger: trigger,
	}
}

// ApplyMachineRecord applies a machine's record, written at a revision of the store,
// unless a newer one is known.
func (r *MachineRegistry) ApplyMachineRecord(record records.MachineRecord, origin RecordOrigin, revision api.Revision) {
	machine := r.cluster.Machines[record.Name]
	if !r.isNews(machine, record, origin) {
		return
	}
	if record.Deleted {
		r.cluster.setTombstone(record.Name, origin)
		if machine != nil {
			r.removeMachine(machine)
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
		// The worker is notified at once: it would report a new token late, and until then
		// nothing that it says counts as a sign of life.
		machine.TokenConfirmed = false
		machine.NextCommandAt = r.Now
	}
	r.trigger.RequestCycleWithin(recordCycleDelay)
}

// isNews reports whether a record names a partition that there is, and is newer than what
// is known of its machine, which is nil if the replica has none of that name.
func (r *MachineRegistry) isNews(machine *Machine, record records.MachineRecord, origin RecordOrigin) bool {
	known, ok := r.cluster.tombstones[record.Name]
	if machine != nil {
		known, ok = machine.Origin, true
	}
	if ok && !known.supersededBy(origin, record.Partition) {
		return false
	}
	return record.Partition >= 0 && record.Partition < len(r.cluster.Partitions)
}

// replaceRecord gives a machine a newer record, and reports whether that raises its lowest
// token. The token never falls, whatever the record says.
func (r *MachineRegistry) replaceRecord(
	machine *Machine, record records.MachineRecord, origin RecordOrigin, revision api.Revision,
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

// removeMachine drops a machine whose record is deleted: all on it is proven gone.
func (r *MachineRegistry) removeMachine(machine *Machine) {
	for _, id := range machine.TaskIDsCopy() {
		r.cluster.countOnMachine(r.cluster.Jobs[id.Job], id.Index, machine, -1)
	}
	r.cluster.forgetMachine(machine)
	r.deletions.RecordDeletion(machine.Name)
	r.tasks.ReleaseTasksWithoutMachine()
}

// ScaleIn marks a machine for deletion: from then on it is never used again, whoever
// leads its partition.
func (r *MachineRegistry) ScaleIn(machine *Machine, reason string) {
	if machine.RecordChangePending() || machine.Record.Condemned {
		return
	}
	r.LogInfo(
		"machine scaled in", logkey.Machine, machine.Name, logkey.Type, machine.Record.Type, logkey.Reason, reason,
		logkey.Tasks, len(machine.TaskIDs), logkey.AgeS, (r.Now - machine.LaunchedAt).WholeSeconds(),
	)
	r.cluster.RequestRecordChange(machine, condemnRecord)
}

// TransferMachine moves an empty machine to another partition.
func (r *MachineRegistry) TransferMachine(machine *Machine, newPartition int) {
	if machine.RecordChangePending() || machine.Record.Condemned || !r.cluster.IsEmptyAndCommitted(machine) {
		return
	}
	if newPartition == machine.Record.Partition || newPartition < 0 || newPartition >= len(r.cluster.Partitions) {
		return
	}
	r.LogInfo(
		"machine transferred", logkey.Machine, machine.Name, logkey.FromPartition, machine.Record.Partition,
		logkey.ToPartition, newPartition, logkey.HomePartition, machine.Record.HomePartition,
	)
	machine.transferTo = newPartition
	r.cluster.RequestRecordChange(machine, transferRecord)
}
