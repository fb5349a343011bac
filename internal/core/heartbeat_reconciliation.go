package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// maxEndedTasks is how many ended tasks a worker holds before its token rises so
// that they can be forgotten.
const maxEndedTasks = 12

// heartbeatReconciler is a worker's report while it is taken in, with the commands that bring
// the worker to what is recorded.
type heartbeatReconciler struct {
	*reconciler
	machine     *cluster.Machine
	heartbeat   *api.Heartbeat
	renewsLease bool // its answer keeps the lease; else it answers a direct command
	mayForget   bool // ended tasks may be forgotten
	observed    map[cluster.TaskID]bool
	commands    []api.Command
}

// reconcileHeartbeat takes in what a worker says of its tasks and gives the commands that
// bring it to what is recorded. Only the answer to a report may start tasks,
// and only a report proves a task absent: a direct command's answer may be
// older than a start that rides in a report's answer.
func (c *reconciler) reconcileHeartbeat(m *cluster.Machine, r *api.Heartbeat, viaReport bool) []api.Command {
	c.observeIncarnation(m, r.Incarnation)
	m.HeartbeatSequence = r.Sequence
	// Its session, or the answer that keeps it, is no later than now. Counting
	// from our own answers alone took a machine for dead that had booted for
	// longer than a lease and was heard through a direct command first.
	m.LeaseExpiresAt = max(m.LeaseExpiresAt, c.Now+c.Settings.WorkerLease()+micros.Second/2)
	in := &heartbeatReconciler{reconciler: c, machine: m, heartbeat: r, renewsLease: viaReport, observed: map[cluster.TaskID]bool{}, commands: []api.Command{}}
	if r.FencingToken != c.cluster.FencingToken(m) {
		in.stopCancelled()
		return in.commands
	}
	in.observeMachine()
	in.decideForgetting()
	for _, tr := range r.Tasks {
		in.reconcileReported(tr)
	}
	for _, id := range m.TaskIDsCopy() {
		if !in.observed[id] {
			in.reconcileAbsent(id)
		}
	}
	if viaReport {
		m.TrackRepeatedCommands(c.Now, in.commands)
	}
	return in.commands
}

// addCommand adds a command for the worker.
func (in *heartbeatReconciler) addCommand(op api.CommandOp, id cluster.TaskID, attempt uint64, grace *float64) {
	if len(in.commands) < planning.MaxCommands {
		in.commands = append(in.commands, api.Command{Op: op, Task: id.String(), Attempt: attempt, GraceS: grace})
	}
}

// addStop has a task stopped without time to save.
func (in *heartbeatReconciler) addStop(id cluster.TaskID, attempt uint64) {
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
		id, ok := cluster.ParseTaskID(tr.Task)
		if !ok || tr.State == api.TaskExited {
			continue
		}
		if j := in.cluster.Jobs[id.Job]; j != nil && j.MustNotRun() {
			in.addStop(id, tr.Attempt)
		}
	}
}

// observeMachine takes in what a report says of the machine itself.
func (in *heartbeatReconciler) observeMachine() {
	c, m, r := in.reconciler, in.machine, in.heartbeat
	m.LastSeenAt, m.ReportedTasks = c.Now, r.Tasks
	if m.FirstHeartbeatAt == 0 {
		m.FirstHeartbeatAt, m.IdleSince = c.Now, c.Now
		c.boots.RecordBoot(m)
		c.LogInfo("machine up", logkey.Machine, m.Name, logkey.Type, m.Record.Type, logkey.Zone, m.Record.Zone, logkey.Spot, m.Record.Spot, logkey.AfterS, (c.Now - m.LaunchedAt).WholeSeconds())
		c.trigger.RequestCycleWithin(0)
	}
	if !m.TokenConfirmed {
		m.TokenConfirmed = true
		c.trigger.RequestCycleWithin(0)
	}
	if r.InterruptionNoticeS != nil && m.InterruptionAt == 0 {
		m.InterruptionAt = c.Now + micros.FromSeconds(*r.InterruptionNoticeS)
		c.LogInfo("machine interruption notice", logkey.Machine, m.Name, logkey.InS, *r.InterruptionNoticeS, logkey.Tasks, len(m.TaskIDs))
		c.trigger.RequestCycleWithin(0)
	}
}

// decideForgetting works out whether ended tasks may be forgotten. A direct start may be
// repeated long after it was carried out. As long as its worker holds the attempt
// that has no effect; once forgotten, it would start anew. So tasks are forgotten
// only under a token higher than that of any direct start there; it rises when
// enough of them wait for it.
func (in *heartbeatReconciler) decideForgetting() {
	in.mayForget = in.heartbeat.FencingToken > in.machine.HighestStartToken
	ended := 0
	for _, tr := range in.heartbeat.Tasks {
		if tr.State == api.TaskExited {
			ended++
		}
	}
	if !in.mayForget && ended >= maxEndedTasks && !in.machine.RecordChangePending() {
		in.machine.StartOutcomeUnknown = true
	}
}

