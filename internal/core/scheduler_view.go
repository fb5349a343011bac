package core

import (
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// schedulerView shows jobs, machines and teams in the form that the scheduler plans with.
type schedulerView struct {
	*environment
	cluster   *clusterState
	tasks     *taskLifecycle
	urgencies *urgencyIndex
}

func newSchedulerView(env *environment, cluster *clusterState, tasks *taskLifecycle, urgencies *urgencyIndex) *schedulerView {
	return &schedulerView{environment: env, cluster: cluster, tasks: tasks, urgencies: urgencies}
}

// schedulerJob shows a job to the planner.
func (v *schedulerView) schedulerJob(j *job) *scheduler.Job {
	sj := &scheduler.Job{ID: j.id, Spec: &j.spec, Request: j.request, Tier: v.urgencies.effectiveTier(j), EligibleAt: j.eligibleAt(), Deadline: v.urgencies.byJob[j.id].deadline, TasksPerZone: map[string]int{}, FailedMachines: j.failedMachines,
		Deprioritized: v.tasks.deprioritized(j), Started: j.hasStarted()}
	for z, n := range j.tasksPerZone {
		sj.TasksPerZone[z] = n
	}
	return sj
}

// schedulerMachine shows a machine to the planner, without what runs on it.
func (v *schedulerView) schedulerMachine(m *machine) *scheduler.Machine {
	total := scheduler.ResourcesOf(m.machineType.CPUs, m.machineType.GPUs, m.machineType.MemoryGB)
	return &scheduler.Machine{Name: m.name, Type: m.machineType, Zone: m.record.Zone, Spot: m.record.Spot, Total: total, Free: total.Add(m.allocated, -1), ClaimedBy: m.claimedBy}
}

// addAllocations shows the planner what runs on a machine.
func (v *schedulerView) addAllocations(sm *scheduler.Machine, m *machine, shown map[string]*scheduler.Job) {
	for _, id := range m.taskIDsCopy() {
		j := v.cluster.jobs[id.job]
		t := j.task(id.index)
		sj := shown[id.job]
		if sj == nil && !j.cancelled {
			sj = &scheduler.Job{ID: id.job, Spec: &j.spec, Request: j.request, Tier: v.urgencies.effectiveTier(j)}
		}
		u := scheduler.Allocation{Job: sj, TaskIndex: id.index, Request: j.request, ExpectedEnd: v.now + 3*micros.Second}
		if sj != nil {
			u.ExpectedEnd, u.LostWork, u.Stopping, u.StartedRecently = v.expectedTaskEnd(j, t, m), v.lostWork(j, t), t.stopRequestedAt > 0, v.startedRecently(t)
		}
		sm.Allocations = append(sm.Allocations, u)
	}
}

// expectedTaskEnd is when a task on a machine is expected to end.
func (v *schedulerView) expectedTaskEnd(j *job, t *task, m *machine) micros.Micros {
	est := micros.FromSeconds(j.spec.EstimateS)
	end := t.placedAt + est + micros.FromSeconds(j.spec.ImageGB/max(0.01, m.machineType.FetchGBs))
	if t.runningSince > 0 {
		end = t.runningSince + est
	}
	if t.stopRequestedAt > 0 {
		end = min(end, t.stopRequestedAt+micros.FromSeconds(t.graceS+1))
	}
	// Overdue: the estimate was wrong; the longer it lasts the longer it may.
	return max(end, v.now+micros.Second+(v.now-t.placedAt)/5)
}

// startedRecently tells whether stopping a task would undo its start: users count only
// starts that last for half a minute.
func (v *schedulerView) startedRecently(t *task) bool { return v.now < t.placedAt+30*micros.Second }

func (v *schedulerView) lostWork(j *job, t *task) micros.Micros {
	if j.spec.CheckpointIntervalS > 0 {
		return micros.FromSeconds(j.spec.CheckpointSaveS) + micros.FromSeconds(5)
	}
	if t.runningSince == 0 {
		return (v.now - t.placedAt) / 2
	}
	return v.now - t.runningSince
}

// schedulerTeam shows a team to the planner.
func (v *schedulerView) schedulerTeam(name string) *scheduler.Quota {
	for _, t := range v.settings.Deployment.Teams {
		if t.Name == name {
			return &scheduler.Quota{Used: *v.cluster.teamUsage[name], Guaranteed: scheduler.ResourcesOf(t.GuaranteedCPUs, t.GuaranteedGPUs, 0), Limit: scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)}
		}
	}
	return &scheduler.Quota{}
}
