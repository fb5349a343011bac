package core

import (
	"cmp"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// snapshotBuilder shows one partition to the planner.
type snapshotBuilder struct {
	*Controller
	partition       *partition
	snapshot        *scheduler.Snapshot
	jobs            map[string]*job
	schedulerJobs   map[string]*scheduler.Job
	partitionPrices []float64 // of the machines that each partition has
}

// snapshotFor shows a partition to the planner.
func (c *Controller) snapshotFor(p *partition) (*scheduler.Snapshot, map[string]*job) {
	v := &snapshotBuilder{Controller: c, partition: p, jobs: map[string]*job{}, schedulerJobs: map[string]*scheduler.Job{}, partitionPrices: make([]float64, len(c.partitions)),
		snapshot: &scheduler.Snapshot{Now: c.now, MachineTypes: c.machineTypes, Quotas: map[string]*scheduler.Quota{}, Operators: &c.settings.Operators, Objectives: map[string][]settings.Objective{}}}
	v.addSettings()
	v.addJobs()
	for _, m := range c.machines {
		if m.machineType != nil && m.record.Partition >= 0 && m.record.Partition < len(v.partitionPrices) && !m.record.Condemned {
			v.partitionPrices[m.record.Partition] += m.machineType.Price
		}
	}
	for _, m := range c.machinesByName {
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
		v.snapshot.Quotas[t.Name] = v.schedulerTeam(t.Name)
	}
	v.snapshot.UnavailableKinds = v.unavailableKinds()
}

// addJobs shows the partition's jobs that may run.
func (v *snapshotBuilder) addJobs() {
	for _, id := range sortedKeys(v.Controller.jobs) {
		j := v.Controller.jobs[id]
		if j.partition != v.partition.index || j.terminal || j.mustNotRun() || j.pendingDependencies > 0 {
			continue
		}
		sj := v.schedulerJob(j)
		restarting := j.spec.Kind == api.Gang && j.placedTasks > 0 && !j.isReassembling()
		if v.now >= j.notBefore && !restarting {
			sj.PendingTasks = len(j.placeable(v.now, v.placeableTasks(j)))
		}
		v.jobs[id], v.schedulerJobs[id] = j, sj
		v.snapshot.Jobs = append(v.snapshot.Jobs, sj)
	}
}

// addMachine shows a machine if it is any use to the partition.
func (v *snapshotBuilder) addMachine(m *machine) {
	sm := v.schedulerMachine(m)
	if to := v.reservedForPartition(m); to >= 0 {
		pr := v.reservations[m.name]
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
	case v.isBorrowable(m.name):
		sm.Borrowable, sm.ReadyAt = true, v.now+2*micros.Second
	case m.record.HomePartition == v.partition.index && m.claimedBy == "":
		// Lent out: ours again once its tasks have ended.
		v.addAllocations(sm, m, v.schedulerJobs)
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
		v.addAllocations(sm, m, v.schedulerJobs)
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
	heard := m.ignoringSince == 0 && v.now < m.lastSeenAt+v.contactTimeout() && !v.heartbeatsMissing(m)
	sm.Schedulable = m.tokenConfirmed && heard
	switch {
	case sm.Schedulable:
	case m.firstHeartbeatAt == 0 && !v.bootOverdue(m):
		sm.ReadyAt = max(v.now+2*micros.Second, m.launchedAt+micros.FromSeconds(m.machineType.BootS))
	case m.firstHeartbeatAt > 0 && heard:
		sm.ReadyAt = v.now + 3*micros.Second
	default:
		return false
	}
	v.addAllocations(sm, m, v.schedulerJobs)
	return true
}

// addPendingMachines shows the machines that were asked for and are not recorded yet.
func (v *snapshotBuilder) addPendingMachines() {
	kinds := make([]scheduler.InstanceKind, 0, len(v.partition.pendingMachines))
	for k := range v.partition.pendingMachines {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b scheduler.InstanceKind) int { return cmp.Compare(kindName(a).String(), kindName(b).String()) })
	for _, k := range kinds {
		t := v.machineTypeByName[k.Type]
		if t == nil {
			continue
		}
		total := scheduler.ResourcesOf(t.CPUs, t.GPUs, t.MemoryGB)
		for range v.partition.pendingMachines[k] {
			v.snapshot.Machines = append(v.snapshot.Machines, &scheduler.Machine{Type: t, Zone: k.Zone, Spot: k.Spot, Total: total, Free: total, ReadyAt: v.now + micros.FromSeconds(t.BootS)})
		}
	}
}

// schedulerJob shows a job to the planner.
func (c *Controller) schedulerJob(j *job) *scheduler.Job {
	sj := &scheduler.Job{ID: j.id, Spec: &j.spec, Request: j.request, Tier: c.effectiveTier(j), EligibleAt: j.eligibleAt(), Deadline: c.urgencies[j.id].deadline, TasksPerZone: map[string]int{}, FailedMachines: j.failedMachines,
		Deprioritized: c.deprioritized(j), Started: j.hasStarted()}
	for z, n := range j.tasksPerZone {
		sj.TasksPerZone[z] = n
	}
	return sj
}

// schedulerMachine shows a machine to the planner, without what runs on it.
func (c *Controller) schedulerMachine(m *machine) *scheduler.Machine {
	total := scheduler.ResourcesOf(m.machineType.CPUs, m.machineType.GPUs, m.machineType.MemoryGB)
	return &scheduler.Machine{Name: m.name, Type: m.machineType, Zone: m.record.Zone, Spot: m.record.Spot, Total: total, Free: total.Add(m.allocated, -1), ClaimedBy: m.claimedBy}
}

// contactTimeout is how long ago a machine may have been heard to be given work.
func (c *Controller) contactTimeout() micros.Micros {
	return max(8*micros.Second, micros.FromSeconds(1.6*c.settings.Deployment.Workers.ReportS))
}

// expectedTaskEnd is when a task on a machine is expected to end.
func (c *Controller) expectedTaskEnd(j *job, t *task, m *machine) micros.Micros {
	est := micros.FromSeconds(j.spec.EstimateS)
	end := t.placedAt + est + micros.FromSeconds(j.spec.ImageGB/max(0.01, m.machineType.FetchGBs))
	if t.runningSince > 0 {
		end = t.runningSince + est
	}
	if t.stopRequestedAt > 0 {
		end = min(end, t.stopRequestedAt+micros.FromSeconds(t.graceS+1))
	}
	// Overdue: the estimate was wrong; the longer it lasts the longer it may.
	return max(end, c.now+micros.Second+(c.now-t.placedAt)/5)
}

// startedRecently tells whether stopping a task would undo its start: users count only
// starts that last for half a minute.
func (c *Controller) startedRecently(t *task) bool { return c.now < t.placedAt+30*micros.Second }

func (c *Controller) lostWork(j *job, t *task) micros.Micros {
	if j.spec.CheckpointIntervalS > 0 {
		return micros.FromSeconds(j.spec.CheckpointSaveS) + micros.FromSeconds(5)
	}
	if t.runningSince == 0 {
		return (c.now - t.placedAt) / 2
	}
	return c.now - t.runningSince
}

// addAllocations shows the planner what runs on a machine.
func (c *Controller) addAllocations(sm *scheduler.Machine, m *machine, shown map[string]*scheduler.Job) {
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		t := j.task(id.index)
		sj := shown[id.job]
		if sj == nil && !j.cancelled {
			sj = &scheduler.Job{ID: id.job, Spec: &j.spec, Request: j.request, Tier: c.effectiveTier(j)}
		}
		u := scheduler.Allocation{Job: sj, TaskIndex: id.index, Request: j.request, ExpectedEnd: c.now + 3*micros.Second}
		if sj != nil {
			u.ExpectedEnd, u.LostWork, u.Stopping, u.StartedRecently = c.expectedTaskEnd(j, t, m), c.lostWork(j, t), t.stopRequestedAt > 0, c.startedRecently(t)
		}
		sm.Allocations = append(sm.Allocations, u)
	}
}

