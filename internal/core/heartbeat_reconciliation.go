package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
	"spurmoor/internal/records"
)

// maxExitedTasks is how many exited tasks a worker keeps before its fencing token is
// raised so that they can be forgotten.
const maxExitedTasks = 12

// heartbeatReconciliation is a worker's heartbeat while it is taken in, with the commands
// that bring the worker to what is recorded.
type heartbeatReconciliation struct {
	*workerHandler
	machine     *cluster.Machine
	heartbeat   *api.Heartbeat
	renewsLease bool // it will be answered 200; else it came with a reply to direct commands
	mayForget   bool // exited tasks may be forgotten
	observed    map[cluster.TaskID]bool
	commands    []api.Command
}

// reconcileHeartbeat takes in what a worker says of its tasks and gives the commands that
// bring it to what is recorded. Only the answer to a heartbeat may start tasks, and only a
// heartbeat proves a task absent: the reply to direct commands may be older than a start
// that is sent with the answer to a heartbeat.
func (h *workerHandler) reconcileHeartbeat(machine *cluster.Machine, heartbeat *api.Heartbeat, renewsLease bool) []api.Command {
	h.observeIncarnation(machine, heartbeat.Incarnation)
	machine.HeartbeatSequence = heartbeat.Sequence
	// The worker's incarnation, or the answer that renewed its lease, began no later than
	// now. Counted from our own answers alone, a machine was taken for dead that had
	// booted for longer than a lease and was heard through a direct command first.
	h.extendWorkerLease(machine)
	reconciliation := &heartbeatReconciliation{
		workerHandler: h,
		machine:       machine,
		heartbeat:     heartbeat,
		renewsLease:   renewsLease,
		observed:      map[cluster.TaskID]bool{},
		commands:      []api.Command{},
	}
	if heartbeat.FencingToken != h.cluster.FencingToken(machine) {
		reconciliation.stopCancelled()
		return reconciliation.commands
	}
	reconciliation.observeMachine()
	reconciliation.decideForgetting()
	for _, reported := range heartbeat.Tasks {
		reconciliation.reconcileReported(reported)
	}
	for _, id := range machine.TaskIDsCopy() {
		if !reconciliation.observed[id] {
			reconciliation.reconcileAbsent(id)
		}
	}
	if renewsLease {
		machine.TrackRepeatedCommands(h.Now, reconciliation.commands)
	}
	return reconciliation.commands
}

// addCommand adds a command for the worker. What exceeds planning.MaxCommands is left to
// its next heartbeat.
func (r *heartbeatReconciliation) addCommand(command api.Command) {
	if len(r.commands) < planning.MaxCommands {
		r.commands = append(r.commands, command)
	}
}

// addStart has a task started.
func (r *heartbeatReconciliation) addStart(id cluster.TaskID, attempt api.Attempt) {
	r.addCommand(api.Command{Op: api.CommandStart, Task: id.String(), Attempt: attempt})
}

// addStop has a task stopped; graceS is how many seconds it has to save a checkpoint.
func (r *heartbeatReconciliation) addStop(id cluster.TaskID, attempt api.Attempt, graceS float64) {
	r.addCommand(api.Command{Op: api.CommandStop, Task: id.String(), Attempt: attempt, GraceS: &graceS})
}

// addForget has an exited task forgotten.
func (r *heartbeatReconciliation) addForget(id cluster.TaskID, attempt api.Attempt) {
	r.addCommand(api.Command{Op: api.CommandForget, Task: id.String(), Attempt: attempt})
}

// stopCancelled answers a heartbeat that does not bear our fencing token. Perhaps it is a
// copy from before our term that comes late: it shows where the worker was and nothing
// else. The answer, or a direct command, raises the worker's token if it is there. Taken
// for news, such a copy proved tasks gone that had been started since. What the worker
// must not run any more it is told at once: its lease is never renewed without that.
func (r *heartbeatReconciliation) stopCancelled() {
	for _, reported := range r.heartbeat.Tasks {
		id, ok := cluster.ParseTaskID(reported.Task)
		if !ok || reported.State == api.TaskExited {
			continue
		}
		if job := r.cluster.Jobs[id.Job]; job != nil && job.MustNotRun() {
			r.addStop(id, reported.Attempt, 0)
		}
	}
}

// observeMachine takes in what a heartbeat says of the machine itself.
func (r *heartbeatReconciliation) observeMachine() {
	machine, heartbeat := r.machine, r.heartbeat
	machine.LastSeenAt = r.Now
	machine.ReportedTasks = heartbeat.Tasks
	if machine.FirstHeartbeatAt == 0 {
		r.observeBoot()
	}
	if !machine.TokenConfirmed {
		machine.TokenConfirmed = true
		r.trigger.RequestWithin(0)
	}
	if heartbeat.InterruptionNoticeS != nil && machine.InterruptionAt == 0 {
		r.observeInterruptionNotice(*heartbeat.InterruptionNoticeS)
	}
}

// observeBoot takes in a machine's first heartbeat.
func (r *heartbeatReconciliation) observeBoot() {
	machine := r.machine
	machine.FirstHeartbeatAt = r.Now
	machine.IdleSince = r.Now
	r.boots.Record(machine)
	r.LogInfo("machine up",
		logkey.Machine, machine.Name,
		logkey.Type, machine.Record.Type,
		logkey.Zone, machine.Record.Zone,
		logkey.Spot, machine.Record.Spot,
		logkey.AfterS, (r.Now - machine.LaunchedAt).WholeSeconds())
	r.trigger.RequestWithin(0)
}

