package planning

import (
	"maps"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// SchedulerView converts jobs, machines and teams from the replica to the scheduler's
// types.
type SchedulerView struct {
	*coordination.Environment
	cluster   *cluster.State
	tasks     *cluster.TaskLifecycle
	urgencies *UrgencyIndex
}

// NewSchedulerView returns a view that reads the replica at each call and caches nothing.
func NewSchedulerView(
	env *coordination.Environment, state *cluster.State, tasks *cluster.TaskLifecycle, urgencies *UrgencyIndex,
) *SchedulerView {
	return &SchedulerView{Environment: env, cluster: state, tasks: tasks, urgencies: urgencies}
}

const (
	// recentStartWindow is how long a task must stay on its machine for users to count it as
	// started. Stopping it earlier undoes its start.
	recentStartWindow = 30 * micros.Second
	// cancelledTaskStopTime is how soon a task of a cancelled job is expected to be gone.
	cancelledTaskStopTime = 3 * micros.Second
	// stopMarginS is how many seconds beyond its grace period a task takes to stop.
	stopMarginS = 1
	// checkpointedLostWork is the work that a task with checkpoints is assumed to lose
	// when it is stopped, in addition to the time that saving takes.
	checkpointedLostWork = 5 * micros.Second
	// minFetchGBPerS is the lowest rate assumed for fetching images, in gigabytes per
	// second. The rate of a machine type may be missing.
	minFetchGBPerS = 0.01
	// A task is expected to run for at least another minRemainingTime plus
	// 1/remainingAgeDivisor of the time since its placement, even if its estimate has
	// passed. The estimate is then wrong, and the longer the task has run, the longer it
	// may still run.
	minRemainingTime    = micros.Second
	remainingAgeDivisor = 5
	// A task that is placed but not running yet is assumed to lose
	// 1/startingLostWorkDivisor of the time since its placement.
	startingLostWorkDivisor = 2
)

// schedulerJob converts a job. The caller sets its PendingTasks.
func (v *SchedulerView) schedulerJob(job *cluster.Job) *scheduler.Job {
	schedulerJob := &scheduler.Job{
		ID:             job.ID,
		Spec:           &job.Spec,
		Request:        job.Request,
		Tier:           v.urgencies.effectiveTier(job),
		EligibleAt:     job.EligibleAt(),
		Deadline:       v.urgencies.byJob[job.ID].deadline,
		TasksPerZone:   map[string]int{},
		FailedMachines: job.FailedMachines,
		Deprioritized:  v.tasks.IsDeprioritized(job),
		Started:        job.HasStarted(),
	}
	maps.Copy(schedulerJob.TasksPerZone, job.TasksPerZone)
	return schedulerJob
}

// schedulerMachine converts a machine without its allocations. The type of the machine
// must be known.
func (v *SchedulerView) schedulerMachine(machine *cluster.Machine) *scheduler.Machine {
	total := scheduler.MachineCapacity(machine.MachineType)
	free := total.AddScaled(machine.Allocated, -1)
	free.HeartbeatBytes -= int64(machine.ExitedStatusBytes) // the worker still reports them
	return &scheduler.Machine{
		Name:      machine.Name,
		Type:      machine.MachineType,
		Zone:      machine.Record.Zone,
		Spot:      machine.Record.Spot,
		Total:     total,
		Free:      free,
		ClaimedBy: machine.ClaimedBy,
	}
}

// addAllocations adds the tasks on a machine to its converted form. jobs holds the jobs
// that are already converted, by ID. A job that is missing there, such as one of another
// partition, gets only the fields that preemption needs. A task of a cancelled job is
// added without a job.
func (v *SchedulerView) addAllocations(schedulerMachine *scheduler.Machine, machine *cluster.Machine, jobs map[string]*scheduler.Job) {
	for _, id := range machine.TaskIDsCopy() {
		job := v.cluster.Jobs[id.Job]
		allocation := scheduler.Allocation{
			Job:         jobs[id.Job],
			TaskIndex:   id.Index,
			Request:     job.Request,
			ExpectedEnd: v.Now + cancelledTaskStopTime,
		}
		if allocation.Job == nil && !job.Cancelled {
			allocation.Job = &scheduler.Job{
				ID:      id.Job,
				Spec:    &job.Spec,
				Request: job.Request,
				Tier:    v.urgencies.effectiveTier(job),
			}
		}
		if allocation.Job != nil {
			v.setTaskState(&allocation, job, job.Task(id.Index), machine)
		}
		schedulerMachine.Allocations = append(schedulerMachine.Allocations, allocation)
	}
}

// setTaskState sets when a task is expected to end, how much work stopping it loses, and
// whether it is already stopping or started recently.
func (v *SchedulerView) setTaskState(
	allocation *scheduler.Allocation, job *cluster.Job, task *cluster.Task, machine *cluster.Machine,
) {
	allocation.ExpectedEnd = v.expectedTaskEnd(job, task, machine)
	allocation.LostWork = v.lostWork(job, task)
	allocation.Stopping = task.StopRequestedAt > 0
	allocation.StartedRecently = v.startedRecently(task)
}

// expectedTaskEnd returns when a task on a machine is expected to end, based on its
// owner's estimate.
func (v *SchedulerView) expectedTaskEnd(job *cluster.Job, task *cluster.Task, machine *cluster.Machine) micros.Micros {
	estimate := micros.FromSeconds(job.Spec.EstimateS)
	fetch := micros.FromSeconds(job.Spec.ImageGB / max(minFetchGBPerS, machine.MachineType.FetchGBPerS))
	end := task.PlacedAt + estimate + fetch
	if task.RunningSince > 0 {
		end = task.RunningSince + estimate
	}
	if task.StopRequestedAt > 0 {
		end = min(end, task.StopRequestedAt+micros.FromSeconds(task.GraceS+stopMarginS))
	}
	return max(end, v.Now+minRemainingTime+(v.Now-task.PlacedAt)/remainingAgeDivisor)
}

// startedRecently reports whether stopping a task now would undo its start.
func (v *SchedulerView) startedRecently(task *cluster.Task) bool {
	return v.Now < task.PlacedAt+recentStartWindow
}

// lostWork returns about how much work is lost if a task is stopped now.
func (v *SchedulerView) lostWork(job *cluster.Job, task *cluster.Task) micros.Micros {
	switch {
	case job.Spec.CheckpointIntervalS > 0:
		return micros.FromSeconds(job.Spec.CheckpointSaveS) + checkpointedLostWork
	case task.RunningSince == 0:
		return (v.Now - task.PlacedAt) / startingLostWorkDivisor
	}
	return v.Now - task.RunningSince
}

// teamQuota returns the usage and quota of a team, or an empty quota if the team is
// unknown.
func (v *SchedulerView) teamQuota(name string) *scheduler.Quota {
	for _, team := range v.Settings.Deployment.Teams {
		if team.Name == name {
			return &scheduler.Quota{
				Used:       *v.cluster.TeamUsage[name],
				Guaranteed: scheduler.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0),
				Limit:      scheduler.NewResources(team.MaxCPUs, team.MaxGPUs, 0),
			}
		}
	}
	return &scheduler.Quota{}
}
