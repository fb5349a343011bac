package core

import "spurmoor/internal/micros"

// pauseThreshold is the gap between two inputs that counts as a pause of the
// process. Ticks come every tenth of a second.
const pauseThreshold = 2 * micros.Second

// peerGracePeriod is how long after a pause a controller waits for the others'
// heartbeats before it takes their silence for theirs.
const peerGracePeriod = 3 * micros.Second

// detectPause logs that the process did not run for a while although its clock
// did, as after a virtual machine was suspended.
func (c *Controller) detectPause(previous micros.Micros) {
	if previous == 0 || c.now-previous < pauseThreshold {
		return
	}
	c.answeringSince = 0
	c.resumedAt = c.now
	c.logWarn("process was paused", "for_s", (c.now - previous).WholeSeconds(), "lease_valid", c.leaseValid())
}

// justResumed tells whether the process stood still so lately that it can't have
// heard from the others since. One that resumed after its lease, but within its answer
// deadline, once took their silence during its own pause for an outage of all, and
// answered workers that another controller commanded by then.
func (c *Controller) justResumed() bool {
	return c.resumedAt > 0 && c.now < c.resumedAt+peerGracePeriod
}

// leaseValid tells whether our lease is known to hold now. Nothing is decided
// without it: a controller that resumed after a long pause judged its machines
// by its clock before it learned that others had taken its partition over, and
// until then reported all their tasks as gone.
func (c *Controller) leaseValid() bool { return c.lease.Valid(c.now) }

// trackAnswering notes since when reports can be answered.
func (c *Controller) trackAnswering() {
	switch {
	case !c.synced || !c.mayAnswerHeartbeats():
		c.answeringSince = 0
	case c.answeringSince == 0:
		c.answeringSince = c.now
	}
}

// silenceCountsFrom gives a time from which a machine's silence may be counted: none that was
// ours. After an outage of 70 s in which no report could be answered, 77 of some 390
// machines were returned as silent before their reports came again.
func (c *Controller) silenceCountsFrom(at micros.Micros) micros.Micros {
	return max(at, c.answeringSince)
}
