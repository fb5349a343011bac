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
	// transferTime is about how long it takes until a machine of another partition
	// accepts tasks: it is requested, its record changes, and it sends a heartbeat.
	transferTime = 2 * micros.Second
	// busyTransferTime is the same for a machine with tasks, which are stopped first.
	busyTransferTime = 5 * micros.Second
	// minRemainingBootTime is the shortest remaining boot time assumed for a machine that
	// has not come up.
	minRemainingBootTime = 2 * micros.Second
	// tokenConfirmationTime is about how long it takes until a machine that is up has
	// sent a heartbeat with this controller's fencing token.
	tokenConfirmationTime = 3 * micros.Second
	// A borrower counts as large if its machines cost more than largeBorrowerFactor times
	// as much as those of the lending partition. Machines lent to it are reclaimed.
	largeBorrowerFactor = 2
)

// snapshotBuilder builds the scheduler's snapshot of the cluster for one partition.
type snapshotBuilder struct {
	*SchedulingCycle
	partition        *cluster.Partition
	snapshot         *scheduler.Snapshot
	jobs             map[string]*cluster.Job   // those in the snapshot, by ID
	schedulerJobs    map[string]*scheduler.Job // the same, converted for the scheduler
	priceByPartition []float64                 // total price of the machines of each partition
}

