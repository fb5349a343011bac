package core

import (
	"maps"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// chooseSpare is a machine of another partition with room for a job of ours that nothing can
// be rented for, and of which nothing has begun after a sixth of begin_within_s.
// A machine has one holder, so room beside another partition's tasks is no use to us: in
// a small, full cluster a team under its limit waited for two minutes beside it.
// It is asked for to be given when its tasks have ended; one at a time.
func (y *schedulingCycle) chooseSpare(p *partition, jobs map[string]*job, why map[string]string) *machine {
	first := y.oldestWithoutScaleOut(jobs, why)
	if first == nil {
		p.requestedSpare = ""
		return nil
	}
	if m := y.cluster.machines[p.requestedSpare]; m != nil && y.mayRequestSpare(m, p, first) {
		return m // what was asked for goes on emptying
	}
	var best *machine
	var soonest micros.Micros
	for _, m := range y.cluster.machinesByName {
		if !y.mayRequestSpare(m, p, first) {
			continue
		}
		sm := y.view.schedulerMachine(m)
		if !sm.Free.Fits(first.request) {
			continue
		}
		y.view.addAllocations(sm, m, nil)
		end := y.now
		for _, u := range sm.Allocations {
			end = max(end, u.ExpectedEnd)
		}
		if best == nil || end < soonest {
			best, soonest = m, end
		}
	}
	p.requestedSpare = ""
	if best != nil {
		p.requestedSpare = best.name
		y.logInfo("spare machine asked for", "for", first.id, "machine", best.name, "partition", best.record.Partition, "tasks", len(best.taskIDs))
	}
	return best
}

// oldestWithoutScaleOut is the job that has waited longest of those that a single
// machine would help, and for which nothing can be rented.
func (y *schedulingCycle) oldestWithoutScaleOut(jobs map[string]*job, why map[string]string) *job {
	var first *job
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		j := jobs[id]
		single := j.spec.Kind == api.Array || j.spec.Tasks == 1
		if why[id] != scheduler.ReasonNothingToLaunch || !single || j.hasStarted() || y.tasks.deprioritized(j) {
			continue
		}
		if y.now > j.eligibleAt()+micros.FromSeconds(y.settings.Operators.BeginWithinS/6) && (first == nil || j.acceptedAt < first.acceptedAt) {
			first = j
		}
	}
	return first
}

// mayRequestSpare tells whether a machine of another partition may be asked for, for a job.
func (y *schedulingCycle) mayRequestSpare(m *machine, p *partition, j *job) bool {
	if m.record.Partition == p.index || m.machineType == nil || m.record.Condemned || m.claimedBy != "" || j.failedMachines[m.name] || y.reservations.reservedForPartition(m) >= 0 {
		return false
	}
	return scheduler.Allowed(&j.spec, m.record.Type, m.record.Zone, m.record.Spot)
}
