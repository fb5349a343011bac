package planning

import (
	"maps"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// SchedulerView shows jobs, machines and teams in the form that the scheduler plans with.
type SchedulerView struct {
	*coordination.Environment
	cluster   *cluster.State
	tasks     *cluster.TaskLifecycle
	urgencies *UrgencyIndex
}

// NewSchedulerView makes a scheduler view.
func NewSchedulerView(
	env *coordination.Environment, state *cluster.State, tasks *cluster.TaskLifecycle, urgencies *UrgencyIndex,
) *SchedulerView {
	return &SchedulerView{Environment: env, cluster: state, tasks: tasks, urgencies: urgencies}
}

const (
	// recentStart is how long a start must last to count for users: stopping a task
	// before undoes its start.
	recentStart = 30 * micros.Second
	// cancelledTaskEnd is how soon a task of a cancelled job is expected to be gone.
	cancelledTaskEnd = 3 * micros.Second
	// stopMarginS is how many seconds beyond its grace a task takes to stop.
	stopMarginS = 1
	// checkpointedWork is how much work is taken to be lost with a task that checkpoints,
	// beside the time to save.
	checkpointedWork = 5 * micros.Second
	// minFetchGBs is the least rate taken for fetching images, in gigabytes a second: a
	// type's rate may be missing.
	minFetchGBs = 0.01
	// An overdue task is expected to end overdueMinimum and 1/overdueDivisor of its age
	// from now: its estimate was wrong, and the longer it lasts the longer it may.
	overdueMinimum = micros.Second
	overdueDivisor = 5
	// startingDivisor: of a task that was placed and does not run, 1/startingDivisor of
	// the time since is taken to be lost work.
	startingDivisor = 2
)

// schedulerJob shows a job.
func (v *SchedulerView) schedulerJob(job *cluster.Job) *scheduler.Job {
	shown := &scheduler.Job{
		ID:             job.ID,
		Spec:           &job.Spec,
		Request:        job.Request,
		Tier:           v.urgencies.effectiveTier(job),
		EligibleAt:     job.EligibleAt(),
		Deadline:       v.urgencies.byJob[job.ID].deadline,
		TasksPerZone:   map[string]int{},
		FailedMachines: job.FailedMachines,
		Deprioritized:  v.tasks.Deprioritized(job),
		Started:        job.HasStarted(),
	}
	maps.Copy(shown.TasksPerZone, job.TasksPerZone)
	return shown
}

// schedulerMachine shows a machine, without what runs on it. Its type must be known.
func (v *SchedulerView) schedulerMachine(machine *cluster.Machine) *scheduler.Machine {
	total := totalResources(machine.MachineType)
	return &scheduler.Machine{
		Name:      machine.Name,
		Type:      machine.MachineType,
		Zone:      machine.Record.Zone,
		Spot:      machine.Record.Spot,
		Total:     total,
		Free:      total.Add(machine.Allocated, -1),
		ClaimedBy: machine.ClaimedBy,
	}
}

// totalResources gives what a machine of a type has.
func totalResources(machineType *api.MachineType) scheduler.Resources {
	return scheduler.ResourcesOf(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// addAllocations shows what runs on a machine. jobs are those that are shown already, by
// ID; the others, of other partitions, are shown with what preemption asks of them. A task
// of a cancelled job is shown without a job.
func (v *SchedulerView) addAllocations(shown *scheduler.Machine, machine *cluster.Machine, jobs map[string]*scheduler.Job) {
	for _, id := range machine.TaskIDsCopy() {
		job := v.cluster.Jobs[id.Job]
		allocation := scheduler.Allocation{
			Job:         jobs[id.Job],
			TaskIndex:   id.Index,
			Request:     job.Request,
			ExpectedEnd: v.Now + cancelledTaskEnd,
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
			v.describeTask(&allocation, job, job.Task(id.Index), machine)
		}
		shown.Allocations = append(shown.Allocations, allocation)
	}
}

// describeTask shows when a task is expected to end and what stopping it costs.
func (v *SchedulerView) describeTask(
	allocation *scheduler.Allocation, job *cluster.Job, task *cluster.Task, machine *cluster.Machine,
) {
	allocation.ExpectedEnd = v.expectedTaskEnd(job, task, machine)
	allocation.LostWork = v.lostWork(job, task)
	allocation.Stopping = task.StopRequestedAt > 0
	allocation.StartedRecently = v.startedRecently(task)
}

// expectedTaskEnd is when a task on a machine is expected to end, by its owner's estimate.
func (v *SchedulerView) expectedTaskEnd(job *cluster.Job, task *cluster.Task, machine *cluster.Machine) micros.Micros {
	estimate := micros.FromSeconds(job.Spec.EstimateS)
	fetch := micros.FromSeconds(job.Spec.ImageGB / max(minFetchGBs, machine.MachineType.FetchGBPerS))
	end := task.PlacedAt + estimate + fetch
	if task.RunningSince > 0 {
		end = task.RunningSince + estimate
	}
	if task.StopRequestedAt > 0 {
		end = min(end, task.StopRequestedAt+micros.FromSeconds(task.GraceS+stopMarginS))
	}
	return max(end, v.Now+overdueMinimum+(v.Now-task.PlacedAt)/overdueDivisor)
}

// startedRecently tells whether stopping a task would undo its start.
func (v *SchedulerView) startedRecently(task *cluster.Task) bool {
	return v.Now < task.PlacedAt+recentStart
}

// lostWork is about how much work is lost if a task is stopped now.
func (v *SchedulerView) lostWork(job *cluster.Job, task *cluster.Task) micros.Micros {
	switch {
	case job.Spec.CheckpointIntervalS > 0:
		return micros.FromSeconds(job.Spec.CheckpointSaveS) + checkpointedWork
	case task.RunningSince == 0:
		return (v.Now - task.PlacedAt) / startingDivisor
	}
	return v.Now - task.RunningSince
}

// schedulerTeam shows a team's use and quota; nothing of an unknown one.
func (v *SchedulerView) schedulerTeam(name string) *scheduler.Quota {
	for _, team := range v.Settings.Deployment.Teams {
		if team.Name == name {
			return &scheduler.Quota{
				Used:       *v.cluster.TeamUsage[name],
				Guaranteed: scheduler.ResourcesOf(team.GuaranteedCPUs, team.GuaranteedGPUs, 0),
				Limit:      scheduler.ResourcesOf(team.MaxCPUs, team.MaxGPUs, 0),
			}
		}
	}
	return &scheduler.Quota{}
}
