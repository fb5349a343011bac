package planning

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/cluster"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// snapshotBuilder shows one partition to the planner.
type snapshotBuilder struct {
	*SchedulingCycle
	partition       *cluster.Partition
	snapshot        *scheduler.Snapshot
	jobs            map[string]*cluster.Job
	schedulerJobs   map[string]*scheduler.Job
	partitionPrices []float64 // of the machines that each partition has
}

// snapshotFor shows a partition to the planner.
func (y *SchedulingCycle) snapshotFor(p *cluster.Partition) (*scheduler.Snapshot, map[string]*cluster.Job) {
	v := &snapshotBuilder{SchedulingCycle: y, partition: p, jobs: map[string]*cluster.Job{}, schedulerJobs: map[string]*scheduler.Job{}, partitionPrices: make([]float64, len(y.cluster.Partitions)),
		snapshot: &scheduler.Snapshot{Now: y.Now, MachineTypes: y.catalog.MachineTypes, Quotas: map[string]*scheduler.Quota{}, Operators: &y.Settings.Operators, Objectives: map[string][]settings.Objective{}}}
	v.addSettings()
	v.addJobs()
	for _, m := range y.cluster.Machines {
		if m.MachineType != nil && m.Record.Partition >= 0 && m.Record.Partition < len(v.partitionPrices) && !m.Record.Condemned {
			v.partitionPrices[m.Record.Partition] += m.MachineType.Price
		}
	}
	for _, m := range y.cluster.MachinesByName {
		if m.MachineType != nil && !m.Record.Condemned && !m.Quarantined && m.InterruptionAt == 0 {
			v.addMachine(m)
		}
	}
	v.addPendingMachines()
	return v.snapshot, v.jobs
}

// addSettings shows aims, teams and what the cloud refused of late.
func (v *snapshotBuilder) addSettings() {
	for _, o := range v.Settings.Deployment.Objectives {
		v.snapshot.Objectives[o.Class] = append(v.snapshot.Objectives[o.Class], o)
	}
	for _, t := range v.Settings.Deployment.Teams {
		v.snapshot.Quotas[t.Name] = v.view.schedulerTeam(t.Name)
	}
	v.snapshot.UnavailableKinds = v.provisioning.UnavailableKinds()
}

// addJobs shows the partition's jobs that may run.
func (v *snapshotBuilder) addJobs() {
	for _, id := range slices.Sorted(maps.Keys(v.cluster.Jobs)) {
		j := v.cluster.Jobs[id]
		if j.Partition != v.partition.Index || j.Terminal || j.MustNotRun() || j.PendingDependencies > 0 {
			continue
		}
		sj := v.view.schedulerJob(j)
		restarting := j.Spec.Kind == api.Gang && j.PlacedTasks > 0 && !j.IsReassembling()
		if v.Now >= j.NotBefore && !restarting {
			sj.PendingTasks = len(j.Placeable(v.Now, v.tasks.PlaceableTasks(j)))
		}
		v.jobs[id], v.schedulerJobs[id] = j, sj
		v.snapshot.Jobs = append(v.snapshot.Jobs, sj)
	}
}

// addMachine shows a machine if it is any use to the partition.
func (v *snapshotBuilder) addMachine(m *cluster.Machine) {
	sm := v.view.schedulerMachine(m)
	if to := v.reservations.reservedForPartition(m); to >= 0 {
		pr := v.reservations.byMachine[m.Name]
		if sj := v.schedulerJobs[pr.Job.ID]; sj != nil {
			pr.Job = sj // the view's own
		}
		sm.ClaimedBy, sm.Reservation = "", &pr
		if m.Record.Partition != v.partition.Index {
			if to == v.partition.Index {
				// It is being emptied for us.
				sm.HeldByOtherPartition, sm.Free, sm.ReadyAt = true, sm.Total, max(v.Now, pr.ReadyAt)
				v.snapshot.Machines = append(v.snapshot.Machines, sm)
			}
			return
		}
	}
	if m.ClaimedBy != "" && v.Now > m.ClaimExpiresAt {
		m.ClaimedBy, sm.ClaimedBy = "", ""
	}
	useful := false
	if m.Record.Partition != v.partition.Index {
		useful = v.fillOtherPartitions(m, sm)
	} else {
		useful = v.fillOwn(m, sm)
	}
	if useful {
		v.snapshot.Machines = append(v.snapshot.Machines, sm)
	}
}

// fillOtherPartitions shows another partition's machine; it tells whether that is any use.
func (v *snapshotBuilder) fillOtherPartitions(m *cluster.Machine, sm *scheduler.Machine) bool {
	switch {
	case v.lending.isBorrowable(m.Name):
		sm.Borrowable, sm.ReadyAt = true, v.Now+2*micros.Second
	case m.Record.HomePartition == v.partition.Index && m.ClaimedBy == "":
		// Lent out: ours again once its tasks have ended.
		v.view.addAllocations(sm, m, v.schedulerJobs)
		sm.ReadyAt = v.Now + 2*micros.Second
		for _, u := range sm.Allocations {
			sm.ReadyAt = max(sm.ReadyAt, u.ExpectedEnd)
		}
		sm.HeldByOtherPartition, sm.LentOut, sm.BorrowerOverShare = true, true, 2*v.partitionPrices[v.partition.Index] < v.partitionPrices[m.Record.Partition]
	case len(m.TaskIDs) > 0:
		sm.HeldByOtherPartition, sm.ReadyAt = true, v.Now+5*micros.Second
		if m.ClaimedBy != "" {
			sm.Free = sm.Total // it is being emptied for us
		}
		v.view.addAllocations(sm, m, v.schedulerJobs)
	default:
		return false
	}
	return true
}

// fillOwn shows a machine of the partition; it tells whether it has room, or will have.
func (v *snapshotBuilder) fillOwn(m *cluster.Machine, sm *scheduler.Machine) bool {
	if m.RecordChangePending() || m.MoveToPartition >= 0 {
		return false
	}
	for _, i := range m.CachedImages {
		sm.CachedImages = append(sm.CachedImages, i.Name)
	}
	heard := m.IgnoringSince == 0 && v.Now < m.LastSeenAt+v.Settings.ContactTimeout() && !v.cluster.HeartbeatsMissing(m)
	sm.Schedulable = m.TokenConfirmed && heard
	switch {
	case sm.Schedulable:
	case m.FirstHeartbeatAt == 0 && !v.boots.BootOverdue(m):
		sm.ReadyAt = max(v.Now+2*micros.Second, m.LaunchedAt+micros.FromSeconds(m.MachineType.BootS))
	case m.FirstHeartbeatAt > 0 && heard:
		sm.ReadyAt = v.Now + 3*micros.Second
	default:
		return false
	}
	v.view.addAllocations(sm, m, v.schedulerJobs)
	return true
}

// addPendingMachines shows the machines that were asked for and are not recorded yet.
func (v *snapshotBuilder) addPendingMachines() {
	pending := v.provisioning.PendingMachines(v.partition)
	kinds := make([]scheduler.InstanceKind, 0, len(pending))
	for k := range pending {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b scheduler.InstanceKind) int { return cmp.Compare(a.String(), b.String()) })
	for _, k := range kinds {
		t := v.catalog.MachineTypeByName[k.Type]
		if t == nil {
			continue
		}
		total := scheduler.ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB)
		for range pending[k] {
			v.snapshot.Machines = append(v.snapshot.Machines, &scheduler.Machine{Type: t, Zone: k.Zone, Spot: k.Spot, Total: total, Free: total, ReadyAt: v.Now + micros.FromSeconds(t.BootS)})
		}
	}
}
