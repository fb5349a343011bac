package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
	"spurmoor/internal/records"
)

// maxExitedTasksKept is how many exited tasks a worker reports before its fencing token is
// raised. Under the higher token the worker may be told to forget them.
const maxExitedTasksKept = 12

// heartbeatReconciliation holds a worker's heartbeat while it is reconciled with the
// recorded state, and the commands that bring the worker into that state.
type heartbeatReconciliation struct {
	*workerHandler
	machine         *cluster.Machine
	heartbeat       *api.Heartbeat
	renewsLease     bool                    // the heartbeat will be answered 200; false if it came in a reply to direct commands
	mayForgetExited bool                    // the worker may forget exited tasks
	observed        map[cluster.TaskID]bool // tasks that are both reported and recorded here
	commands        []api.Command
}

// reconcileHeartbeat applies a worker's report on its tasks and returns the commands that
// bring the worker into the recorded state. renewsLease is true for a heartbeat that will be
// answered 200, and false for one in a reply to direct commands. Only the former may start
// tasks or prove that a task is absent: a reply to direct commands may be older than a start
// that was sent with the answer to a heartbeat.
func (h *workerHandler) reconcileHeartbeat(machine *cluster.Machine, heartbeat *api.Heartbeat, renewsLease bool) []api.Command {
	h.observeIncarnation(machine, heartbeat.Incarnation)
	machine.HeartbeatSequence = heartbeat.Sequence
	// The worker got its lease when its incarnation began or when an answer renewed it, in
	// either case no later than now. If only our own answers counted, a machine that took
	// longer than a lease to boot and was first heard from in a reply to a direct command
	// would be considered dead.
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
		reconciliation.stopCancelledTasks()
		return reconciliation.commands
	}
	reconciliation.observeMachine()
	reconciliation.checkExitedTasks()
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

// addCommand adds a command for the worker. Commands beyond planning.MaxCommands are
// dropped: the next heartbeat calls for them again.
func (r *heartbeatReconciliation) addCommand(command api.Command) {
	if len(r.commands) < planning.MaxCommands {
		r.commands = append(r.commands, command)
	}
}

// addStart adds a command that starts a task.
func (r *heartbeatReconciliation) addStart(id cluster.TaskID, attempt api.Attempt) {
	r.addCommand(api.Command{Op: api.CommandStart, Task: id.String(), Attempt: attempt})
}

// addStop adds a command that stops a task. graceS is the time, in seconds, that the task
// has to save a checkpoint.
func (r *heartbeatReconciliation) addStop(id cluster.TaskID, attempt api.Attempt, graceS float64) {
	r.addCommand(api.Command{Op: api.CommandStop, Task: id.String(), Attempt: attempt, GraceS: &graceS})
}

// addForget adds a command that makes the worker forget an exited task.
func (r *heartbeatReconciliation) addForget(id cluster.TaskID, attempt api.Attempt) {
	r.addCommand(api.Command{Op: api.CommandForget, Task: id.String(), Attempt: attempt})
}

