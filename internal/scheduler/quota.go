package scheduler

// Quota is what a team uses and may use. A zero CPU or GPU amount in Guaranteed means no
// guarantee for that resource; in Limit it means no limit. Memory is not restricted.
type Quota struct {
	Used, Guaranteed, Limit Resources

	reservedForGang Resources // part of Limit that is kept for a gang that waits because of the limit
}

// tasksWithinLimit returns how many of the given number of tasks may start within the
// team's limit.
func (q *Quota) tasksWithinLimit(request Resources, tasks int) int {
	left := q.Limit.AddScaled(q.Used, -1).AddScaled(q.reservedForGang, -1)
	if q.Limit.MilliCPU > 0 && request.MilliCPU > 0 {
		tasks = min(tasks, int(max(0, left.MilliCPU)/request.MilliCPU))
	}
	if q.Limit.MilliGPU > 0 && request.MilliGPU > 0 {
		tasks = min(tasks, int(max(0, left.MilliGPU)/request.MilliGPU))
	}
	return tasks
}

// hasGuarantee reports whether the team has a guarantee for any resource.
func (q *Quota) hasGuarantee() bool {
	return q.Guaranteed.MilliCPU != 0 || q.Guaranteed.MilliGPU != 0
}

// guaranteeCovers reports whether the team stays within its guarantee with the given number
// of additional tasks. It is false for a team without a guarantee.
func (q *Quota) guaranteeCovers(request Resources, tasks int) bool {
	if !q.hasGuarantee() {
		return false
	}
	used := q.Used.AddScaled(request, int64(tasks))
	return (q.Guaranteed.MilliCPU == 0 || used.MilliCPU <= q.Guaranteed.MilliCPU) &&
		(q.Guaranteed.MilliGPU == 0 || used.MilliGPU <= q.Guaranteed.MilliGPU)
}

// KeepsGuaranteeWithout reports whether the team still uses at least its guarantee after it
// releases the given resources. It is false for a team without a guarantee.
func (q *Quota) KeepsGuaranteeWithout(released Resources) bool {
	if !q.hasGuarantee() {
		return false
	}
	return (q.Guaranteed.MilliCPU == 0 || q.Used.MilliCPU-released.MilliCPU >= q.Guaranteed.MilliCPU) &&
		(q.Guaranteed.MilliGPU == 0 || q.Used.MilliGPU-released.MilliGPU >= q.Guaranteed.MilliGPU)
}
