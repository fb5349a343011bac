package cluster

import (
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// MachineRegistry takes in machines' records and asks for changes of them.
type MachineRegistry struct {
	*coordination.Environment
	catalog   *MachineCatalog
	cluster   *State
	deletions *DeletionLog
	tasks     *TaskLifecycle
	trigger   *CycleTrigger
}

// NewMachineRegistry makes a machine registry.
func NewMachineRegistry(env *coordination.Environment, catalog *MachineCatalog, cluster *State, deletions *DeletionLog, tasks *TaskLifecycle, trigger *CycleTrigger) *MachineRegistry {
	return &MachineRegistry{Environment: env, catalog: catalog, cluster: cluster, deletions: deletions, tasks: tasks, trigger: trigger}
}

// ApplyMachineRecord takes in a machine's record unless a newer one is known.
func (g *MachineRegistry) ApplyMachineRecord(r records.MachineRecord, from RecordOrigin, ver uint64) {
	m := g.cluster.Machines[r.Name]
	known, ok := g.cluster.tombstones[r.Name]
	if m != nil {
		known, ok = m.Origin, true
	}
	if ok && !known.supersededBy(from, r.Partition) || r.Partition < 0 || r.Partition >= len(g.cluster.Partitions) {
		return
	}
	if r.Deleted {
		g.cluster.setTombstone(r.Name, from)
		if m != nil {
			g.removeMachine(m)
		}
		return
	}
	g.cluster.clearTombstone(r.Name)
	moved := m != nil && m.Record.Partition != r.Partition
	if m == nil {
		m = g.cluster.addMachine(r)
	}
	floor := max(m.Record.MinToken, r.MinToken)
	if r.MinToken == 0 {
		floor = max(floor, ver)
	}
	had := m.Record.MinToken
	m.Record, m.Origin = r, from
	m.Record.MinToken = floor
	m.MachineType = g.catalog.MachineTypeByName[r.Type]
	switch {
	case moved:
		g.cluster.ResetObservations(m)
	case floor > had && m.TokenConfirmed:
		// Told at once: a worker reports a new token late, and until then
		// nothing that it says counts as a sign of life.
		m.TokenConfirmed, m.NextCommandAt = false, g.Now
	}
	g.trigger.RequestCycleWithin(micros.Second / 5)
}

// removeMachine drops a machine whose record is deleted: all on it is proven gone.
func (g *MachineRegistry) removeMachine(m *Machine) {
	for _, id := range m.TaskIDsCopy() {
		g.cluster.countOnMachine(g.cluster.Jobs[id.Job], id.Index, m, -1)
	}
	g.cluster.forgetMachine(m)
	g.deletions.RecordDeletion(m.Name)
	g.tasks.ReleaseTasksWithoutMachine()
}

// ScaleIn marks a machine for deletion: from then on it is never used again,
// by whoever holds its partition.
func (g *MachineRegistry) ScaleIn(m *Machine, why string) {
	if m.RecordChangePending() || m.Record.Condemned {
		return
	}
	g.LogInfo("machine scaled in", logkey.Machine, m.Name, logkey.Type, m.Record.Type, logkey.Reason, why, logkey.Tasks, len(m.TaskIDs), logkey.AgeS, (g.Now - m.LaunchedAt).WholeSeconds())
	g.cluster.RequestRecordChange(m, condemnRecord)
}

// TransferMachine moves an empty machine to another partition.
func (g *MachineRegistry) TransferMachine(m *Machine, to int) {
	if m.RecordChangePending() || m.Record.Condemned || !g.cluster.IsEmptyAndCommitted(m) || to == m.Record.Partition || to < 0 || to >= len(g.cluster.Partitions) {
		return
	}
	g.LogInfo("machine transferred", logkey.Machine, m.Name, logkey.FromPartition, m.Record.Partition, logkey.ToPartition, to, logkey.HomePartition, m.Record.HomePartition)
	m.transferTo = to
	g.cluster.RequestRecordChange(m, transferRecord)
}
