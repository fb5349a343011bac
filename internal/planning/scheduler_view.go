package planning

import (
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
func NewSchedulerView(env *coordination.Environment, cluster *cluster.State, tasks *cluster.TaskLifecycle, urgencies *UrgencyIndex) *SchedulerView {
	return &SchedulerView{Environment: env, cluster: cluster, tasks: tasks, urgencies: urgencies}
}

// schedulerJob shows a job to the planner.
func (v *SchedulerView) schedulerJob(j *cluster.Job) *scheduler.Job {
	sj := &scheduler.Job{ID: j.ID, Spec: &j.Spec, Request: j.Request, Tier: v.urgencies.effectiveTier(j), EligibleAt: j.EligibleAt(), Deadline: v.urgencies.byJob[j.ID].deadline, TasksPerZone: map[string]int{}, FailedMachines: j.FailedMachines,
		Deprioritized: v.tasks.Deprioritized(j), Started: j.HasStarted()}
	for z, n := range j.TasksPerZone {
		sj.TasksPerZone[z] = n
	}
	return sj
}

// schedulerMachine shows a machine to the planner, without what runs on it.
func (v *SchedulerView) schedulerMachine(m *cluster.Machine) *scheduler.Machine {
	total := scheduler.ResourcesOf(m.MachineType.CPUs, m.MachineType.GPUs, m.MachineType.MemoryGB)
	return &scheduler.Machine{Name: m.Name, Type: m.MachineType, Zone: m.Record.Zone, Spot: m.Record.Spot, Total: total, Free: total.Add(m.Allocated, -1), ClaimedBy: m.ClaimedBy}
}

// addAllocations shows the planner what runs on a machine.
func (v *SchedulerView) addAllocations(sm *scheduler.Machine, m *cluster.Machine, shown map[string]*scheduler.Job) {
	for _, id := range m.TaskIDsCopy() {
		j := v.cluster.Jobs[id.Job]
		t := j.Task(id.Index)
		sj := shown[id.Job]
		if sj == nil && !j.Cancelled {
			sj = &scheduler.Job{ID: id.Job, Spec: &j.Spec, Request: j.Request, Tier: v.urgencies.effectiveTier(j)}
		}
		u := scheduler.Allocation{Job: sj, TaskIndex: id.Index, Request: j.Request, ExpectedEnd: v.Now + 3*micros.Second}
		if sj != nil {
			u.ExpectedEnd, u.LostWork, u.Stopping, u.StartedRecently = v.expectedTaskEnd(j, t, m), v.lostWork(j, t), t.StopRequestedAt > 0, v.startedRecently(t)
		}
		sm.Allocations = append(sm.Allocations, u)
	}
}

// expectedTaskEnd is when a task on a machine is expected to end.
func (v *SchedulerView) expectedTaskEnd(j *cluster.Job, t *cluster.Task, m *cluster.Machine) micros.Micros {
	est := micros.FromSeconds(j.Spec.EstimateS)
	end := t.PlacedAt + est + micros.FromSeconds(j.Spec.ImageGB/max(0.01, m.MachineType.FetchGBPerS))
	if t.RunningSince > 0 {
		end = t.RunningSince + est
	}
	if t.StopRequestedAt > 0 {
		end = min(end, t.StopRequestedAt+micros.FromSeconds(t.GraceS+1))
	}
	// Overdue: the estimate was wrong; the longer it lasts the longer it may.
	return max(end, v.Now+micros.Second+(v.Now-t.PlacedAt)/5)
}

// startedRecently tells whether stopping a task would undo its start: users count only
// starts that last for half a minute.
func (v *SchedulerView) startedRecently(t *cluster.Task) bool {
	return v.Now < t.PlacedAt+30*micros.Second
}

func (v *SchedulerView) lostWork(j *cluster.Job, t *cluster.Task) micros.Micros {
	if j.Spec.CheckpointIntervalS > 0 {
		return micros.FromSeconds(j.Spec.CheckpointSaveS) + micros.FromSeconds(5)
	}
	if t.RunningSince == 0 {
		return (v.Now - t.PlacedAt) / 2
	}
	return v.Now - t.RunningSince
}

// schedulerTeam shows a team to the planner.
func (v *SchedulerView) schedulerTeam(name string) *scheduler.Quota {
	for _, t := range v.Settings.Deployment.Teams {
		if t.Name == name {
			return &scheduler.Quota{Used: *v.cluster.TeamUsage[name], Guaranteed: scheduler.ResourcesOf(t.GuaranteedCPUs, t.GuaranteedGPUs, 0), Limit: scheduler.ResourcesOf(t.MaxCPUs, t.MaxGPUs, 0)}
		}
	}
	return &scheduler.Quota{}
}