// observeInterruptionNotice takes in that the cloud takes a spot instance back in so many
// seconds.
func (r *heartbeatReconciliation) observeInterruptionNotice(noticeS float64) {
	machine := r.machine
	machine.InterruptionAt = r.Now + micros.FromSeconds(noticeS)
	r.LogInfo("machine interruption notice",
		logkey.Machine, machine.Name,
		logkey.InS, noticeS,
		logkey.Tasks, len(machine.TaskIDs))
	r.trigger.RequestWithin(0)
}

// decideForgetting works out whether exited tasks may be forgotten. A direct start may be
// delivered again long after it was carried out. As long as its worker keeps the attempt
// that has no effect; once forgotten, it would start anew. So tasks are forgotten only
// under a fencing token higher than that of any direct start there; it is raised when
// enough of them wait for that.
func (r *heartbeatReconciliation) decideForgetting() {
	r.mayForget = r.heartbeat.FencingToken > r.machine.HighestStartToken
	exited := 0
	for _, reported := range r.heartbeat.Tasks {
		if reported.State == api.TaskExited {
			exited++
		}
	}
	if !r.mayForget && exited >= maxExitedTasks && !r.machine.RecordChangePending() {
		r.machine.StartOutcomeUnknown = true // that has the token raised
	}
}

// reconcileReported takes in one task that the worker reports.
func (r *heartbeatReconciliation) reconcileReported(reported api.TaskStatus) {
	id, ok := cluster.ParseTaskID(reported.Task)
	if !ok {
		return
	}
	job := r.cluster.Jobs[id.Job]
	if job == nil {
		r.reconcileUnrecorded(nil, id, reported)
		return
	}
	task := job.Task(id.Index)
	switch {
	case !r.isRecordedHere(task, reported.Attempt):
		r.reconcileUnrecorded(job, id, reported)
	case job.Partition != r.machine.Record.Partition:
		// Only the leader of the job's own partition acts on its tasks.
	default:
		r.reconcileRecorded(job, id, task, reported)
	}
}

// isRecordedHere tells whether an attempt of a task is recorded on the machine.
func (r *heartbeatReconciliation) isRecordedHere(task *cluster.Task, attempt api.Attempt) bool {
	return task != nil && task.State == records.TaskPlaced && task.Machine == r.machine.Name && task.Attempt == attempt
}

// reconcileUnrecorded answers a task that is not recorded on this machine; job is nil if
// it is not, or no longer, known.
func (r *heartbeatReconciliation) reconcileUnrecorded(job *cluster.Job, id cluster.TaskID, reported api.TaskStatus) {
	exited := reported.State == api.TaskExited
	switch {
	case job != nil && job.MustNotRun() && !exited:
		r.addStop(id, reported.Attempt, 0)
	case job != nil && !job.Terminal && !job.IsCommitted(id.Index):
		// What is decided of it is still being committed.
	case !exited:
		r.addStop(id, reported.Attempt, 0)
	case r.mayForget:
		r.addForget(id, reported.Attempt)
	}
}

// reconcileRecorded takes in the state of a task that is recorded on this machine.
func (r *heartbeatReconciliation) reconcileRecorded(
	job *cluster.Job, id cluster.TaskID, task *cluster.Task, reported api.TaskStatus,
) {
	r.observed[id] = true
	task.Observed = true
	if reported.State == api.TaskExited {
		r.tasks.HandleExit(job, id.Index, task, r.machine, reported)
		return
	}
	r.observeTaskState(job, task, reported)
	if !r.tasks.MustStop(job, task) {
		return
	}
	graceS := r.tasks.GraceSeconds(job, task)
	// A task that is saving its checkpoint was told to stop already.
	if reported.State != api.TaskCheckpointing || graceS == 0 {
		r.addStop(id, reported.Attempt, graceS)
	}
}

// observeTaskState takes in the state that a task is in. One that waits or runs has
// fetched its image.
func (r *heartbeatReconciliation) observeTaskState(job *cluster.Job, task *cluster.Task, reported api.TaskStatus) {
	changed := task.ReportedState != reported.State
	isRunning := reported.State == api.TaskRunning
	if changed && (isRunning || reported.State == api.TaskWaiting) {
		r.machine.CacheImage(job.Spec.Image, job.Spec.ImageGB)
	}
	if changed && isRunning {
		task.RunningSince = r.Now
		r.LogDebug("task running",
			logkey.Task, reported.Task,
			logkey.Machine, r.machine.Name,
			logkey.AfterS, (r.Now - task.PlacedAt).WholeSeconds())
	}
	task.ReportedState = reported.State
}

// reconcileAbsent takes in that a task recorded on this machine is not in its heartbeat:
// it is gone, or still to be started.
func (r *heartbeatReconciliation) reconcileAbsent(id cluster.TaskID) {
	job := r.cluster.Jobs[id.Job]
	task := job.Task(id.Index)
	if !r.renewsLease || !job.IsCommitted(id.Index) || job.Partition != r.machine.Record.Partition {
		return
	}
	mustStop := r.tasks.MustStop(job, task)
	directStartMayCome := task.DirectStartToken >= r.heartbeat.FencingToken
	switch {
	case !task.Observed && directStartMayCome && mustStop:
		// It counts as here until the direct start is ruled out.
	case task.Observed || mustStop:
		r.tasks.Release(job, id.Index, "no longer reported")
	case r.tasks.MayStartOn(r.machine, job) && (task.DirectStartToken == 0 || !directStartMayCome):
		// Not while a direct copy of the start may come after this one was forgotten.
		r.addStart(id, task.Attempt)
	}
}