// buildSnapshot returns the scheduler's snapshot of the cluster for a partition, and the
// partition's jobs in that snapshot by ID.
func (c *SchedulingCycle) buildSnapshot(partition *cluster.Partition) (*scheduler.Snapshot, map[string]*cluster.Job) {
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

// addSettings adds the objectives, the quotas of the teams, and the machine kinds that
// the cloud refused recently.
func (b *snapshotBuilder) addSettings() {
	for _, objective := range b.Settings.Deployment.Objectives {
		b.snapshot.Objectives[objective.Class] = append(b.snapshot.Objectives[objective.Class], objective)
	}
	for _, team := range b.Settings.Deployment.Teams {
		b.snapshot.Quotas[team.Name] = b.view.teamQuota(team.Name)
	}
	b.snapshot.UnavailableKinds = b.provisioner.UnavailableKinds()
}

// addJobs adds the partition's jobs that may run. A job in back-off and a gang that is
// restarting have no pending tasks.
func (b *snapshotBuilder) addJobs() {
	for _, id := range slices.Sorted(maps.Keys(b.cluster.Jobs)) {
		job := b.cluster.Jobs[id]
		if job.Partition != b.partition.Index || !mayRun(job) {
			continue
		}
		schedulerJob := b.view.schedulerJob(job)
		if b.Now >= job.NotBefore && !isRestarting(job) {
			schedulerJob.PendingTasks = job.PlaceableTaskCount(b.Now, b.tasks.PlaceableLimit(job))
		}
		b.jobs[id] = job
		b.schedulerJobs[id] = schedulerJob
		b.snapshot.Jobs = append(b.snapshot.Jobs, schedulerJob)
	}
}

// isRestarting reports whether a gang still has tasks of a failed attempt. It starts
// again only when all of them are gone.
func isRestarting(job *cluster.Job) bool {
	return job.Spec.Kind == api.KindGang && job.PlacedTasks > 0 && !job.IsReassembling()
}

// sumPrices adds up the machine prices of each partition. Machines that are marked for
// deletion or have an unknown type do not count.
func (b *snapshotBuilder) sumPrices() {
	b.priceByPartition = make([]float64, len(b.cluster.Partitions))
	for _, machine := range b.cluster.MachinesByName {
		index := machine.Record.Partition
		known := machine.MachineType != nil && index >= 0 && index < len(b.priceByPartition)
		if known && !machine.Record.MarkedForDeletion {
			b.priceByPartition[index] += machine.MachineType.Price
		}
	}
}

// addMachine adds a machine if the partition can use it.
func (b *snapshotBuilder) addMachine(machine *cluster.Machine) {
	schedulerMachine := b.view.schedulerMachine(machine)
	own := machine.Record.Partition == b.partition.Index
	reservedFor := b.reservations.reservedForPartition(machine)
	if reservedFor != noPartition {
		b.setReservation(machine, schedulerMachine)
		if !own {
			b.addReservedFromOtherPartition(machine, schedulerMachine, reservedFor)
			return
		}
	}
	if machine.ClaimedBy != "" && b.Now > machine.ClaimExpiresAt {
		machine.ClaimedBy, schedulerMachine.ClaimedBy = "", ""
	}
	var usable bool
	if own {
		usable = b.fillOwnMachine(machine, schedulerMachine)
	} else {
		usable = b.fillOtherPartitionMachine(machine, schedulerMachine)
	}
	if usable {
		b.snapshot.Machines = append(b.snapshot.Machines, schedulerMachine)
	}
}

// setReservation sets the gang that a machine is reserved for. A reservation takes
// precedence over any claim.
func (b *snapshotBuilder) setReservation(machine *cluster.Machine, schedulerMachine *scheduler.Machine) {
	reservation := b.reservations.byMachine[machine.Name]
	if job := b.schedulerJobs[reservation.Job.ID]; job != nil {
		reservation.Job = job // the scheduler compares the pointers of a snapshot's jobs
	}
	schedulerMachine.ClaimedBy = ""
	schedulerMachine.Reservation = &reservation
}

// addReservedFromOtherPartition adds a reserved machine of another partition if it is
// reserved for a gang of this one: the machine is being emptied for that gang.
func (b *snapshotBuilder) addReservedFromOtherPartition(machine *cluster.Machine, schedulerMachine *scheduler.Machine, reservedFor int) {
	if reservedFor != b.partition.Index {
		return
	}
	schedulerMachine.HeldByOtherPartition = true
	schedulerMachine.Free = schedulerMachine.Total
	schedulerMachine.ReadyAt = max(b.Now, b.reservations.byMachine[machine.Name].ReadyAt)
	b.snapshot.Machines = append(b.snapshot.Machines, schedulerMachine)
}

// fillOtherPartitionMachine sets the state of an unreserved machine of another partition:
// an idle one that may be borrowed, one that this partition lent out and gets back, or
// one that may be requested for preemption. It reports whether the machine is any of
// these.
func (b *snapshotBuilder) fillOtherPartitionMachine(machine *cluster.Machine, schedulerMachine *scheduler.Machine) bool {
	switch {
	case b.lender.isBorrowable(machine):
		schedulerMachine.Borrowable = true
		schedulerMachine.ReadyAt = b.Now + transferTime
	case machine.Record.HomePartition == b.partition.Index && machine.ClaimedBy == "":
		b.fillLentOutMachine(machine, schedulerMachine)
	case len(machine.TaskIDs) > 0:
		b.fillBusyMachine(machine, schedulerMachine)
	default:
		return false
	}
	return true
}

// fillLentOutMachine sets the state of a machine that this partition has lent to another
// one. It is available once its tasks have ended.
func (b *snapshotBuilder) fillLentOutMachine(machine *cluster.Machine, schedulerMachine *scheduler.Machine) {
	b.view.addAllocations(schedulerMachine, machine, b.schedulerJobs)
	schedulerMachine.HeldByOtherPartition = true
	schedulerMachine.LentOut = true
	schedulerMachine.ReadyAt = b.Now + transferTime
	for _, allocation := range schedulerMachine.Allocations {
		schedulerMachine.ReadyAt = max(schedulerMachine.ReadyAt, allocation.ExpectedEnd)
	}
	lenderPrice := b.priceByPartition[b.partition.Index]
	borrowerPrice := b.priceByPartition[machine.Record.Partition]
	schedulerMachine.BorrowerIsLarge = largeBorrowerFactor*lenderPrice < borrowerPrice
}

// fillBusyMachine sets the state of a machine with tasks of another partition. A claimed
// machine is being emptied for a job, so all of its resources count as free.
func (b *snapshotBuilder) fillBusyMachine(machine *cluster.Machine, schedulerMachine *scheduler.Machine) {
	schedulerMachine.HeldByOtherPartition = true
	schedulerMachine.ReadyAt = b.Now + busyTransferTime
	if machine.ClaimedBy != "" {
		schedulerMachine.Free = schedulerMachine.Total
	}
	b.view.addAllocations(schedulerMachine, machine, b.schedulerJobs)
}

// fillOwnMachine sets the state of a machine of this partition. It reports whether the
// machine accepts tasks, now or soon.
func (b *snapshotBuilder) fillOwnMachine(machine *cluster.Machine, schedulerMachine *scheduler.Machine) bool {
	if machine.RecordChangePending() || machine.TransferToPartition != noPartition {
		return false
	}
	responds := b.lender.isResponsive(machine) && !b.cluster.HeartbeatsMissing(machine)
	wasUp := machine.FirstHeartbeatAt > 0
	switch {
	case machine.TokenConfirmed && responds:
		schedulerMachine.Schedulable = true
	case wasUp && responds:
		schedulerMachine.ReadyAt = b.Now + tokenConfirmationTime
	case !wasUp && !b.boots.IsOverdue(machine):
		schedulerMachine.ReadyAt = max(b.Now+minRemainingBootTime, machine.LaunchedAt+bootTime(machine))
	default:
		return false
	}
	for _, image := range machine.CachedImages {
		schedulerMachine.CachedImages = append(schedulerMachine.CachedImages, image.Name)
	}
	b.view.addAllocations(schedulerMachine, machine, b.schedulerJobs)
	return true
}

// addPendingMachines adds the machines that were requested from the cloud and are not
// recorded yet.
func (b *snapshotBuilder) addPendingMachines() {
	pending := b.provisioner.PendingMachines(b.partition)
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

// pendingMachine returns a machine of a kind that was requested. It has no name yet.
func (b *snapshotBuilder) pendingMachine(kind scheduler.InstanceKind, machineType *api.MachineType) *scheduler.Machine {
	total := scheduler.MachineCapacity(machineType)
	return &scheduler.Machine{
		Type:    machineType,
		Zone:    kind.Zone,
		Spot:    kind.Spot,
		Total:   total,
		Free:    total,
		ReadyAt: b.Now + micros.FromSeconds(machineType.BootS),
	}
}
