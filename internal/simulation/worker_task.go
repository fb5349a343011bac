package simulation

import (
	"strconv"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/micros"
)

const (
	// fetchTimePerGB is how long an image takes to fetch, cachedFetchTime one that is there.
	fetchTimePerGB  = 1.0 // seconds
	cachedFetchTime = micros.Second / 100
	// failAfter is how long a task runs that fails.
	failAfter = micros.Second
	// gangWait is how long a task waits for its gang, as the settings tell workers.
	gangWait = gangWaitS * micros.Second
	// gangPeerLoss is how long after the loss of a member the others exit, well within the
	// gang_peer_s of the settings.
	gangPeerLoss = 2 * micros.Second
	// minRunTime is the shortest run of a task that resumes from a checkpoint.
	minRunTime = micros.Second / 10
)

// workerTask is an attempt of a task on a worker.
type workerTask struct {
	worker           *worker
	id               string
	job              string
	attempt          api.Attempt
	state            api.TaskState
	exitReason       api.ExitReason
	checkpointStored bool
	running          bool // the invariant checker counts it
	runningSince     micros.Micros
	resumedFrom      micros.Micros // progress that the run began with
	generation       int           // changes whenever what was planned for it is void
}

// startTask starts an attempt of a task: it fetches the image, then runs.
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
	spec := job.spec(0)
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
	w.hastenHeartbeat()
	fetchTime := micros.FromSeconds(fetchTimePerGB * job.ImageGB)
	if w.cachedImages[spec.Image] {
		fetchTime = cachedFetchTime
	}
	task.after(fetchTime, func() {
		w.cachedImages[spec.Image] = true
		task.begin(job)
	})
}

// after does something after a span, unless the task has exited or moved on by then. A
// hang of the machine puts it off.
func (t *workerTask) after(span micros.Micros, action func()) {
	generation := t.generation
	t.worker.sim.after(span, func() {
		t.worker.whenRunning(func() {
			if t.generation == generation && t.state != api.TaskExited {
				action()
			}
		})
	})
}

// begin has a task run that has its image, or fail, or wait for its gang.
func (t *workerTask) begin(job Job) {
	sim := t.worker.sim
	t.running = true
	sim.checker.taskStarted(t.worker, t)
	switch {
	case sim.completedTasks[t.id]:
		t.exit(api.ExitDone)
	case t.worker.failing || job.AlwaysFails:
		sim.countOccurrence(occurredTaskFailure)
		t.after(failAfter, func() { t.exit(api.ExitFailed) })
	case job.spec(0).Kind == api.KindGang:
		t.state = api.TaskWaiting
		t.worker.hastenHeartbeat()
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

// run has a task work from its checkpoint to its end; a service works until it is stopped.
func (t *workerTask) run(job Job) {
	t.state, t.runningSince = api.TaskRunning, t.worker.sim.now
	t.generation++
	t.worker.hastenHeartbeat()
	if job.Kind == api.KindService {
		return
	}
	t.resumedFrom = t.worker.sim.checkpoints[t.checkpointKey(job)]
	remaining := micros.FromSeconds(job.RunS+job.StepS*float64(t.index())) - t.resumedFrom
	t.after(max(remaining, minRunTime), func() { t.exit(api.ExitDone) })
}

// index is the task's number within its job.
func (t *workerTask) index() int {
	index, _ := strconv.Atoi(t.id[strings.IndexByte(t.id, '/')+1:]) // tasks of a job have one
	return index
}

// checkpointKey is what progress is saved under: a gang's is the job's.
func (t *workerTask) checkpointKey(job Job) string {
	if job.Kind == api.KindGang {
		return t.job
	}
	return t.id
}

// startGang runs a gang once all its members wait.
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

// gangMembers lists the tasks of a task's job and attempt that have not exited.
func (s *Simulation) gangMembers(task *workerTask) []*workerTask {
	var members []*workerTask
	for _, worker := range s.workers {
		if worker.gone {
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

// stop stops a task. One that can save a checkpoint within the grace, in seconds, does so
// first.
func (t *workerTask) stop(graceS float64) {
	job := t.worker.sim.jobs[t.job]
	spec := job.spec(0)
	switch {
	case t.state == api.TaskExited:
	case t.state == api.TaskRunning && spec.CheckpointIntervalS > 0 && graceS >= spec.CheckpointSaveS:
		t.saveCheckpoint(job, micros.FromSeconds(spec.CheckpointSaveS))
	case t.state == api.TaskCheckpointing && graceS > 0:
	default:
		t.exit(api.ExitStopped)
	}
}

// saveCheckpoint saves the progress made so far, and exits.
func (t *workerTask) saveCheckpoint(job Job, saveTime micros.Micros) {
	sim := t.worker.sim
	progress := t.resumedFrom + (sim.now - t.runningSince)
	t.state = api.TaskCheckpointing
	t.generation++
	t.worker.hastenHeartbeat()
	t.after(saveTime, func() {
		key := t.checkpointKey(job)
		sim.checkpoints[key] = max(sim.checkpoints[key], progress)
		t.checkpointStored = true
		t.exit(api.ExitStopped)
	})
}

// exit ends a task; its gang notices unless it is done.
func (t *workerTask) exit(reason api.ExitReason) {
	sim := t.worker.sim
	wasRunning := t.state == api.TaskRunning || t.state == api.TaskCheckpointing
	if reason == api.ExitDone {
		sim.completeTask(t)
	}
	t.state, t.exitReason = api.TaskExited, reason
	t.detach()
	t.worker.hastenHeartbeat()
	if reason == api.ExitDone {
		sim.afterCompletion(t.job)
	}
	if wasRunning && reason != api.ExitDone {
		t.notifyGang()
	}
}

// completeTask notes that a task is done. A gang completes together.
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

// notifyGang has the other members of a gang exit that run.
func (t *workerTask) notifyGang() {
	sim := t.worker.sim
	if sim.jobs[t.job].Kind != api.KindGang {
		return
	}
	for _, member := range sim.gangMembers(t) {
		if member != t && member.state == api.TaskRunning {
			member.after(gangPeerLoss, func() { member.exit(api.ExitGangEnded) })
		}
	}
}

// detach takes a task off its machine; what was planned for it is void.
func (t *workerTask) detach() {
	lost := t.running && t.state == api.TaskRunning
	t.generation++
	if t.running {
		t.running = false
		t.worker.sim.checker.taskLeft(t)
	}
	if lost {
		t.state = api.TaskExited
		t.notifyGang()
	}
}