// placeable lists tasks that may be placed now.
func (j *job) placeable(now micros.Micros, most int) []int {
	var list []int
	for k := 0; k*chunkSize < j.spec.Tasks; k++ {
		ch := j.chunks[k]
		for n := k * chunkSize; n < min(j.spec.Tasks, (k+1)*chunkSize); n++ {
			if len(list) >= most && j.spec.Kind != api.Gang {
				return list
			}
			if ch == nil {
				list = append(list, n)
			} else if t := &ch[n%chunkSize]; t.state == taskPending && now >= t.notBefore {
				list = append(list, n)
			}
		}
	}
	// A gang starts whole; but once one of its tasks is done all are, and what
	// a lost machine could not report any more is only asked for again.
	if j.spec.Kind == api.Gang && len(list)+j.doneTasks < j.spec.Tasks && !j.isReassembling() {
		return nil
	}
	return list
}

// schedulerTeam shows a team to the planner.
func (c *Controller) schedulerTeam(name string) *scheduler.Quota {
	for _, t := range c.settings.Deployment.Teams {
		if t.Name == name {
			return &scheduler.Quota{Used: *c.teamUsage[name], Guaranteed: scheduler.ResourcesOf(t.GuaranteedCPUs, t.GuaranteedGPUs, 0), Limit: scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)}
		}
	}
	return &scheduler.Quota{}
}
