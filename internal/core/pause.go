package core

// pauseAfter is the gap between two inputs that counts as a pause of the
// process. Ticks come every tenth of a second.
const pauseAfter = 2 * Second

// notePause logs that the process did not run for a while although its clock
// did, as after a virtual machine was suspended.
func (c *Core) notePause(previous int64) {
	if previous == 0 || c.now-previous < pauseAfter {
		return
	}
	c.warn("process was paused", "for_s", (c.now-previous)/Second, "lease_valid", c.leaseValid())
}

// leaseValid tells whether our lease is known to hold now. Nothing is decided
// without it: a controller that resumed after a long pause judged its machines
// by its clock before it learned that others had taken its partition over, and
// until then reported all their tasks as gone.
func (c *Core) leaseValid() bool {
	return c.leasedAt > 0 && c.now < c.leasedAt+c.ttl()
}
