package planning

import (
	"cmp"
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

const (
	// transferTime is about how long it takes until a machine of another partition can be
	// given tasks: it is requested, its record changes, and it sends a heartbeat.
	transferTime = 2 * micros.Second
	// busyTransferTime is the same for one that has tasks, which are stopped first.
	busyTransferTime = 5 * micros.Second
	// minBootRemainder is the least time that a machine which has not come up is expected
	// to take yet.
	minBootRemainder = 2 * micros.Second
	// confirmationTime is about how long it takes until a machine that is up has sent a
	// heartbeat with our fencing token.
	confirmationTime = 3 * micros.Second
	// largeBorrowerFactor: a partition with more than so many times our machines, by
	// price, uses far more than we do, so that machines lent to it are reclaimed.
	largeBorrowerFactor = 2
)

// snapshotBuilder shows the cluster to the scheduler as one partition sees it.
type snapshotBuilder struct {
	*SchedulingCycle
	partition       *cluster.Partition
	snapshot        *scheduler.Snapshot
	jobs            map[string]*cluster.Job   // those shown, by ID
	schedulerJobs   map[string]*scheduler.Job // the same as the scheduler sees them
	partitionPrices []float64                 // of the machines that each partition has
}

// snapshotFor shows the cluster as a partition sees it, and gives the partition's jobs that
// are shown, by ID.
func (c *SchedulingCycle) snapshotFor(partition *cluster.Partition) (*scheduler.Snapshot, map[string]*cluster.Job) {
	builder := &snapshotBuilder{
		SchedulingCycle: c,
		partition:       partition,
		jobs:            map[string]*cluster.Job{},
		schedulerJobs:   map[string]*scheduler.Job{},
		snapshot: &scheduler.Snapshot{
			Now:          c.Now,
			MachineTypes: c.catalog.MachineTypes,
			Quotas:       map[string]*scheduler.Quota{},
			Operators:    &c.Settings.Operators,
			Objectives:   map[string][]settings.Objective{},
		},
	}
	builder.addSettings()
	builder.addJobs()
	builder.sumPrices()
	for _, machine := range c.cluster.MachinesByName {
		if machine.MachineType != nil && staysInService(machine) {
			builder.addMachine(machine)
		}
	}
	builder.addPendingMachines()
	return builder.snapshot, builder.jobs
}

// addSettings shows objectives, teams and what the cloud refused of late.
func (b *snapshotBuilder) addSettings() {
	for _, objective := range b.Settings.Deployment.Objectives {
		b.snapshot.Objectives[objective.Class] = append(b.snapshot.Objectives[objective.Class], objective)
	}
	for _, team := range b.Settings.Deployment.Teams {
		b.snapshot.Quotas[team.Name] = b.view.schedulerTeam(team.Name)
	}
	b.snapshot.UnavailableKinds = b.provisioning.UnavailableKinds()
}

// addJobs shows the partition's jobs that may run.
func (b *snapshotBuilder) addJobs() {
	for _, id := range slices.Sorted(maps.Keys(b.cluster.Jobs)) {
		job := b.cluster.Jobs[id]
		if job.Partition != b.partition.Index || !mayRun(job) {
			continue
		}
		shown := b.view.schedulerJob(job)
		if b.Now >= job.NotBefore && !isRestarting(job) {
			shown.PendingTasks = len(job.Placeable(b.Now, b.tasks.PlaceableTasks(job)))
		}
		b.jobs[id] = job
		b.schedulerJobs[id] = shown
		b.snapshot.Jobs = append(b.snapshot.Jobs, shown)
	}
}

// isRestarting tells whether a gang has tasks left from an attempt that failed: it starts
// anew only when all of them are gone.
func isRestarting(job *cluster.Job) bool {
	return job.Spec.Kind == api.Gang && job.PlacedTasks > 0 && !job.IsReassembling()
}

// sumPrices adds up the prices of the machines that each partition has.
func (b *snapshotBuilder) sumPrices() {
	b.partitionPrices = make([]float64, len(b.cluster.Partitions))
	for _, machine := range b.cluster.MachinesByName {
		index := machine.Record.Partition
		known := machine.MachineType != nil && index >= 0 && index < len(b.partitionPrices)
		if known && !machine.Record.Condemned {
			b.partitionPrices[index] += machine.MachineType.Price
		}
	}
}

// addMachine shows a machine if it is of any use to the partition.
func (b *snapshotBuilder) addMachine(machine *cluster.Machine) {
	shown := b.view.schedulerMachine(machine)
	own := machine.Record.Partition == b.partition.Index
	reservedFor := b.reservations.reservedForPartition(machine)
	if reservedFor != noPartition {
		b.showReservation(machine, shown)
		if !own {
			b.addReservedElsewhere(machine, shown, reservedFor)
			return
		}
	}
	if machine.ClaimedBy != "" && b.Now > machine.ClaimExpiresAt {
		machine.ClaimedBy, shown.ClaimedBy = "", ""
	}
	var useful bool
	if own {
		useful = b.showOwn(machine, shown)
	} else {
		useful = b.showOtherPartitions(machine, shown)
	}
	if useful {
		b.snapshot.Machines = append(b.snapshot.Machines, shown)
	}
}

// showReservation shows for which gang a machine is reserved; a reservation precedes all
// claims.
func (b *snapshotBuilder) showReservation(machine *cluster.Machine, shown *scheduler.Machine) {
	reservation := b.reservations.byMachine[machine.Name]
	if job := b.schedulerJobs[reservation.Job.ID]; job != nil {
		reservation.Job = job // the scheduler compares jobs of one snapshot
	}
	shown.ClaimedBy = ""
	shown.Reservation = &reservation
}

// addReservedElsewhere shows another partition's machine that is reserved if it is for a
// gang of this partition: it is being emptied for it.
func (b *snapshotBuilder) addReservedElsewhere(machine *cluster.Machine, shown *scheduler.Machine, reservedFor int) {
	if reservedFor != b.partition.Index {
		return
	}
	shown.HeldByOtherPartition = true
	shown.Free = shown.Total
	shown.ReadyAt = max(b.Now, b.reservations.byMachine[machine.Name].ReadyAt)
	b.snapshot.Machines = append(b.snapshot.Machines, shown)
}

// showOtherPartitions shows a machine of another partition that is not reserved: an idle
// one that may be borrowed, one that is lent out and comes back, or one that may be
// requested for preemption. It tells whether the machine is any of these.
func (b *snapshotBuilder) showOtherPartitions(machine *cluster.Machine, shown *scheduler.Machine) bool {
	switch {
	case b.lending.isBorrowable(machine):
		shown.Borrowable = true
		shown.ReadyAt = b.Now + transferTime
	case machine.Record.HomePartition == b.partition.Index && machine.ClaimedBy == "":
		b.showLentOut(machine, shown)
	case len(machine.TaskIDs) > 0:
		b.showBusyElsewhere(machine, shown)
	default:
		return false
	}
	return true
}

// showLentOut shows a machine of the partition by home that another one uses: it can be
// had once its tasks have ended.
func (b *snapshotBuilder) showLentOut(machine *cluster.Machine, shown *scheduler.Machine) {
	b.view.addAllocations(shown, machine, b.schedulerJobs)
	shown.HeldByOtherPartition = true
	shown.LentOut = true
	shown.ReadyAt = b.Now + transferTime
	for _, allocation := range shown.Allocations {
		shown.ReadyAt = max(shown.ReadyAt, allocation.ExpectedEnd)
	}
	ours := b.partitionPrices[b.partition.Index]
	borrowers := b.partitionPrices[machine.Record.Partition]
	shown.BorrowerOverShare = largeBorrowerFactor*ours < borrowers
}

// showBusyElsewhere shows a machine with tasks of another partition. A claimed one is being
// emptied for a job of ours.
func (b *snapshotBuilder) showBusyElsewhere(machine *cluster.Machine, shown *scheduler.Machine) {
	shown.HeldByOtherPartition = true
	shown.ReadyAt = b.Now + busyTransferTime
	if machine.ClaimedBy != "" {
		shown.Free = shown.Total
	}
	b.view.addAllocations(shown, machine, b.schedulerJobs)
}

// showOwn shows a machine of the partition; it tells whether the machine may be given
// tasks, now or soon.
func (b *snapshotBuilder) showOwn(machine *cluster.Machine, shown *scheduler.Machine) bool {
	if machine.RecordChangePending() || machine.MoveToPartition != noPartition {
		return false
	}
	responds := b.lending.responds(machine) && !b.cluster.HeartbeatsMissing(machine)
	wasUp := machine.FirstHeartbeatAt > 0
	switch {
	case machine.TokenConfirmed && responds:
		shown.Schedulable = true
	case wasUp && responds:
		shown.ReadyAt = b.Now + confirmationTime
	case !wasUp && !b.boots.BootOverdue(machine):
		shown.ReadyAt = max(b.Now+minBootRemainder, machine.LaunchedAt+bootTime(machine))
	default:
		return false
	}
	for _, image := range machine.CachedImages {
		shown.CachedImages = append(shown.CachedImages, image.Name)
	}
	b.view.addAllocations(shown, machine, b.schedulerJobs)
	return true
}

// addPendingMachines shows the machines that were requested and are not recorded yet.
func (b *snapshotBuilder) addPendingMachines() {
	pending := b.provisioning.PendingMachines(b.partition)
	kinds := slices.SortedFunc(maps.Keys(pending), func(left, right scheduler.InstanceKind) int {
		return cmp.Compare(left.String(), right.String())
	})
	for _, kind := range kinds {
		machineType := b.catalog.TypeNamed(kind.Type)
		if machineType == nil {
			continue
		}
		for range pending[kind] {
			b.snapshot.Machines = append(b.snapshot.Machines, b.pendingMachine(kind, machineType))
		}
	}
}

// pendingMachine shows a machine that has no name yet.
func (b *snapshotBuilder) pendingMachine(kind scheduler.InstanceKind, machineType *api.MachineType) *scheduler.Machine {
	total := totalResources(machineType)
	return &scheduler.Machine{
		Type:    machineType,
		Zone:    kind.Zone,
		Spot:    kind.Spot,
		Total:   total,
		Free:    total,
		ReadyAt: b.Now + micros.FromSeconds(machineType.BootS),
	}
}
