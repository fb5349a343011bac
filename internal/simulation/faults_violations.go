package simulation

import (
	"net/http"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// Deliberate violations of invariants show that the checker detects them. Where one is of
// a job, the fault's Node is the job's number.

const (
	rogueMachine     = "n-rogue"
	unknownJobID     = "wk-999999"
	rogueIncarnation = 1
)

// rogueWorker returns a machine that no controller knows of.
func (s *Simulation) rogueWorker(machineType api.MachineType, zone string) *worker {
	return &worker{sim: s, name: rogueMachine, machineType: machineType, zone: zone, incarnation: rogueIncarnation}
}

// owner returns the user of the job that the fault names.
func (s *Simulation) owner(fault injection) *user { return s.usersByID[jobID(fault.Node)] }

// violateByMuteAnswers has nobody answer the job's user any more.
func (s *Simulation) violateByMuteAnswers(fault injection) { s.faults.mutedJob = jobID(fault.Node) }

// violateByEarlyStart starts a task before the job's dependencies have ended.
func (s *Simulation) violateByEarlyStart(fault injection) {
	rogue := s.rogueWorker(s.cloud.catalog[0], zones[0])
	job := s.owner(fault).id
	s.checker.taskStarted(rogue, &workerTask{id: taskID(job, 0), job: job, attempt: 1, worker: rogue})
}

// violateByDoubleStart starts a task that runs on a second machine.
func (s *Simulation) violateByDoubleStart(injection) {
	for _, worker := range s.workers {
		for _, task := range worker.tasks {
			if !task.running {
				continue
			}
			rogue := s.rogueWorker(worker.machineType, worker.zone)
			s.checker.taskStarted(rogue, &workerTask{id: task.id, attempt: task.attempt + 1, worker: rogue})
			return
		}
	}
}

// violateByOrphanedDependant reports that a job is pending though a dependency is cancelled.
func (s *Simulation) violateByOrphanedDependant(fault injection) {
	s.checker.stateReported(s.owner(fault), api.JobPending)
}

// violateByUnrequestedCancel reports that a job is cancelled whose user did not ask for it.
func (s *Simulation) violateByUnrequestedCancel(fault injection) {
	s.checker.stateReported(s.owner(fault), api.JobCancelled)
}

// violateByStaleRead answers with an older state than the user has received.
func (s *Simulation) violateByStaleRead(fault injection) {
	owner := s.owner(fault)
	answer := message.Answer{Status: http.StatusOK, Body: api.JobStatus{ID: owner.id, State: api.JobRunning}}
	s.checker.checkQuery(owner)(answer, true, owner.finalState)
}

// violateByAcceptedInvalid accepts an invalid submission.
func (s *Simulation) violateByAcceptedInvalid(fault injection) {
	s.checker.checkRefused(s.owner(fault).id, message.Answer{Status: http.StatusCreated}, http.StatusUnprocessableEntity)
}

// violateByStartAfterCancelled sends the start of a job that is cancelled.
func (s *Simulation) violateByStartAfterCancelled(fault injection) {
	start := api.Command{Op: api.CommandStart, Task: taskID(s.owner(fault).id, 0), Attempt: 1}
	s.checker.checkCommands(fault.target, []api.Command{start})
}

// violateByStarvedJob adds a job that no controller knows of, beside room on a machine.
func (s *Simulation) violateByStarvedJob(fault injection) {
	job := s.owner(fault).job
	s.jobs[unknownJobID] = job
	s.users = append(s.users, &user{
		sim: s, id: unknownJobID, job: job, accepted: true, submittedAt: s.now, lastAnswerAt: s.now,
	})
}
