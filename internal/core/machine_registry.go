package core

import "spurmoor/internal/micros"

// machineRegistry takes in machines' records and asks for changes of them.
type machineRegistry struct {
	*environment
	catalog   *machineCatalog
	cluster   *clusterState
	deletions *deletionLog
	tasks     *taskLifecycle
	trigger   *cycleTrigger
}

func newMachineRegistry(env *environment, catalog *machineCatalog, cluster *clusterState, deletions *deletionLog, tasks *taskLifecycle, trigger *cycleTrigger) *machineRegistry {
	return &machineRegistry{environment: env, catalog: catalog, cluster: cluster, deletions: deletions, tasks: tasks, trigger: trigger}
}

// applyMachineRecord takes in a machine's record unless a newer one is known.
func (g *machineRegistry) applyMachineRecord(r machineRecord, from recordOrigin, ver uint64) {
	m := g.cluster.machines[r.Name]
	known, ok := g.cluster.tombstones[r.Name]
	if m != nil {
		known, ok = m.origin, true
	}
	if ok && !known.olderThan(from, r.Partition) || r.Partition < 0 || r.Partition >= len(g.cluster.partitions) {
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
	moved := m != nil && m.record.Partition != r.Partition
	if m == nil {
		m = g.cluster.addMachine(r)
	}
	floor := max(m.record.MinToken, r.MinToken)
	if r.MinToken == 0 {
		floor = max(floor, ver)
	}
	had := m.record.MinToken
	m.record, m.origin = r, from
	m.record.MinToken = floor
	m.machineType = g.catalog.machineTypeByName[r.Type]
	switch {
	case moved:
		g.cluster.resetObservations(m)
	case floor > had && m.tokenConfirmed:
		// Told at once: a worker reports a new token late, and until then
		// nothing that it says counts as a sign of life.
		m.tokenConfirmed, m.nextCommandAt = false, g.now
	}
	g.trigger.requestPlanWithin(micros.Second / 5)
}

// removeMachine drops a machine whose record is deleted: all on it is proven gone.
func (g *machineRegistry) removeMachine(m *machine) {
	for _, id := range m.taskIDsCopy() {
		g.cluster.countOnMachine(g.cluster.jobs[id.job], id.index, m, -1)
	}
	g.cluster.forgetMachine(m)
	g.deletions.recordDeletion(m.name)
	g.tasks.releaseTasksWithoutMachine()
}

// scaleIn marks a machine for deletion: from then on it is never used again,
// by whoever holds its partition.
func (g *machineRegistry) scaleIn(m *machine, why string) {
	if m.recordChangePending() || m.record.Condemned {
		return
	}
	g.logInfo("machine returned", "machine", m.name, "type", m.record.Type, "why", why, "tasks", len(m.taskIDs), "age_s", (g.now - m.launchedAt).WholeSeconds())
	g.cluster.requestRecordChange(m, condemnRecord)
}

// transferMachine moves an empty machine to another partition.
func (g *machineRegistry) transferMachine(m *machine, to int) {
	if m.recordChangePending() || m.record.Condemned || !g.cluster.isEmptyAndCommitted(m) || to == m.record.Partition || to < 0 || to >= len(g.cluster.partitions) {
		return
	}
	g.logInfo("machine lent", "machine", m.name, "from", m.record.Partition, "to", to, "home", m.record.HomePartition)
	m.transferTo = to
	g.cluster.requestRecordChange(m, transferRecord)
}
