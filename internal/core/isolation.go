package core

import "spurmoor/internal/micros"

// isolationDuration is how long a controller that no worker reaches takes no role.
const isolationDuration = 20 * micros.Second

// workerContact notes that a worker reached us, of whatever partition.
func (c *Controller) workerContact() { c.lastWorkerContactAt = c.now }

// workerAnswered notes that a worker answered a direct command.
func (c *Controller) workerAnswered() {
	c.lastWorkerContactAt, c.isolatedFromWorkers = c.now, false
}

// isolate notes that no worker reaches us: no role is taken for a while.
func (c *Controller) isolate() {
	c.noFailoverBefore, c.isolatedFromWorkers = c.now+isolationDuration, true
}

// endIsolation notes that there is no worker to be reached.
func (c *Controller) endIsolation() { c.isolatedFromWorkers = false }

// resignIfIsolated gives our partitions up when no worker reaches us, whatever its machine's
// part, although another controller is well: the cut may be ours alone. The
// more machines we have the sooner it is certain. Judged by each machine's own
// silence, a controller that was cut off went on borrowing machines, each of
// which counted as heard, until the tasks on all of its own had run out of lease.
func (c *Controller) resignIfIsolated(up int) {
	quiet := c.now
	for _, p := range c.partitions {
		if p.Leads() {
			quiet = min(quiet, c.now-max(c.lastWorkerContactAt, p.AcquiredAt))
		}
	}
	enough := c.silenceTimeout() * 2 / 3
	if up >= 2 {
		enough = min(enough, max(5*micros.Second, 20*micros.FromSeconds(c.settings.Deployment.Workers.ReportS)/micros.Micros(up)))
	}
	if up < 2 || quiet < enough {
		c.unreachedSince = 0
		return
	}
	if c.unreachedSince == 0 {
		c.unreachedSince = c.now
	}
	if c.now < c.unreachedSince+2*micros.Second || !c.healthyPeerKnown() || c.now < c.noFailoverBefore {
		return
	}
	c.unreachedSince = 0
	c.isolate()
	for _, h := range c.roles {
		if h.Leads() {
			c.resignRole(h, "no worker reaches this controller")
		}
	}
}

// probeWorkers asks a few workers, after no worker reached us, whether one does again:
// none comes by itself to a controller that holds no part. Handed back after a
// set time, the partitions went without answers for as long again.
func (c *Controller) probeWorkers() {
	if !c.isolatedFromWorkers || c.now < c.nextProbeAt {
		return
	}
	c.nextProbeAt = c.now + 2*micros.Second
	sent := 0
	for i := range c.machinesByName {
		m := c.machinesByName[(c.nextProbeIndex+i)%len(c.machinesByName)]
		if m.address == "" || m.record.Condemned {
			continue
		}
		c.emit(probeCommand(m.name, m.address, max(1, m.incarnation)))
		if sent++; sent == 3 {
			c.nextProbeIndex += i + 1
			break
		}
	}
	if sent == 0 {
		c.endIsolation()
	}
}
