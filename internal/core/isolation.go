package core

import (
	"spurmoor/internal/wire"
)

// stepDown gives our partitions up when no worker reaches us, whatever its machine's
// part, although another controller is well: the cut may be ours alone. The
// more machines we have the sooner it is certain. Judged by each machine's own
// silence, a controller that was cut off went on borrowing machines, each of
// which counted as heard, until the tasks on all of its own had run out of lease.
func (c *Core) stepDown(up int) {
	quiet := c.now
	for _, p := range c.partitions {
		if p.held {
			quiet = min(quiet, c.now-max(c.heardAt, p.tookAt))
		}
	}
	enough := c.silence() * 2 / 3
	if up >= 2 {
		enough = min(enough, max(5*Second, 20*secs(c.set.Facts.Workers.ReportS)/int64(up)))
	}
	if up < 2 || quiet < enough {
		c.unreached = 0
		return
	}
	if c.unreached == 0 {
		c.unreached = c.now
	}
	if c.now < c.unreached+2*Second || !c.othersAble() || c.now < c.noTakeoverBefore {
		return
	}
	c.unreached, c.noTakeoverBefore, c.cutOff = 0, c.now+20*Second, true
	for _, p := range c.partitions {
		if p.held {
			c.resignPartition(p, "no worker reaches this controller")
		}
	}
}

// probe asks a few workers, after no worker reached us, whether one does again:
// none comes by itself to a controller that holds no part. Handed back after a
// set time, the partitions went without answers for as long again.
func (c *Core) probe() {
	if !c.cutOff || c.now < c.probeAt {
		return
	}
	c.probeAt = c.now + 2*Second
	sent := 0
	for i := range c.order {
		m := c.order[(c.probed+i)%len(c.order)]
		if m.addr == "" || m.rec.Gone {
			continue
		}
		// Token 0 has nothing done.
		c.emit(SendCommands{Machine: m.name, Addr: m.addr, Body: wire.CommandRequest{Session: max(1, m.session), Commands: []wire.Command{}}})
		if sent++; sent == 3 {
			c.probed += i + 1
			break
		}
	}
	if sent == 0 {
		c.cutOff = false
	}
}
