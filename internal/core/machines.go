package core

import (
	"fmt"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// fencingToken is what a machine's worker must obey: the later of the partition's
// take-over and the record's floor. Revisions only rise.
func (c *Controller) fencingToken(m *machine) uint64 {
	return max(c.partitions[m.record.Partition].Term, m.record.MinToken)
}

// ledPartition gives a machine's partition if we hold it.
func (c *Controller) ledPartition(m *machine) *partition {
	if m.record.Partition < 0 || m.record.Partition >= len(c.partitions) || !c.partitions[m.record.Partition].Leads() {
		return nil
	}
	return c.partitions[m.record.Partition]
}

// heartbeatsMissing tells whether a machine answers direct commands while its reports have
// long failed to come: its lease will run out. Two controllers that are cut off
// may hold a report up for five seconds each.
func (c *Controller) heartbeatsMissing(m *machine) bool {
	return m.lastHeartbeatAt > 0 && c.now > m.lastHeartbeatAt+c.contactTimeout()+10*micros.Second
}

// allTasksEnded tells whether the worker shows nothing but ended tasks.
func (m *machine) allTasksEnded() bool {
	return !slices.ContainsFunc(m.reportedTasks, func(r api.TaskStatus) bool { return r.State != api.TaskExited })
}

func (m *machine) taskIDsCopy() []taskID {
	return slices.Clone(m.taskIDs)
}

// cacheImage notes an image in the machine's cache, the latest used last.
func (m *machine) cacheImage(name string, gb float64) {
	m.cachedImages = slices.DeleteFunc(m.cachedImages, func(i cachedImage) bool { return i.name == name })
	m.cachedImages = append(m.cachedImages, cachedImage{name, gb})
	room := 0.0
	if m.machineType != nil {
		room = m.machineType.CacheGB
	}
	for i := len(m.cachedImages) - 1; i >= 0; i-- {
		if room -= m.cachedImages[i].sizeGB; room < 0 {
			m.cachedImages = m.cachedImages[i+1:]
			return
		}
	}
}

// reconcileMachines looks after the machines of the partitions that we hold.
func (c *Controller) reconcileMachines() {
	silent, up := 0, 0
	silence := c.silenceTimeout()
	for _, m := range c.machinesByName {
		p := c.ledPartition(m)
		if p == nil {
			continue
		}
		if m.firstHeartbeatAt > 0 {
			up++
			if c.now > c.silenceCountsFrom(m.lastSeenAt)+silence*2/3 {
				silent++
			}
		}
		if m.nextCommandAt <= c.now && !m.commandInFlight && c.mayAnswerFor(p) {
			c.sendDueCommands(m)
		}
	}
	cut := up >= 2 && silent*2 > up
	c.resignIfIsolated(up)
	for _, m := range c.machinesByName {
		if c.ledPartition(m) != nil {
			c.reconcileMachine(m, cut)
		}
	}
}

// silenceTimeout is how long a machine may say nothing: a report may be lost, given
// up on after 4 s and be sent again elsewhere a second later.
func (c *Controller) silenceTimeout() micros.Micros {
	return micros.FromSeconds(max(c.settings.Operators.SilenceS, 1.25*c.settings.Deployment.Workers.ReportS+6))
}

// heartbeatDue is the longest time between two reports of a worker that is well.
func (c *Controller) heartbeatDue() micros.Micros {
	return micros.FromSeconds(1.25*c.settings.Deployment.Workers.ReportS) + micros.Second
}

// reconcileMachine looks after one machine of ours. cut: most machines are silent, so
// that silence says nothing of a single one. Without a lease that is known to hold no
// machine is judged, for another controller may have it by now; but tasks on one that
// will be taken are told to save in an outage as well.
func (c *Controller) reconcileMachine(m *machine, cut bool) {
	judges := c.leaseValid()
	if judges && c.now > m.leaseExpiresAt && len(m.taskIDs) > 0 {
		c.logInfo("machine's lease ran out", "machine", m.name, "tasks", len(m.taskIDs))
		c.releaseTasks(m, "its lease ran out")
	}
	if m.record.Condemned {
		c.dropDeletedRecord(m)
		return
	}
	c.maintainRecord(m)
	if why := c.removalReason(m, cut); judges && why != "" {
		c.scaleIn(m, why)
	} else {
		c.drainOrRelease(m)
	}
	c.expireClaim(m)
}

// dropDeletedRecord has the record of a machine that the cloud deleted forgotten.
func (c *Controller) dropDeletedRecord(m *machine) {
	if !m.deleteConfirmed || m.recordChangePending() {
		return
	}
	c.releaseTasks(m, "deleted")
	if c.isEmptyAndCommitted(m) {
		c.requestRecordChange(m, dropRecord)
	}
}

// maintainRecord has a machine's record copied into our log, or its token raised.
func (c *Controller) maintainRecord(m *machine) {
	if m.origin.partition != m.record.Partition && !m.recordChangePending() {
		c.requestRecordChange(m, copyRecord)
	}
	if m.startOutcomeUnknown && !m.recordChangePending() {
		m.startOutcomeUnknown = false
		c.requestRecordChange(m, raiseToken)
	}
}

// removalReason says why a machine is returned for what it does not do; "" if it is
// not.
func (c *Controller) removalReason(m *machine, cut bool) string {
	boot := unknownBootS
	if m.machineType != nil {
		boot = m.machineType.BootS
	}
	waited := c.now > c.silenceCountsFrom(m.awaitedSince)+c.silenceTimeout()+8*micros.Second
	switch overdue := waited && c.bootOverdue(m); {
	case overdue && c.now > m.launchedAt+micros.FromSeconds(boot*3+20):
		return "never came up"
	case overdue && !c.partitions[m.record.Partition].hasBlockedJobs:
		return "overdue, and nothing waits for it"
	case m.firstHeartbeatAt > 0 && !cut && c.now > c.silenceCountsFrom(m.lastSeenAt)+c.silenceTimeout():
		return "silent"
	case m.ignoringSince > 0 && c.now > c.silenceCountsFrom(m.ignoringSince)+c.silenceTimeout()+micros.FromSeconds(c.settings.Deployment.Workers.ReportS):
		return "does nothing that it is told"
	}
	return ""
}

// unknownBootS is the boot time taken for a machine of an unknown type, in seconds.
const unknownBootS = 60.0

// minIdleAge is how old a machine must be to be returned as idle: one that is deleted
// costs a minute in any case.
const minIdleAge = 50 * micros.Second

// drainOrRelease drains a machine, gives it to whom it is meant for, or returns it.
func (c *Controller) drainOrRelease(m *machine) {
	switch {
	case m.interruptionAt > 0 || m.quarantined:
		c.drain(m)
	case c.reservedForPartition(m) >= 0 && m.moveToPartition < 0:
		c.enforceReservation(m)
	case m.moveToPartition >= 0:
		c.advanceMove(m)
	case m.tokenConfirmed && len(m.taskIDs) == 0 && m.claimedBy == "" && c.now > m.idleSince+micros.FromSeconds(c.settings.Operators.IdleReturnS) && c.now > m.launchedAt+minIdleAge:
		c.scaleIn(m, "idle")
	}
}

// drain empties a machine that will be taken or is faulty, and returns it.
func (c *Controller) drain(m *machine) {
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		if t := j.task(id.index); !m.quarantined && j.spec.CheckpointIntervalS > 0 && t.stopRequestedAt == 0 {
			c.requestTaskStop(j, t, "the machine will be taken")
		}
	}
	if len(m.taskIDs) == 0 && m.allTasksEnded() {
		c.scaleIn(m, "drained")
	}
}

