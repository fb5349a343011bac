package scheduler

import "spurmoor/internal/micros"

// planState is shared by the steps of a cycle. It holds the snapshot, the plan so far and
// the reserved machines.
type planState struct {
	*Snapshot
	plan         Plan
	reservations map[*Machine]reservation
}

func newPlanState(snapshot *Snapshot) *planState {
	state := &planState{Snapshot: snapshot, reservations: map[*Machine]reservation{}}
	state.plan.BlockedReasons = map[string]string{}
	state.plan.ExpectedEnds = map[string]micros.Micros{}
	for _, machine := range snapshot.Machines {
		if machine.Reservation != nil {
			state.reservations[machine] = reservation{machine.Reservation.Job, machine.Reservation.ReadyAt}
		}
		for _, allocation := range machine.Allocations {
			if allocation.Job != nil {
				state.extendExpectedEnd(allocation.Job, allocation.ExpectedEnd)
			}
		}
	}
	return state
}

// extendExpectedEnd records that a task of the job is expected to end at end. The latest
// such time is the expected end of the job.
func (s *planState) extendExpectedEnd(job *Job, end micros.Micros) {
	s.plan.ExpectedEnds[job.ID] = max(s.plan.ExpectedEnds[job.ID], end)
}

// withinGuarantee reports whether the guarantee of the job's team covers the blocked tasks
// of the job.
func (s *planState) withinGuarantee(job *Job) bool {
	quota := s.Quotas[job.Spec.Team]
	return quota != nil && quota.guaranteeCovers(job.Request, job.blockedTasks)
}

// tasksWithinLimit returns how many of the job's pending tasks the limit of its team
// permits. A job whose team has no quota may start none.
func (s *planState) tasksWithinLimit(job *Job) int {
	quota := s.Quotas[job.Spec.Team]
	if quota == nil {
		return 0
	}
	return quota.tasksWithinLimit(job.Request, job.PendingTasks)
}

// overdueFraction is the fraction of BeginWithinS after which a job that has not started is
// overdue. The rest of that time remains for it to find room.
const overdueFraction = 0.5

// isOverdue reports whether the job has not started although overdueFraction of
// BeginWithinS has passed since it became eligible. A deprioritized job is never overdue.
func (s *planState) isOverdue(job *Job) bool {
	limit := s.Operators.BeginWithinS * overdueFraction * float64(micros.Second)
	return !job.Started && !job.Deprioritized && float64(s.Now-job.EligibleAt) > limit
}

// cycleLimit limits how many items of some kind one cycle handles, so that the work of a
// cycle is bounded by the size of the partition. It allows one item for every
// machinesPerUnit machines, and at least minimum. Later cycles handle the remaining items.
type cycleLimit struct{ minimum, machinesPerUnit int }

// Limits of one cycle.
var (
	// maxReservingGangs limits the blocked gangs that reserve machines, best rank first.
	maxReservingGangs = cycleLimit{32, 64}
	// maxPreemptingJobs limits the blocked jobs for which victims are searched.
	maxPreemptingJobs = cycleLimit{16, 128}
	// maxPreemptedMachines limits the machines on which tasks are preempted, or which are
	// requested from another partition.
	maxPreemptedMachines = cycleLimit{32, 64}
	// maxLaunchedMachines limits the machines to launch.
	maxLaunchedMachines = cycleLimit{150, 16}
	// maxTasksPerArray limits the tasks of one array for which the demand planner finds
	// room or launches machines.
	maxTasksPerArray = cycleLimit{400, 4}
)

// limit evaluates a limit for the number of machines in the snapshot.
func (s *planState) limit(limit cycleLimit) int {
	return max(limit.minimum, len(s.Machines)/limit.machinesPerUnit)
}
