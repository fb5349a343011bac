package scheduler

import (
	"slices"

	"spurmoor/internal/api"
)

// placer binds tasks to machines in the order of the jobs' ranks.
type placer struct {
	*planState
	blocked          []*Job // what found no room, best first
	gangsReserving   int
	cachedImagesOnly bool // place only where the image need not be fetched
}

func newPlacer(state *planState) *placer { return &placer{planState: state} }

// placeJobs places what fits and gives the jobs that are blocked, best first.
func (p *placer) placeJobs() []*Job {
	p.placeOverdueArrays()
	p.placeRanked()
	return p.blocked
}

// placeOverdueArrays places one task of each array that is overdue, before all else: an
// array must not miss the time within which it should begin because of its rank.
func (p *placer) placeOverdueArrays() {
	for _, job := range p.Jobs {
		if job.Spec.Kind != api.Array || !p.isOverdue(job) {
			continue
		}
		if min(job.PendingTasks, p.tasksWithinLimit(job)) > 0 {
			p.packArray(job, 1)
		}
	}
}

// placeRanked places jobs in the order of their rank. Of the arrays, only the first in
// rank takes room where its image must be fetched first; the others do so after all jobs
// had their turn. Where more waited than fitted, a fifth of the room was lost to fetching.
func (p *placer) placeRanked() {
	isFirstArray := true
	var otherArrays []*Job
	for _, job := range p.Jobs {
		if job.PendingTasks == 0 {
			continue
		}
		if job.Spec.Kind == api.Array && !isFirstArray {
			p.placeWhereCached(job)
			otherArrays = append(otherArrays, job)
			continue
		}
		isFirstArray = isFirstArray && job.Spec.Kind != api.Array
		p.placeOrBlock(job)
	}
	for _, job := range otherArrays {
		if job.PendingTasks > 0 {
			p.placeOrBlock(job)
		}
	}
}

// placeWhereCached places what fits of a job on machines that have its image.
func (p *placer) placeWhereCached(job *Job) {
	p.cachedImagesOnly = true
	p.placeJob(job)
	p.cachedImagesOnly = false
}

// placeOrBlock places a job; what finds no room blocks it.
func (p *placer) placeOrBlock(job *Job) {
	job.blockedTasks = p.placeJob(job)
	if job.blockedTasks == 0 {
		return
	}
	if p.mayReserve(job) {
		p.reserveFor(job)
	}
	p.blocked = append(p.blocked, job)
}

// placeJob starts what fits of a job and tells how many tasks lack room.
func (p *placer) placeJob(job *Job) int {
	tasks := min(job.PendingTasks, p.tasksWithinLimit(job))
	if tasks == 0 || job.Spec.Kind == api.Gang && tasks < job.PendingTasks {
		p.blockByQuota(job)
		return 0
	}
	switch job.Spec.Kind {
	case api.Gang:
		if p.placeGang(job) {
			return 0
		}
		p.plan.BlockedReasons[job.ID] = reasonGang
		return job.PendingTasks
	case api.Array:
		tasks = p.packArray(job, tasks)
	default:
		tasks = p.placeSingly(job, tasks)
	}
	if tasks > 0 {
		p.plan.BlockedReasons[job.ID] = reasonNoMachine
	}
	return tasks
}

// blockByQuota notes that the team's limit makes a job wait. What a team's limit leaves is
// reserved, as machines are, for the first of its gangs: single tasks of the team took each
// piece as it came, and its gangs waited for minutes, or for ever.
func (p *placer) blockByQuota(job *Job) {
	p.plan.BlockedReasons[job.ID] = reasonQuota
	quota := p.Quotas[job.Spec.Team]
	if quota == nil || job.Spec.Kind != api.Gang || job.Deprioritized {
		return
	}
	if quota.reserved == (Resources{}) {
		quota.reserved = quota.reserved.Add(job.Request, int64(job.PendingTasks))
	}
}

// placeSingly binds so many tasks, each to the best machine for it once those before it
// are bound, and tells how many found none.
func (p *placer) placeSingly(job *Job, tasks int) int {
	for ; tasks > 0; tasks-- {
		machine := p.chooseMachine(job)
		if machine == nil {
			break
		}
		p.bindTask(job, machine)
	}
	return tasks
}

// packArray binds so many of an array's tasks to machines with free room, filling one
// after the other in the order of chooseMachine, and tells how many found none.
func (p *placer) packArray(job *Job, tasks int) int {
	type candidate struct {
		machine *Machine
		order   machineOrder
	}
	var candidates []candidate
	for _, machine := range p.Machines {
		if p.canTake(job, machine) && job.zoneCapacity(machine.Zone) > 0 {
			candidates = append(candidates, candidate{machine, newMachineOrder(job, machine)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.order.compare(&b.order) })
	for _, c := range candidates {
		for tasks > 0 && c.machine.Free.Fits(job.Request) && job.zoneCapacity(c.machine.Zone) > 0 {
			p.bindTask(job, c.machine)
			tasks--
		}
	}
	return tasks
}

// chooseMachine gives the best machine for one task; nil where none has room.
func (p *placer) chooseMachine(job *Job) *Machine {
	var best *Machine
	var bestOrder machineOrder
	for _, machine := range p.Machines {
		if !p.canTake(job, machine) || job.zoneCapacity(machine.Zone) <= 0 {
			continue
		}
		order := newMachineOrder(job, machine)
		if best == nil || order.compare(&bestOrder) < 0 {
			best, bestOrder = machine, order
		}
	}
	return best
}

// canTake tells whether the machine may take a task of the job now.
func (p *placer) canTake(job *Job, machine *Machine) bool {
	if !machine.Schedulable || !machine.Free.Fits(job.Request) || machine.Borrowable || machine.HeldByOtherPartition {
		return false
	}
	if job.FailedMachines[machine.Name] || !Allowed(job.Spec, machine.Type.Name, machine.Zone, machine.Spot) {
		return false
	}
	if job.isClaimedByOther(machine) || p.cachedImagesOnly && !machine.HasImage(job.Spec.Image) {
		return false
	}
	return p.canBackfill(job, machine)
}

// canBackfill tells whether a task that starts on a machine now ends before the job begins
// that the machine is reserved for. A service does not end.
func (p *placer) canBackfill(job *Job, machine *Machine) bool {
	reserved, ok := p.reservations[machine]
	if !ok || reserved.job == job {
		return true
	}
	return job.Spec.Kind != api.Service && job.expectedEnd(machine, p.Now) <= reserved.readyAt
}

// bindTask binds the next task of a job to a machine.
func (p *placer) bindTask(job *Job, machine *Machine) {
	if machine.ClaimedBy == job.ID {
		machine.ClaimedBy = "" // the job has what it was emptied for: the rest of the room is for all
	}
	job.TasksPerZone[machine.Zone]++
	job.PendingTasks--
	if quota := p.Quotas[job.Spec.Team]; quota != nil {
		quota.Used = quota.Used.Add(job.Request, 1)
	}
	end := job.expectedEnd(machine, p.Now)
	machine.allocate(job, end)
	if !machine.HasImage(job.Spec.Image) {
		machine.CachedImages = append(slices.Clip(machine.CachedImages), job.Spec.Image) // fetched once for all
	}
	p.extendExpectedEnd(job, end)
	p.plan.Bindings = append(p.plan.Bindings, Binding{job, machine})
}
