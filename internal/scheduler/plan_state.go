package scheduler

import "spurmoor/internal/micros"

// planState is what the steps of a cycle share: the snapshot, the plan so far, and the
// machines that are reserved.
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

// extendExpectedEnd notes that a task of a job is expected to end at an instant.
func (s *planState) extendExpectedEnd(job *Job, end micros.Micros) {
	s.plan.ExpectedEnds[job.ID] = max(s.plan.ExpectedEnds[job.ID], end)
}

// withinGuarantee tells whether the guarantee of a job's team covers the blocked tasks of
// the job.
func (s *planState) withinGuarantee(job *Job) bool {
	quota := s.Quotas[job.Spec.Team]
	return quota != nil && quota.guaranteesTasks(job.Request, job.blockedTasks)
}

// tasksWithinLimit is how many of a job's pending tasks the limit of its team permits; a
// job whose team has no quota may start none.
func (s *planState) tasksWithinLimit(job *Job) int {
	quota := s.Quotas[job.Spec.Team]
	if quota == nil {
		return 0
	}
	return quota.tasksWithinLimit(job.Request, job.PendingTasks)
}

// overdueShare is the share of BeginWithinS after which a job that has not begun is
// overdue; the rest of that time is left for it to find room.
const overdueShare = 0.5

// isOverdue tells whether a job has not begun though half of the time within which every
// job should have is over.
func (s *planState) isOverdue(job *Job) bool {
	limit := s.Operators.BeginWithinS * overdueShare * float64(micros.Second)
	return !job.Started && !job.Deprioritized && float64(s.Now-job.EligibleAt) > limit
}

// passLimit bounds how many of something one pass deals with, so that a cycle's work is
// bounded by the size of the partition: one for every machinesEach machines, but no fewer
// than atLeast. The next cycle goes on where this one ended.
type passLimit struct{ atLeast, machinesEach int }

// Limits of one pass.
var (
	// gangsToReserveFor limits the blocked gangs that reserve machines, best first.
	gangsToReserveFor = passLimit{32, 64}
	// jobsToPreemptFor limits the blocked jobs that others are preempted for.
	jobsToPreemptFor = passLimit{16, 128}
	// machinesToPreempt limits the machines that are emptied, or asked for.
	machinesToPreempt = passLimit{32, 64}
	// machinesToLaunch limits the machines that are launched.
	machinesToLaunch = passLimit{150, 16}
	// tasksToFindRoomFor limits the tasks of one array that room is found or launched for.
	tasksToFindRoomFor = passLimit{400, 4}
)

// limit evaluates a pass limit for the machines of the snapshot.
func (s *planState) limit(pass passLimit) int {
	return max(pass.atLeast, len(s.Machines)/pass.machinesEach)
}
