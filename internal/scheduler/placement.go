package scheduler

import (
	"slices"

	"spurmoor/internal/api"
)

// placer binds tasks to machines in rank order of the jobs.
type placer struct {
	*planState
	blocked          []*Job // jobs with tasks that found no room, best rank first
	gangsReserving   int    // gangs that have reserved machines, see maxReservingGangs
	cachedImagesOnly bool   // place only on machines that have the image
}

func newPlacer(state *planState) *placer { return &placer{planState: state} }

// placeJobs binds the tasks that fit and returns the blocked jobs, best rank first.
func (p *placer) placeJobs() []*Job {
	p.placeOverdueArrays()
	p.placeRanked()
	return p.blocked
}

// placeOverdueArrays binds one task of each overdue array before any other job is placed.
// Otherwise an array with a low rank could fail to start within BeginWithinS.
func (p *placer) placeOverdueArrays() {
	for _, job := range p.Jobs {
		if job.Spec.Kind != api.KindArray || !p.isOverdue(job) {
			continue
		}
		if min(job.PendingTasks, p.tasksWithinLimit(job)) > 0 {
			p.packArray(job, 1)
		}
	}
}

// placeRanked places the jobs in rank order. Only the first array in rank uses machines that
// must fetch its image. The other arrays use such machines after all jobs have had their turn.
// Otherwise a fifth of the room is lost to fetching images when more jobs wait than fit.
func (p *placer) placeRanked() {
	isFirstArray := true
	var otherArrays []*Job
	for _, job := range p.Jobs {
		if job.PendingTasks == 0 {
			continue
		}
		if job.Spec.Kind == api.KindArray && !isFirstArray {
			p.placeWhereCached(job)
			otherArrays = append(otherArrays, job)
			continue
		}
		isFirstArray = isFirstArray && job.Spec.Kind != api.KindArray
		p.placeOrBlock(job)
	}
	for _, job := range otherArrays {
		if job.PendingTasks > 0 {
			p.placeOrBlock(job)
		}
	}
}

// placeWhereCached binds the tasks of the job that fit on machines that have its image.
func (p *placer) placeWhereCached(job *Job) {
	p.cachedImagesOnly = true
	p.placeJob(job)
	p.cachedImagesOnly = false
}

// placeOrBlock places the job. If some of its tasks find no room, the job is added to the
// blocked jobs, and machines are reserved for it if it may reserve.
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

// placeJob binds the tasks of the job that fit and returns how many find no room. Tasks
// beyond the team's limit are not among them.
func (p *placer) placeJob(job *Job) int {
	tasks := min(job.PendingTasks, p.tasksWithinLimit(job))
	if tasks == 0 || job.Spec.Kind == api.KindGang && tasks < job.PendingTasks {
		p.blockByQuota(job)
		return 0
	}
	switch job.Spec.Kind {
	case api.KindGang:
		if p.placeGang(job) {
			return 0
		}
		p.plan.BlockedReasons[job.ID] = reasonNoRoomForGang
		return job.PendingTasks
	case api.KindArray:
		tasks = p.packArray(job, tasks)
	default:
		tasks = p.spreadService(job, tasks)
	}
	if tasks > 0 {
		p.plan.BlockedReasons[job.ID] = reasonNoMachine
	}
	return tasks
}

// blockByQuota records that the team's limit makes the job wait. For the first such gang of
// a team it reserves the gang's resources within the limit. Otherwise single tasks of the
// team use whatever becomes free under the limit, and its gangs wait for minutes or forever.
func (p *placer) blockByQuota(job *Job) {
	p.plan.BlockedReasons[job.ID] = reasonTeamLimit
	quota := p.Quotas[job.Spec.Team]
	if quota == nil || job.Spec.Kind != api.KindGang || job.Deprioritized {
		return
	}
	if quota.reservedForGang == (Resources{}) {
		quota.reservedForGang = quota.reservedForGang.AddScaled(job.Request, int64(job.PendingTasks))
	}
}

// packArray binds up to the given number of an array's tasks. It fills one machine after the
// other, in the order of their sort keys, and returns how many tasks find no machine.
func (p *placer) packArray(job *Job, tasks int) int {
	for _, candidate := range p.candidates(job) {
		if tasks == 0 {
			break
		}
		machine := candidate.machine
		count := min(tasks, machine.Free.FitCount(job.Request), job.tasksAllowedIn(machine.Zone))
		if count > 0 {
			p.bindTasks(job, machine, count)
			tasks -= count
		}
	}
	return tasks
}

// candidate is a machine on which a task can be bound.
type candidate struct {
	machine *Machine
	sortKey machineSortKey
	index   int // of the machine in the snapshot; the first of equal machines is the best
}

// candidates returns the machines on which a task of the job can be bound now, best first.
func (p *placer) candidates(job *Job) []candidate {
	var list []candidate
	for i, machine := range p.Machines {
		if p.canPlace(job, machine) && job.tasksAllowedIn(machine.Zone) > 0 {
			list = append(list, candidate{machine, newMachineSortKey(job, machine), i})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return a.sortKey.compare(&b.sortKey) })
	return list
}

// canPlace reports whether a task of the job can be bound to the machine now.
func (p *placer) canPlace(job *Job, machine *Machine) bool {
	if !machine.Schedulable || !machine.Free.Fits(job.Request) || machine.Borrowable || machine.HeldByOtherPartition {
		return false
	}
	if job.FailedMachines[machine.Name] || !ConstraintsAllow(job.Spec, machine.Type.Name, machine.Zone, machine.Spot) {
		return false
	}
	if job.otherJobClaims(machine) || p.cachedImagesOnly && !machine.HasImage(job.Spec.Image) {
		return false
	}
	return p.canBackfill(job, machine)
}

// canBackfill reports whether the machine is not reserved for another job, or a task placed
// on it now ends before that job can start. A service does not end.
func (p *placer) canBackfill(job *Job, machine *Machine) bool {
	reserved, ok := p.reservations[machine]
	if !ok || reserved.job == job {
		return true
	}
	return job.Spec.Kind != api.KindService && job.expectedEnd(machine, p.Now) <= reserved.readyAt
}

// bindTasks binds the next tasks of the job to the machine.
func (p *placer) bindTasks(job *Job, machine *Machine, tasks int) {
	if machine.ClaimedBy == job.ID {
		machine.ClaimedBy = "" // the claim is used, so other jobs may have the remaining room
	}
	job.TasksPerZone[machine.Zone] += tasks
	job.PendingTasks -= tasks
	if quota := p.Quotas[job.Spec.Team]; quota != nil {
		quota.Used = quota.Used.AddScaled(job.Request, int64(tasks))
	}
	p.plan.Bindings = append(p.plan.Bindings, Binding{job, machine, tasks})
	if !machine.HasImage(job.Spec.Image) {
		p.allocateNow(job, machine, 1)                                                   // fetches the image
		machine.CachedImages = append(slices.Clip(machine.CachedImages), job.Spec.Image) // later tasks use the same copy
		tasks--
	}
	if tasks > 0 {
		p.allocateNow(job, machine, tasks)
	}
}

// allocateNow adds tasks of the job to the machine that start now.
func (p *placer) allocateNow(job *Job, machine *Machine, tasks int) {
	end := job.expectedEnd(machine, p.Now)
	machine.allocate(job, tasks, end)
	p.extendExpectedEnd(job, end)
}
