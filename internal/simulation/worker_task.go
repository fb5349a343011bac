package simulation

import (
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// fetchSecondsPerGB is the time to fetch an image, cachedFetchTime that for a cached image.
	fetchSecondsPerGB = 1.0
	cachedFetchTime   = micros.Second / 100
	// failingRunTime is how long a failing task runs before it fails.
	failingRunTime = micros.Second
	// gangWait is how long a task waits for its gang, as in the settings.
	gangWait = gangWaitS * micros.Second
	// gangPeerLossDelay is the time from the loss of a gang member until the others exit, well
	// within the gang_peer_s of the settings.
	gangPeerLossDelay = 2 * micros.Second
	// minRunTime is the shortest run time of a task that resumes from a checkpoint.
	minRunTime = micros.Second / 10
)

// workerTask is one attempt to run a task, on one worker.
type workerTask struct {
	worker           *worker
	id               string
	job              string
	attempt          api.Attempt
	state            api.TaskState
	exitReason       api.ExitReason
	checkpointStored bool
	active           bool // counted by the invariant checker
	runningSince     micros.Micros
	resumedFrom      micros.Micros // progress of the checkpoint that the run began from
	generation       int           // incremented to invalidate the actions scheduled for the task
}

// startTask starts an attempt of a task: it fetches the image, then runs. The attempt exits at
// once if another one has not exited on the machine, the machine has no room, or the job does
// not exist.
func (w *worker) startTask(command api.Command) {
	jobName, _, _ := strings.Cut(command.Task, "/")
	task := &workerTask{
		worker: w, id: command.Task, job: jobName, attempt: command.Attempt, state: api.TaskFetching,
	}
	job, submitted := w.sim.jobs[jobName]
	for _, other := range w.tasks {
		if other.id == command.Task && other.state != api.TaskExited {
			task.exit(api.ExitBusy)
		}
	}
	spec := w.sim.specOf(jobName)
	if task.state != api.TaskExited && !w.hasRoom(spec) {
		task.exit(api.ExitNoRoom)
	}
	if !submitted {
		task.exit(api.ExitUnknownTask)
	}
	w.tasks = append(w.tasks, task)
	if task.state == api.TaskExited {
		return
	}
	w.expediteHeartbeat()
	fetchTime := micros.FromSeconds(fetchSecondsPerGB * job.ImageGB)
	if w.cachedImages[spec.Image] {
		fetchTime = cachedFetchTime
	}
	task.after(fetchTime, func() {
		w.cachedImages[spec.Image] = true
		task.begin(job)
	})
}

// after runs an action after a delay, unless the task has exited or its generation has changed by
// then. A hang of the machine delays the action further.
func (t *workerTask) after(delay micros.Micros, action func()) {
	generation := t.generation
	t.worker.sim.after(delay, func() {
		t.worker.whenRunning(func() {
			if t.generation == generation && t.state != api.TaskExited {
				action()
			}
		})
	})
}

// begin starts a task whose image is on the machine: it runs, fails or waits for its gang.
func (t *workerTask) begin(job Job) {
	sim := t.worker.sim
	t.active = true
	sim.checker.taskStarted(t.worker, t)
	switch {
	case sim.completedTasks[t.id]:
		t.exit(api.ExitDone)
	case t.worker.failing || job.AlwaysFails:
		sim.countOccurrence(occurredTaskFailure)
		t.after(failingRunTime, func() { t.exit(api.ExitFailed) })
	case job.Kind == api.KindGang:
		t.state = api.TaskWaiting
		t.worker.expediteHeartbeat()
		t.after(gangWait, func() {
			if t.state == api.TaskWaiting {
				t.exit(api.ExitGangIncomplete)
			}
		})
		sim.startGang(t, job)
	default:
		t.run(job)
	}
}

// run runs a task from its checkpoint to its end, or a service until it is stopped.
func (t *workerTask) run(job Job) {
	t.state, t.runningSince = api.TaskRunning, t.worker.sim.now
	t.generation++
	t.worker.expediteHeartbeat()
	if job.Kind == api.KindService {
		return
	}
	t.resumedFrom = t.worker.sim.checkpoints[t.checkpointKey(job)]
	remaining := micros.FromSeconds(job.RunS+job.StepS*float64(t.index())) - t.resumedFrom
	t.after(max(remaining, minRunTime), func() { t.exit(api.ExitDone) })
}