// reconcileReported takes in one task that the worker shows.
func (in *heartbeatReconciler) reconcileReported(tr api.TaskStatus) {
	id, ok := cluster.ParseTaskID(tr.Task)
	if !ok {
		return
	}
	j := in.cluster.Jobs[id.Job]
	var t *cluster.Task
	if j != nil {
		t = j.Task(id.Index)
	}
	switch {
	case t == nil || t.State != cluster.TaskPlaced || t.Machine != in.machine.Name || t.Attempt != tr.Attempt:
		in.reconcileUnrecorded(j, id, tr)
	case j.Partition != in.machine.Record.Partition:
		// Only its own partition's holder acts on a task.
	default:
		in.reconcileRecorded(j, id, t, tr)
	}
}

// reconcileUnrecorded answers a task that is not recorded on this machine.
func (in *heartbeatReconciler) reconcileUnrecorded(j *cluster.Job, id cluster.TaskID, tr api.TaskStatus) {
	exited := tr.State == api.TaskExited
	switch {
	case j != nil && j.MustNotRun() && !exited:
		in.addStop(id, tr.Attempt)
	case j != nil && !j.Terminal && !j.IsCommitted(id.Index):
		// What is decided of it is being committed.
	case !exited:
		in.addStop(id, tr.Attempt)
	case in.mayForget:
		in.addCommand(api.CommandForget, id, tr.Attempt, nil)
	}
}

// reconcileRecorded takes in the state of a task that is recorded on this machine.
func (in *heartbeatReconciler) reconcileRecorded(j *cluster.Job, id cluster.TaskID, t *cluster.Task, tr api.TaskStatus) {
	c, m := in.reconciler, in.machine
	in.observed[id] = true
	t.Observed = true
	if tr.State == api.TaskExited {
		c.tasks.TaskExited(j, id.Index, t, m, tr)
		return
	}
	if t.ReportedState != tr.State && (tr.State == api.TaskRunning || tr.State == api.TaskWaiting) {
		m.CacheImage(j.Spec.Image, j.Spec.ImageGB)
		if tr.State == api.TaskRunning {
			t.RunningSince = c.Now
			c.LogDebug("task running", logkey.Task, tr.Task, logkey.Machine, m.Name, logkey.AfterS, (c.Now - t.PlacedAt).WholeSeconds())
		}
	}
	t.ReportedState = tr.State
	if !c.tasks.MustStop(j, t) {
		return
	}
	if grace := c.tasks.GraceFor(j, t); tr.State != api.TaskCheckpointing || grace == 0 {
		in.addCommand(api.CommandStop, id, tr.Attempt, &grace)
	}
}

// reconcileAbsent takes in that a task recorded on this machine is not in its report: it
// is gone, or still to be started.
func (in *heartbeatReconciler) reconcileAbsent(id cluster.TaskID) {
	c, r := in.reconciler, in.heartbeat
	j := c.cluster.Jobs[id.Job]
	t := j.Task(id.Index)
	switch {
	case !in.renewsLease || !j.IsCommitted(id.Index) || j.Partition != in.machine.Record.Partition:
	case !t.Observed && t.DirectStartToken >= r.FencingToken && c.tasks.MustStop(j, t):
		// A direct start may still come; it counts as here until then.
	case t.Observed || c.tasks.MustStop(j, t):
		c.tasks.TaskGone(j, id.Index, "no longer reported")
	case c.tasks.MayStartOn(in.machine, j) && (t.DirectStartToken == 0 || t.DirectStartToken < r.FencingToken):
		// Not while a direct copy may come after this one was forgotten.
		in.addCommand(api.CommandStart, id, t.Attempt, nil)
	}
}

// observeIncarnation takes in the session that a worker says it is in. Sessions only rise,
// so a higher one proves gone whatever was seen in an earlier one, whoever says
// it and however late; nothing told in the earlier one is carried out any more.
// Proven by reports alone, tasks on a machine that only direct commands reached
// were taken to run on for as long as that lasted.
func (c *reconciler) observeIncarnation(m *cluster.Machine, session uint64) {
	if session <= m.Incarnation {
		return
	}
	m.Incarnation, m.CachedImages = session, nil
	for _, id := range m.TaskIDsCopy() {
		j := c.cluster.Jobs[id.Job]
		t := j.Task(id.Index)
		t.DirectStartToken = 0 // direct starts name the session
		if t.Observed && c.cluster.LedPartition(m) != nil && j.Partition == m.Record.Partition {
			c.tasks.TaskGone(j, id.Index, "its worker's incarnation ended")
		}
	}
}
