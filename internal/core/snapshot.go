package core

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// snapshotBuilder shows one partition to the planner.
type snapshotBuilder struct {
	*schedulingCycle
	partition       *partition
	snapshot        *scheduler.Snapshot
	jobs            map[string]*job
	schedulerJobs   map[string]*scheduler.Job
	partitionPrices []float64 // of the machines that each partition has
}

// snapshotFor shows a partition to the planner.
func (y *schedulingCycle) snapshotFor(p *partition) (*scheduler.Snapshot, map[string]*job) {
	v := &snapshotBuilder{schedulingCycle: y, partition: p, jobs: map[string]*job{}, schedulerJobs: map[string]*scheduler.Job{}, partitionPrices: make([]float64, len(y.cluster.partitions)),
		snapshot: &scheduler.Snapshot{Now: y.now, MachineTypes: y.catalog.machineTypes, Quotas: map[string]*scheduler.Quota{}, Operators: &y.settings.Operators, Objectives: map[string][]settings.Objective{}}}
	v.addSettings()
	v.addJobs()
	for _, m := range y.cluster.machines {
		if m.machineType != nil && m.record.Partition >= 0 && m.record.Partition < len(v.partitionPrices) && !m.record.Condemned {
			v.partitionPrices[m.record.Partition] += m.machineType.Price
		}
	}
	for _, m := range y.cluster.machinesByName {
		if m.machineType != nil && !m.record.Condemned && !m.quarantined && m.interruptionAt == 0 {
			v.addMachine(m)
		}
	}
	v.addPendingMachines()
	return v.snapshot, v.jobs
}

// addSettings shows aims, teams and what the cloud refused of late.
func (v *snapshotBuilder) addSettings() {
	for _, o := range v.settings.Deployment.Objectives {
		v.snapshot.Objectives[o.Class] = append(v.snapshot.Objectives[o.Class], o)
	}
	for _, t := range v.settings.Deployment.Teams {
		v.snapshot.Quotas[t.Name] = v.view.schedulerTeam(t.Name)
	}
	v.snapshot.UnavailableKinds = v.provisioning.unavailableKinds()
}

// addJobs shows the partition's jobs that may run.
func (v *snapshotBuilder) addJobs() {
	for _, id := range slices.Sorted(maps.Keys(v.schedulingCycle.cluster.jobs)) {
		j := v.schedulingCycle.cluster.jobs[id]
		if j.partition != v.partition.index || j.terminal || j.mustNotRun() || j.pendingDependencies > 0 {
			continue
		}
		sj := v.view.schedulerJob(j)
		restarting := j.spec.Kind == api.Gang && j.placedTasks > 0 && !j.isReassembling()
		if v.now >= j.notBefore && !restarting {
			sj.PendingTasks = len(j.placeable(v.now, v.tasks.placeableTasks(j)))
		}
		v.jobs[id], v.schedulerJobs[id] = j, sj
		v.snapshot.Jobs = append(v.snapshot.Jobs, sj)
	}
}

// addMachine shows a machine if it is any use to the partition.
func (v *snapshotBuilder) addMachine(m *machine) {
	sm := v.view.schedulerMachine(m)
	if to := v.reservations.reservedForPartition(m); to >= 0 {
		pr := v.reservations.byMachine[m.name]
		if sj := v.schedulerJobs[pr.Job.ID]; sj != nil {
			pr.Job = sj // the view's own
		}
		sm.ClaimedBy, sm.Reservation = "", &pr
		if m.record.Partition != v.partition.index {
			if to == v.partition.index {
				// It is being emptied for us.
				sm.OtherPartition, sm.Free, sm.ReadyAt = true, sm.Total, max(v.now, pr.ReadyAt)
				v.snapshot.Machines = append(v.snapshot.Machines, sm)
			}
			return
		}
	}
	if m.claimedBy != "" && v.now > m.claimExpiresAt {
		m.claimedBy, sm.ClaimedBy = "", ""
	}
	useful := false
	if m.record.Partition != v.partition.index {
		useful = v.fillOtherPartitions(m, sm)
	} else {
		useful = v.fillOwn(m, sm)
	}
	if useful {
		v.snapshot.Machines = append(v.snapshot.Machines, sm)
	}
}

// fillOtherPartitions shows another partition's machine; it tells whether that is any use.
func (v *snapshotBuilder) fillOtherPartitions(m *machine, sm *scheduler.Machine) bool {
	switch {
	case v.lending.isBorrowable(m.name):
		sm.Borrowable, sm.ReadyAt = true, v.now+2*micros.Second
	case m.record.HomePartition == v.partition.index && m.claimedBy == "":
		// Lent out: ours again once its tasks have ended.
		v.view.addAllocations(sm, m, v.schedulerJobs)
		sm.ReadyAt = v.now + 2*micros.Second
		for _, u := range sm.Allocations {
			sm.ReadyAt = max(sm.ReadyAt, u.ExpectedEnd)
		}
		sm.OtherPartition, sm.LentOut, sm.BorrowerOverShare = true, true, 2*v.partitionPrices[v.partition.index] < v.partitionPrices[m.record.Partition]
	case len(m.taskIDs) > 0:
		sm.OtherPartition, sm.ReadyAt = true, v.now+5*micros.Second
		if m.claimedBy != "" {
			sm.Free = sm.Total // it is being emptied for us
		}
		v.view.addAllocations(sm, m, v.schedulerJobs)
	default:
		return false
	}
	return true
}

// fillOwn shows a machine of the partition; it tells whether it has room, or will have.
func (v *snapshotBuilder) fillOwn(m *machine, sm *scheduler.Machine) bool {
	if m.recordChangePending() || m.moveToPartition >= 0 {
		return false
	}
	for _, i := range m.cachedImages {
		sm.CachedImages = append(sm.CachedImages, i.name)
	}
	heard := m.ignoringSince == 0 && v.now < m.lastSeenAt+v.settings.contactTimeout() && !v.cluster.heartbeatsMissing(m)
	sm.Schedulable = m.tokenConfirmed && heard
	switch {
	case sm.Schedulable:
	case m.firstHeartbeatAt == 0 && !v.boots.bootOverdue(m):
		sm.ReadyAt = max(v.now+2*micros.Second, m.launchedAt+micros.FromSeconds(m.machineType.BootS))
	case m.firstHeartbeatAt > 0 && heard:
		sm.ReadyAt = v.now + 3*micros.Second
	default:
		return false
	}
	v.view.addAllocations(sm, m, v.schedulerJobs)
	return true
}

// addPendingMachines shows the machines that were asked for and are not recorded yet.
func (v *snapshotBuilder) addPendingMachines() {
	pending := v.provisioning.pendingMachines(v.partition)
	kinds := make([]scheduler.InstanceKind, 0, len(pending))
	for k := range pending {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b scheduler.InstanceKind) int { return cmp.Compare(a.String(), b.String()) })
	for _, k := range kinds {
		t := v.catalog.machineTypeByName[k.Type]
		if t == nil {
			continue
		}
		total := scheduler.ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB)
		for range pending[k] {
			v.snapshot.Machines = append(v.snapshot.Machines, &scheduler.Machine{Type: t, Zone: k.Zone, Spot: k.Spot, Total: total, Free: total, ReadyAt: v.now + micros.FromSeconds(t.BootS)})
		}
	}
}