// index returns the task's index within its job.
func (t *workerTask) index() int {
	index, _ := strconv.Atoi(t.id[strings.IndexByte(t.id, '/')+1:]) // every task ID ends in an index
	return index
}

// checkpointKey returns the key of the task's saved progress. The tasks of a gang share the key
// of the job.
func (t *workerTask) checkpointKey(job Job) string {
	if job.Kind == api.KindGang {
		return t.job
	}
	return t.id
}

// startGang runs all members of a task's gang if all of them are waiting.
func (s *Simulation) startGang(task *workerTask, job Job) {
	members := s.gangMembers(task)
	if len(members) < max(1, job.Tasks) {
		return
	}
	for _, member := range members {
		if member.state != api.TaskWaiting {
			return
		}
	}
	for _, member := range members {
		member.run(job)
	}
}

// gangMembers returns the tasks with a task's job and attempt number that have not exited.
func (s *Simulation) gangMembers(task *workerTask) []*workerTask {
	var members []*workerTask
	for _, worker := range s.workers {
		if worker.terminated {
			continue
		}
		for _, other := range worker.tasks {
			if other.job == task.job && other.attempt == task.attempt && other.state != api.TaskExited {
				members = append(members, other)
			}
		}
	}
	return members
}

// stop stops the task. If the task can save a checkpoint within the grace period, it does so
// first.
func (t *workerTask) stop(graceS float64) {
	job := t.worker.sim.jobs[t.job]
	spec := t.worker.sim.specOf(t.job)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && spec.CheckpointIntervalS > 0 && graceS >= spec.CheckpointSaveS:
		t.saveCheckpoint(job, micros.FromSeconds(spec.CheckpointSaveS))
	case t.state == api.TaskCheckpointing && graceS > 0:
	default:
		t.exit(api.ExitStopped)
	}
}

// saveCheckpoint saves the task's progress up to now and exits when saveTime has passed.
func (t *workerTask) saveCheckpoint(job Job, saveTime micros.Micros) {
	sim := t.worker.sim
	progress := t.resumedFrom + (sim.now - t.runningSince)
	t.state = api.TaskCheckpointing
	t.generation++
	t.worker.expediteHeartbeat()
	t.after(saveTime, func() {
		key := t.checkpointKey(job)
		sim.checkpoints[key] = max(sim.checkpoints[key], progress)
		t.checkpointStored = true
		t.exit(api.ExitStopped)
	})
}

// exit ends the task with a reason. Unless the task is done, its gang loses a member.
func (t *workerTask) exit(reason api.ExitReason) {
	sim := t.worker.sim
	wasRunning := t.state == api.TaskRunning || t.state == api.TaskCheckpointing
	if reason == api.ExitDone {
		sim.completeTask(t)
	}
	t.state, t.exitReason = api.TaskExited, reason
	t.detach()
	t.worker.expediteHeartbeat()
	if reason == api.ExitDone {
		sim.afterCompletion(t.job)
	}
	if wasRunning && reason != api.ExitDone {
		t.notifyGang()
	}
}

// completeTask marks a task as completed. The tasks of a gang complete together.
func (s *Simulation) completeTask(task *workerTask) {
	s.completedTasks[task.id] = true
	job := s.jobs[task.job]
	if job.Kind != api.KindGang {
		return
	}
	for index := range max(1, job.Tasks) {
		s.completedTasks[taskID(task.job, index)] = true
	}
}

// notifyGang makes the other running members of the task's gang exit after gangPeerLossDelay.
func (t *workerTask) notifyGang() {
	sim := t.worker.sim
	if sim.jobs[t.job].Kind != api.KindGang {
		return
	}
	for _, member := range sim.gangMembers(t) {
		if member != t && member.state == api.TaskRunning {
			member.after(gangPeerLossDelay, func() { member.exit(api.ExitGangEnded) })
		}
	}
}

// detach makes the task inactive: the invariant checker no longer counts it, and the actions
// scheduled for it are dropped. If the task was still running, its gang loses a member.
func (t *workerTask) detach() {
	lost := t.active && t.state == api.TaskRunning
	t.generation++
	if t.active {
		t.active = false
		t.worker.sim.checker.taskRemoved(t)
	}
	if lost {
		t.state = api.TaskExited
		t.notifyGang()
	}
}
