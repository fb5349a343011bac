package core

import "spurmoor/internal/micros"

// writeBudget is how many changes a controller may make: a share of what the
// state service admits, by the partitions held. Users' accepts and cancellations
// are not held back by it but count, so that they never wait behind flushes.
type writeBudget struct {
	available     float64
	refilledAt    micros.Micros
	capacity      float64 // that it may hold
	spent         float64 // spent in all
	measuredSpent float64 // of it, when it was looked at last
	measuredAt    micros.Micros
	spendRate     float64 // spent a second of late
}

// commitBatchWait is how long a flush may wait for its budget to hold all ends that are
// due, as far as a transaction does: each costs an entry beside them. With four
// one-task jobs a second over 18 changes the entries took what the ends needed.
const commitBatchWait = micros.Second * 8 / 5

// cancelledTerminalWait is how long the final state of a cancelled job may wait for a budget
// that others need.
const cancelledTerminalWait = 300 * micros.Second

// writeRateShare is how many changes a second we may make: a fixed share, by the partitions held,
// and what the others said they do not use. All the same may want it at once: then
// some are refused and repeated until each has heard of the others.
func (c *Controller) writeRateShare() float64 {
	held := 0
	for _, p := range c.partitions {
		if p.Leads() {
			held++
		}
	}
	all := c.settings.Deployment.Store.WriteRPS
	fixed := all * (0.1 + 0.65*float64(held)/float64(len(c.partitions)))
	free := 0.9 * all
	for _, node := range c.settings.Nodes {
		if node == c.settings.Node {
			continue
		}
		h := c.peers[node]
		if h == nil || c.now > h.lastHeartbeatAt+3*micros.Second || h.writeRate == 0 {
			return fixed // not known: one that was not heard may use its share
		}
		free -= max(h.writeRate*1.2, 0.1*all)
	}
	return max(fixed, min(free, 0.8*all))
}

// refillBudget adds what the time since the last call allows at a rate of changes a second.
func (c *Controller) refillBudget(rate float64) {
	c.budget.capacity = max(rate, 6)
	c.budget.available = min(c.budget.capacity, c.budget.available+rate*(c.now-c.budget.refilledAt).Seconds())
	c.budget.refilledAt = c.now
}

// charge counts changes that were held back until the budget had room for them.
func (b *writeBudget) charge(n int) {
	b.available -= float64(n)
	b.spent += float64(n)
}

// measureWriteRate gives how many changes a second were made of late.
func (c *Controller) measureWriteRate() float64 {
	if w := &c.budget; c.now >= w.measuredAt+micros.Second {
		w.spendRate = (w.spendRate + (w.spent-w.measuredSpent)*float64(micros.Second)/float64(c.now-w.measuredAt)) / 2
		w.measuredSpent, w.measuredAt = w.spent, c.now
	}
	return c.budget.spendRate
}

// chargeWrites counts changes made for users.
func (c *Controller) chargeWrites(n int) {
	c.budget.spent += float64(n)
	c.budget.available = max(-c.settings.Deployment.Store.WriteRPS/2, c.budget.available-float64(n))
}