// stopCancelledTasks adds stops for cancelled tasks in a heartbeat without our fencing
// token. Such a heartbeat may be a late copy from before our term, so its tasks are not
// reconciled: tasks that were started since would count as gone. The answer, or a direct
// command, raises the worker's token if the worker still exists. The stops do not wait for
// that, because an answer that renews the lease must always stop the tasks that may no longer
// run.
func (r *heartbeatReconciliation) stopCancelledTasks() {
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

// observeMachine applies what a heartbeat reports about the machine itself.
func (r *heartbeatReconciliation) observeMachine() {
	machine, heartbeat := r.machine, r.heartbeat
	machine.LastSeenAt = r.Now
	machine.SetReportedTasks(heartbeat.Tasks)
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

// observeBoot records that a machine has booted, upon its first heartbeat.
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

// observeInterruptionNotice records that the cloud will reclaim a spot instance in noticeS
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

// checkExitedTasks decides whether the worker may forget exited tasks. A direct start may be
// delivered a second time, long after it was carried out. This has no effect while the
// worker remembers the attempt, but would start the task again once it is forgotten. Tasks
// are therefore forgotten only under a fencing token higher than that of any direct start
// sent to the machine. The token is raised once maxExitedTasksKept tasks wait for that.
func (r *heartbeatReconciliation) checkExitedTasks() {
	r.mayForgetExited = r.heartbeat.FencingToken > r.machine.HighestStartToken
	exited := 0
	for _, reported := range r.heartbeat.Tasks {
		if reported.State == api.TaskExited {
			exited++
		}
	}
	if !r.mayForgetExited && exited >= maxExitedTasksKept && !r.machine.RecordChangePending() {
		r.machine.MustRaiseToken = true // causes the token to be raised
	}
}

// reconcileReported reconciles one task that the worker reports.
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

// isRecordedHere reports whether an attempt of a task is recorded as placed on the machine.
func (r *heartbeatReconciliation) isRecordedHere(task *cluster.Task, attempt api.Attempt) bool {
	return task != nil && task.State == records.TaskPlaced && task.Machine == r.machine.Name && task.Attempt == attempt
}

// reconcileUnrecorded reconciles a reported task that is not recorded on this machine. job
// is nil if the replica does not have it.
func (r *heartbeatReconciliation) reconcileUnrecorded(job *cluster.Job, id cluster.TaskID, reported api.TaskStatus) {
	exited := reported.State == api.TaskExited
	switch {
	case job != nil && job.MustNotRun() && !exited:
		r.addStop(id, reported.Attempt, 0)
	case job != nil && !job.Terminal && !job.IsTaskCommitted(id.Index):
		// Wait until the latest decision on the task is committed.
	case !exited:
		r.addStop(id, reported.Attempt, 0)
	case r.mayForgetExited:
		r.addForget(id, reported.Attempt)
	}
}

// reconcileRecorded reconciles a reported task that is recorded on this machine.
func (r *heartbeatReconciliation) reconcileRecorded(
	job *cluster.Job, id cluster.TaskID, task *cluster.Task, reported api.TaskStatus,
) {
	r.observed[id] = true
	if reported.State == api.TaskExited {
		r.tasks.HandleExit(job, id.Index, task, r.machine, reported)
		return
	}
	r.observeTaskState(job, task, reported)
	if !r.tasks.MustStop(job, task) {
		return
	}
	graceS := r.tasks.GraceSeconds(job, task)
	// A task that is saving its checkpoint has already been told to stop.
	if reported.State != api.TaskCheckpointing || graceS == 0 {
		r.addStop(id, reported.Attempt, graceS)
	}
}

// observeTaskState applies the reported state of a task. A task that waits or runs has
// fetched its image, so the machine has the image cached.
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
	job.ObserveTask(task, reported.State)
}

// reconcileAbsent reconciles a task that is recorded on this machine but missing from its
// heartbeat: either the task is gone, or it has not been started yet.
func (r *heartbeatReconciliation) reconcileAbsent(id cluster.TaskID) {
	job := r.cluster.Jobs[id.Job]
	task := job.Task(id.Index)
	if !r.renewsLease || !job.IsTaskCommitted(id.Index) || job.Partition != r.machine.Record.Partition {
		return
	}
	mustStop := r.tasks.MustStop(job, task)
	directStartMayArrive := task.DirectStartToken >= r.heartbeat.FencingToken
	switch {
	case !task.Observed && directStartMayArrive && mustStop:
		// The task counts as present until the direct start can no longer arrive.
	case task.Observed || mustStop:
		r.tasks.Release(job, id.Index, "no longer reported")
	case r.tasks.MayStartOn(r.machine, job) && (task.DirectStartToken == 0 || !directStartMayArrive):
		// The start is not sent while a direct start may arrive: the direct one could
		// come after this attempt was forgotten, and start it again.
		r.addStart(id, task.Attempt)
	}
}
