package scheduler

// Quota is a team's share of the partition. A zero amount in Guaranteed or Limit is none.
type Quota struct {
	Used, Guaranteed, Limit Resources

	reserved Resources // of the limit, for gangs that it makes wait
}

// tasksWithinLimit is how many of so many tasks the team's limit lets start.
func (q *Quota) tasksWithinLimit(request Resources, tasks int) int {
	left := q.Limit.Add(q.Used, -1).Add(q.reserved, -1)
	if q.Limit.CPU > 0 && request.CPU > 0 {
		tasks = min(tasks, int(max(0, left.CPU)/request.CPU))
	}
	if q.Limit.GPU > 0 && request.GPU > 0 {
		tasks = min(tasks, int(max(0, left.GPU)/request.GPU))
	}
	return tasks
}

// hasGuarantee tells whether the team is guaranteed anything.
func (q *Quota) hasGuarantee() bool {
	return q.Guaranteed.CPU != 0 || q.Guaranteed.GPU != 0
}

// guaranteesTasks tells whether so many more tasks stay within the team's guarantee.
func (q *Quota) guaranteesTasks(request Resources, tasks int) bool {
	if !q.hasGuarantee() {
		return false
	}
	used := q.Used.Add(request, int64(tasks))
	return (q.Guaranteed.CPU == 0 || used.CPU <= q.Guaranteed.CPU) &&
		(q.Guaranteed.GPU == 0 || used.GPU <= q.Guaranteed.GPU)
}

// KeepsGuaranteeWithout tells whether the team has its whole guarantee even without what
// is given.
func (q *Quota) KeepsGuaranteeWithout(given Resources) bool {
	if !q.hasGuarantee() {
		return false
	}
	return (q.Guaranteed.CPU == 0 || q.Used.CPU-given.CPU >= q.Guaranteed.CPU) &&
		(q.Guaranteed.GPU == 0 || q.Used.GPU-given.GPU >= q.Guaranteed.GPU)
}