// advanceMove empties a machine that goes to another partition, and lends it there.
func (c *Controller) advanceMove(m *machine) {
	for _, id := range m.taskIDsCopy() {
		j := c.jobs[id.job]
		if t := j.task(id.index); m.preemptForMove {
			c.requestTaskStop(j, t, "the machine goes to another partition")
		}
	}
	if len(m.taskIDs) == 0 && m.tokenConfirmed {
		c.transferMachine(m, m.moveToPartition)
	}
}

// expireClaim ends a claim with the job's start there (plan), its time, or its need.
// It ended with the job's first task anywhere once: two partitions then took a machine
// from each other three times a second.
func (c *Controller) expireClaim(m *machine) {
	if m.claimedBy == "" {
		return
	}
	if j := c.jobs[m.claimedBy]; c.now > m.claimExpiresAt || j == nil || j.placedTasks+j.doneTasks == j.spec.Tasks {
		m.claimedBy = ""
	}
}

// releaseTasks takes in that all on a machine is gone.
func (c *Controller) releaseTasks(m *machine, why string) {
	for _, id := range m.taskIDsCopy() {
		if j := c.jobs[id.job]; j != nil && c.partitions[j.partition].Leads() {
			c.taskGone(j, id.index, why)
		}
	}
}

// scaleIn marks a machine for deletion: from then on it is never used again,
// by whoever holds its partition.
func (c *Controller) scaleIn(m *machine, why string) {
	if m.recordChangePending() || m.record.Condemned {
		return
	}
	c.logInfo("machine returned", "machine", m.name, "type", m.record.Type, "why", why, "tasks", len(m.taskIDs), "age_s", (c.now - m.launchedAt).WholeSeconds())
	c.requestRecordChange(m, condemnRecord)
}

// isEmptyAndCommitted tells whether a machine has no tasks and that is committed. A
// machine lent while the record still named a task on it was seen to start
// that task for the borrower, after its owner had placed it elsewhere. Every job
// whose tasks left is looked at: stopping at the first that is not committed left
// it to the order of a map which were still looked at later (random day 1026).
func (c *Controller) isEmptyAndCommitted(m *machine) bool {
	if len(m.taskIDs) > 0 {
		return false
	}
	for id := range m.departedJobs {
		if j := c.jobs[id]; j == nil || j.terminal || j.changedTasks == 0 {
			delete(m.departedJobs, id)
		}
	}
	return len(m.departedJobs) == 0
}

// deletionLog remembers the machines whose records were deleted, so that lagging lists
// do not bring them back.
type deletionLog struct {
	deletedAt map[string]micros.Micros
	byTime    []string // by time
}

// deletionMemory is how long a deletion is remembered.
const deletionMemory = 120 * micros.Second

// recordDeletion remembers a deletion, and forgets those of long ago.
func (c *Controller) recordDeletion(name string) {
	d := &c.recentDeletions
	d.deletedAt[name] = c.now
	d.byTime = append(d.byTime, name)
	old := 0
	for old < len(d.byTime) && c.now > d.deletedAt[d.byTime[old]]+deletionMemory {
		delete(d.deletedAt, d.byTime[old])
		old++
	}
	d.byTime = slices.Delete(d.byTime, 0, old)
}

// recentlyDeleted tells whether a machine's record was deleted not long ago.
func (c *Controller) recentlyDeleted(name string) bool {
	at, ok := c.recentDeletions.deletedAt[name]
	return ok && c.now < at+deletionMemory
}

// kindName names a kind in the log.
type kindName scheduler.InstanceKind

func (k kindName) String() string {
	return fmt.Sprintf("%s/%s/spot=%t", k.Type, k.Zone, k.Spot)
}
