package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/scheduler"
)

// urgency is what a job is ranked by: its own priority and deadline, or those of
// the most urgent job that needs it.
type urgency struct {
	tier     int
	deadline scheduler.Deadline
}

// computeUrgencies works out every job's, by the replica.
func (c *Controller) computeUrgencies() {
	c.urgencies = map[string]urgency{}
	slowest := c.slowestFetchSPerGB()
	var of func(j *job) urgency
	of = func(j *job) urgency {
		if u, ok := c.urgencies[j.id]; ok {
			return u
		}
		u := urgency{tier: api.Tier(j.spec.Priority)}
		if j.spec.DeadlineS > 0 {
			u.deadline = scheduler.Deadline{SubmittedAt: j.acceptedAt, WithinS: j.spec.DeadlineS, Class: j.spec.Class}
		}
		if n := c.dependencies[j.id]; n != nil {
			for _, d := range n.dependents {
				if d.cancelled || d.terminal {
					continue // what it lent goes with it
				}
				lent := of(d)
				u.tier = max(u.tier, lent.tier)
				lent.deadline.DownstreamS += d.spec.EstimateS + d.spec.ImageGB*slowest
				if lent.deadline.WithinS > 0 && (u.deadline.WithinS == 0 || lent.deadline.Latest() < u.deadline.Latest()) {
					u.deadline = lent.deadline
				}
			}
		}
		c.urgencies[j.id] = u
		return u
	}
	for _, j := range c.jobs {
		of(j)
	}
}

// slowestFetchSPerGB is how many seconds the slowest type takes to fetch a gigabyte.
func (c *Controller) slowestFetchSPerGB() float64 {
	s := 0.0
	for _, t := range c.machineTypes {
		if t.FetchGBs > 0 {
			s = max(s, 1/t.FetchGBs)
		}
	}
	return s
}

// effectiveTier is the tier that a job is treated as having.
func (c *Controller) effectiveTier(j *job) int {
	if u, ok := c.urgencies[j.id]; ok {
		return u.tier
	}
	return api.Tier(j.spec.Priority)
}
