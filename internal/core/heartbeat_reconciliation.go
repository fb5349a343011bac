package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

// maxEndedTasks is how many ended tasks a worker holds before its token rises so
// that they can be forgotten.
const maxEndedTasks = 12

// heartbeatReconciler is a worker's report while it is taken in, with the commands that bring
// the worker to what is recorded.
type heartbeatReconciler struct {
	*reconciler
	machine     *machine
	heartbeat   *api.Heartbeat
	renewsLease bool // its answer keeps the lease; else it answers a direct command
	mayForget   bool // ended tasks may be forgotten
	observed    map[taskID]bool
	commands    []api.Command
}

// reconcileHeartbeat takes in what a worker says of its tasks and gives the commands that
// bring it to what is recorded. Only the answer to a report may start tasks,
// and only a report proves a task absent: a direct command's answer may be
// older than a start that rides in a report's answer.
func (c *reconciler) reconcileHeartbeat(m *machine, r *api.Heartbeat, viaReport bool) []api.Command {
	c.observeIncarnation(m, r.Incarnation)
	m.heartbeatSequence = r.Sequence
	// Its session, or the answer that keeps it, is no later than now. Counting
	// from our own answers alone took a machine for dead that had booted for
	// longer than a lease and was heard through a direct command first.
	m.leaseExpiresAt = max(m.leaseExpiresAt, c.now+c.settings.workerLease()+micros.Second/2)
	in := &heartbeatReconciler{reconciler: c, machine: m, heartbeat: r, renewsLease: viaReport, observed: map[taskID]bool{}, commands: []api.Command{}}
	if r.FencingToken != c.cluster.fencingToken(m) {
		in.stopCancelled()
		return in.commands
	}
	in.observeMachine()
	in.decideForgetting()
	for _, tr := range r.Tasks {
		in.reconcileReported(tr)
	}
	for _, id := range m.taskIDsCopy() {
		if !in.observed[id] {
			in.reconcileAbsent(id)
		}
	}
	if viaReport {
		m.trackRepeatedCommands(c.now, in.commands)
	}
	return in.commands
}

// addCommand adds a command for the worker.
func (in *heartbeatReconciler) addCommand(op string, id taskID, attempt uint64, grace *float64) {
	if len(in.commands) < maxCommands {
		in.commands = append(in.commands, api.Command{Op: op, Task: id.String(), Attempt: attempt, GraceS: grace})
	}
}

// addStop has a task stopped without time to save.
func (in *heartbeatReconciler) addStop(id taskID, attempt uint64) {
	grace := 0.0
	in.addCommand(api.CommandStop, id, attempt, &grace)
}

// stopCancelled answers a report that does not bear our token. Perhaps it is a
// copy from before our time that comes late: it shows where the worker was and
// nothing else. The answer, or a direct command, raises its token if it is there.
// Taken for news, such a copy proved tasks gone that had been started since. What
// it must not run any more it is told at once: its lease is never renewed without
// that.
func (in *heartbeatReconciler) stopCancelled() {
	for _, tr := range in.heartbeat.Tasks {
		id, ok := parseTaskID(tr.Task)
		if !ok || tr.State == api.TaskExited {
			continue
		}
		if j := in.cluster.jobs[id.job]; j != nil && j.mustNotRun() {
			in.addStop(id, tr.Attempt)
		}
	}
}

// observeMachine takes in what a report says of the machine itself.
func (in *heartbeatReconciler) observeMachine() {
	c, m, r := in.reconciler, in.machine, in.heartbeat
	m.lastSeenAt, m.reportedTasks = c.now, r.Tasks
	if m.firstHeartbeatAt == 0 {
		m.firstHeartbeatAt, m.idleSince = c.now, c.now
		c.boots.recordBoot(m)
		c.logInfo("machine up", "machine", m.name, "type", m.record.Type, "zone", m.record.Zone, "spot", m.record.Spot, "after_s", (c.now - m.launchedAt).WholeSeconds())
		c.trigger.requestPlanWithin(0)
	}
	if !m.tokenConfirmed {
		m.tokenConfirmed = true
		c.trigger.requestPlanWithin(0)
	}
	if r.InterruptionNoticeS != nil && m.interruptionAt == 0 {
		m.interruptionAt = c.now + micros.FromSeconds(*r.InterruptionNoticeS)
		c.logInfo("machine will be taken", "machine", m.name, "in_s", *r.InterruptionNoticeS, "tasks", len(m.taskIDs))
		c.trigger.requestPlanWithin(0)
	}
}

