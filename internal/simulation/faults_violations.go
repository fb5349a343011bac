package simulation

import (
	"net/http"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// Deliberate violations of invariants, with which tests verify that the checker detects them.
// Where a violation concerns a job, the fault's Node is the job's number.

const (
	rogueMachine     = "n-rogue"
	unknownJobID     = "wk-999999"
	rogueIncarnation = 1
)

// rogueWorker returns a machine that no controller knows.
func (s *Simulation) rogueWorker(machineType api.MachineType, zone string) *worker {
	return &worker{sim: s, name: rogueMachine, machineType: machineType, zone: zone, incarnation: rogueIncarnation}
}

// owner returns the user of the job whose number is the fault's Node.
func (s *Simulation) owner(fault injection) *user { return s.usersByID[jobID(fault.Node)] }

// violateByWithheldAnswers withholds all further answers to the polls of a job's user.
func (s *Simulation) violateByWithheldAnswers(fault injection) {
	s.faults.unansweredJob = jobID(fault.Node)
}

// violateByEarlyStart reports the start of a task whose job's dependencies are not done.
func (s *Simulation) violateByEarlyStart(fault injection) {
	rogue := s.rogueWorker(s.cloud.catalog[0], zones[0])
	job := s.owner(fault).id
	s.checker.taskStarted(rogue, &workerTask{id: taskID(job, 0), job: job, attempt: 1, worker: rogue})
}

// violateByDoubleStart reports that an active task is started on a second machine.
func (s *Simulation) violateByDoubleStart(injection) {
	for _, worker := range s.workers {
		for _, task := range worker.tasks {
			if !task.active {
				continue
			}
			rogue := s.rogueWorker(worker.machineType, worker.zone)
			s.checker.taskStarted(rogue, &workerTask{id: task.id, attempt: task.attempt + 1, worker: rogue})
			return
		}
	}
}

// violateByOrphanedDependant reports that a job is pending although a dependency of it is
// cancelled.
func (s *Simulation) violateByOrphanedDependant(fault injection) {
	s.checker.stateReported(s.owner(fault), api.JobPending)
}

// violateByUnrequestedCancel reports that a job is cancelled although its user did not request
// it.
func (s *Simulation) violateByUnrequestedCancel(fault injection) {
	s.checker.stateReported(s.owner(fault), api.JobCancelled)
}

// violateByStaleRead answers a query with an older state than the user has received before.
func (s *Simulation) violateByStaleRead(fault injection) {
	owner := s.owner(fault)
	answer := message.Answer{Status: http.StatusOK, Body: api.JobStatus{ID: owner.id, State: api.JobRunning}}
	s.checker.checkQuery(owner)(answer, true, owner.finalState)
}

// violateByAcceptedInvalid reports that an invalid submission is accepted.
func (s *Simulation) violateByAcceptedInvalid(fault injection) {
	s.checker.checkRefused(s.owner(fault).id, message.Answer{Status: http.StatusCreated}, http.StatusUnprocessableEntity)
}

// violateByStartAfterCancelled reports a command to start a task of a cancelled job.
func (s *Simulation) violateByStartAfterCancelled(fault injection) {
	start := api.Command{Op: api.CommandStart, Task: taskID(s.owner(fault).id, 0), Attempt: 1}
	s.checker.checkCommands(fault.target, []api.Command{start})
}

// violateByStarvedJob adds a copy of a job under an ID that no controller knows. The copy is
// never started, although machines have room for it.
func (s *Simulation) violateByStarvedJob(fault injection) {
	job := s.owner(fault).job
	s.jobs[unknownJobID] = job
	s.users = append(s.users, &user{
		sim: s, id: unknownJobID, job: job, accepted: true, submittedAt: s.now, lastAnswerAt: s.now,
	})
}
