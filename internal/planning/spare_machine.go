package planning

import (
	"maps"
	"slices"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// chooseSpare is a machine of another partition with room for a job of ours that nothing can
// be rented for, and of which nothing has begun after a sixth of begin_within_s.
// A machine has one holder, so room beside another partition's tasks is no use to us: in
// a small, full cluster a team under its limit waited for two minutes beside it.
// It is asked for to be given when its tasks have ended; one at a time.
func (y *SchedulingCycle) chooseSpare(p *cluster.Partition, jobs map[string]*cluster.Job, why map[string]string) *cluster.Machine {
	first := y.oldestWithoutScaleOut(jobs, why)
	if first == nil {
		p.RequestedSpare = ""
		return nil
	}
	if m := y.cluster.Machines[p.RequestedSpare]; m != nil && y.mayRequestSpare(m, p, first) {
		return m // what was asked for goes on emptying
	}
	var best *cluster.Machine
	var soonest micros.Micros
	for _, m := range y.cluster.MachinesByName {
		if !y.mayRequestSpare(m, p, first) {
			continue
		}
		sm := y.view.schedulerMachine(m)
		if !sm.Free.Fits(first.Request) {
			continue
		}
		y.view.addAllocations(sm, m, nil)
		end := y.Now
		for _, u := range sm.Allocations {
			end = max(end, u.ExpectedEnd)
		}
		if best == nil || end < soonest {
			best, soonest = m, end
		}
	}
	p.RequestedSpare = ""
	if best != nil {
		p.RequestedSpare = best.Name
		y.LogInfo("spare machine requested", logkey.ForJob, first.ID, logkey.Machine, best.Name, logkey.Partition, best.Record.Partition, logkey.Tasks, len(best.TaskIDs))
	}
	return best
}

// oldestWithoutScaleOut is the job that has waited longest of those that a single
// machine would help, and for which nothing can be rented.
func (y *SchedulingCycle) oldestWithoutScaleOut(jobs map[string]*cluster.Job, why map[string]string) *cluster.Job {
	var first *cluster.Job
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		single := j.Spec.Kind == api.Array || j.Spec.Tasks == 1
		if why[id] != scheduler.ReasonNothingToLaunch || !single || j.HasStarted() || y.tasks.Deprioritized(j) {
			continue
		}
		if y.Now > j.EligibleAt()+micros.FromSeconds(y.Settings.Operators.BeginWithinS/6) && (first == nil || j.AcceptedAt < first.AcceptedAt) {
			first = j
		}
	}
	return first
}

// mayRequestSpare tells whether a machine of another partition may be asked for, for a job.
func (y *SchedulingCycle) mayRequestSpare(m *cluster.Machine, p *cluster.Partition, j *cluster.Job) bool {
	if m.Record.Partition == p.Index || m.MachineType == nil || m.Record.Condemned || m.ClaimedBy != "" || j.FailedMachines[m.Name] || y.reservations.reservedForPartition(m) >= 0 {
		return false
	}
	return scheduler.Allowed(&j.Spec, m.Record.Type, m.Record.Zone, m.Record.Spot)
}