// decideForgetting works out whether ended tasks may be forgotten. A direct start may be
// repeated long after it was carried out. As long as its worker holds the attempt
// that has no effect; once forgotten, it would start anew. So tasks are forgotten
// only under a token higher than that of any direct start there; it rises when
// enough of them wait for it.
func (in *heartbeatReconciler) decideForgetting() {
	in.mayForget = in.heartbeat.FencingToken > in.machine.highestStartToken
	ended := 0
	for _, tr := range in.heartbeat.Tasks {
		if tr.State == api.TaskExited {
			ended++
		}
	}
	if !in.mayForget && ended >= maxEndedTasks && !in.machine.recordChangePending() {
		in.machine.startOutcomeUnknown = true
	}
}

// reconcileReported takes in one task that the worker shows.
func (in *heartbeatReconciler) reconcileReported(tr api.TaskStatus) {
	id, ok := parseTaskID(tr.Task)
	if !ok {
		return
	}
	j := in.cluster.jobs[id.job]
	var t *task
	if j != nil {
		t = j.task(id.index)
	}
	switch {
	case t == nil || t.state != taskPlaced || t.machine != in.machine.name || t.attempt != tr.Attempt:
		in.reconcileUnrecorded(j, id, tr)
	case j.partition != in.machine.record.Partition:
		// Only its own partition's holder acts on a task.
	default:
		in.reconcileRecorded(j, id, t, tr)
	}
}

// reconcileUnrecorded answers a task that is not recorded on this machine.
func (in *heartbeatReconciler) reconcileUnrecorded(j *job, id taskID, tr api.TaskStatus) {
	exited := tr.State == api.TaskExited
	switch {
	case j != nil && j.mustNotRun() && !exited:
		in.addStop(id, tr.Attempt)
	case j != nil && !j.terminal && !j.isCommitted(id.index):
		// What is decided of it is being committed.
	case !exited:
		in.addStop(id, tr.Attempt)
	case in.mayForget:
		in.addCommand(api.CommandForget, id, tr.Attempt, nil)
	}
}

// reconcileRecorded takes in the state of a task that is recorded on this machine.
func (in *heartbeatReconciler) reconcileRecorded(j *job, id taskID, t *task, tr api.TaskStatus) {
	c, m := in.reconciler, in.machine
	in.observed[id] = true
	t.observed = true
	if tr.State == api.TaskExited {
		c.tasks.taskExited(j, id.index, t, m, tr)
		return
	}
	if t.reportedState != tr.State && (tr.State == api.JobRunning || tr.State == api.TaskWaiting) {
		m.cacheImage(j.spec.Image, j.spec.ImageGB)
		if tr.State == api.JobRunning {
			t.runningSince = c.now
			c.logDebug("task running", "task", tr.Task, "machine", m.name, "after_s", (c.now - t.placedAt).WholeSeconds())
		}
	}
	t.reportedState = tr.State
	if !c.tasks.mustStop(j, t) {
		return
	}
	if grace := c.tasks.graceFor(j, t); tr.State != api.Checkpointing || grace == 0 {
		in.addCommand(api.CommandStop, id, tr.Attempt, &grace)
	}
}

// reconcileAbsent takes in that a task recorded on this machine is not in its report: it
// is gone, or still to be started.
func (in *heartbeatReconciler) reconcileAbsent(id taskID) {
	c, r := in.reconciler, in.heartbeat
	j := c.cluster.jobs[id.job]
	t := j.task(id.index)
	switch {
	case !in.renewsLease || !j.isCommitted(id.index) || j.partition != in.machine.record.Partition:
	case !t.observed && t.directStartToken >= r.FencingToken && c.tasks.mustStop(j, t):
		// A direct start may still come; it counts as here until then.
	case t.observed || c.tasks.mustStop(j, t):
		c.tasks.taskGone(j, id.index, "no longer reported")
	case c.tasks.mayStartOn(in.machine, j) && (t.directStartToken == 0 || t.directStartToken < r.FencingToken):
		// Not while a direct copy may come after this one was forgotten.
		in.addCommand(api.CommandStart, id, t.attempt, nil)
	}
}

// observeIncarnation takes in the session that a worker says it is in. Sessions only rise,
// so a higher one proves gone whatever was seen in an earlier one, whoever says
// it and however late; nothing told in the earlier one is carried out any more.
// Proven by reports alone, tasks on a machine that only direct commands reached
// were taken to run on for as long as that lasted.
func (c *reconciler) observeIncarnation(m *machine, session uint64) {
	if session <= m.incarnation {
		return
	}
	m.incarnation, m.cachedImages = session, nil
	for _, id := range m.taskIDsCopy() {
		j := c.cluster.jobs[id.job]
		t := j.task(id.index)
		t.directStartToken = 0 // direct starts name the session
		if t.observed && c.cluster.ledPartition(m) != nil && j.partition == m.record.Partition {
			c.tasks.taskGone(j, id.index, "its worker's session ended")
		}
	}
}
