package core

import (
	"spurmoor/internal/sched"
	"spurmoor/internal/wire"
)

// urgency is what a job is ranked by: its own priority and deadline, or those of
// the most urgent job that needs it.
type urgency struct {
	tier int
	due  sched.Due
}

// urgencies works out every job's, by the replica.
func (c *Core) urgencies() {
	c.urgent = map[string]urgency{}
	slowest := c.slowest()
	var of func(j *job) urgency
	of = func(j *job) urgency {
		if u, ok := c.urgent[j.id]; ok {
			return u
		}
		u := urgency{tier: wire.Tier(j.spec.Priority)}
		if j.spec.DeadlineS > 0 {
			u.due = sched.Due{At: j.at, S: j.spec.DeadlineS, Class: j.spec.Class}
		}
		if n := c.needs[j.id]; n != nil {
			for _, d := range n.by {
				if d.cancelled || d.over {
					continue // what it lent goes with it
				}
				lent := of(d)
				u.tier = max(u.tier, lent.tier)
				lent.due.After += d.spec.EstimateS + d.spec.ImageGB*slowest
				if lent.due.S > 0 && (u.due.S == 0 || lent.due.Latest() < u.due.Latest()) {
					u.due = lent.due
				}
			}
		}
		c.urgent[j.id] = u
		return u
	}
	for _, j := range c.jobs {
		of(j)
	}
}

// slowest is how many seconds the slowest type takes to fetch a gigabyte.
func (c *Core) slowest() float64 {
	s := 0.0
	for _, t := range c.types {
		if t.FetchGBs > 0 {
			s = max(s, 1/t.FetchGBs)
		}
	}
	return s
}

// tier is the tier that a job is treated as having.
func (c *Core) tier(j *job) int {
	if u, ok := c.urgent[j.id]; ok {
		return u.tier
	}
	return wire.Tier(j.spec.Priority)
}
