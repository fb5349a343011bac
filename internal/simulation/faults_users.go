package simulation

import (
	"net/http"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// cancelRunningWithin is within which time users cancel jobs that run, cancelHangLimit
	// how many of their machines then hang.
	cancelRunningWithin = micros.Second / 5
	cancelHangLimit     = 8

	invalidRequestPeriod = micros.Second / 2
	// firstStranger follows the numbers of all jobs of scenarios.
	firstStranger = 900000
	// oddRequestsOneIn is of how many users one sends odd requests each time.
	oddRequestsOneIn = 8
	// The job that is made invalid.
	validJobTasks = 2
	validJobRunS  = 5
)

func (s *Simulation) injectCancelAtEnd(fault injection) { s.faults.cancelAtEnd = fault.partial() }

func (s *Simulation) injectCancelRunning(fault injection) {
	s.cancelRunningJobs(max(1, fault.Count), micros.FromSeconds(fault.HangS))
}

func (s *Simulation) injectCloseQueries(fault injection) { s.faults.closeQueriesUntil = fault.until }

func (s *Simulation) injectInvalidRequests(fault injection) { s.sendInvalidRequests(fault.until) }

// cancelRunningJobs has the users of some jobs that run and have long to go cancel them
// within a fifth of a second; some of their machines then hang for a time.
func (s *Simulation) cancelRunningJobs(count int, hang micros.Micros) {
	hung := 0
	for _, owner := range s.users {
		if count == 0 {
			return
		}
		machines := s.workersRunning(owner)
		if len(machines) == 0 || owner.cancelRequested || owner.finalState != "" {
			continue
		}
		count--
		s.countOccurrence(occurredCancelRunning)
		owner.cancelledByFault = true
		s.after(micros.Random(s.rng, cancelRunningWithin), owner.cancel)
		for _, worker := range machines {
			if hang > 0 && hung < cancelHangLimit && !worker.hung && !worker.gone {
				hung++
				s.countOccurrence(occurredHungWithCancelled)
				worker.hung = true
				s.after(hang, worker.resume)
			}
		}
	}
}

// workersRunning lists the machines on which tasks of a job run that have long to go.
func (s *Simulation) workersRunning(owner *user) []*worker {
	var machines []*worker
	for index := range max(1, owner.job.Tasks) {
		for _, task := range s.checker.running[taskID(owner.id, index)] {
			longToGo := owner.job.Kind == api.KindService ||
				s.now-task.runningSince < micros.FromSeconds(owner.job.RunS)/2
			if task.state == api.TaskRunning && longToGo {
				machines = append(machines, task.worker)
			}
		}
	}
	return machines
}

// invalidSubmission is a change to a submission that makes it invalid, and the status with
// which it must be refused.
type invalidSubmission struct {
	from, to string
	status   int
}

// invalidSubmissions fit nowhere, lack a field or have one with a wrong value or type.
var invalidSubmissions = []invalidSubmission{
	{`"Vcpus":1`, `"Vcpus":5000`, http.StatusUnprocessableEntity},
	{`"Dueno":"norte"`, `"Dueno":"nadie"`, http.StatusUnprocessableEntity},
	{`"Imagen":"img-",`, ``, http.StatusBadRequest},
	{`"Tareas":2`, `"Tareas":"2"`, http.StatusBadRequest},
	{`"Tareas":2`, `"Tareas":0`, http.StatusBadRequest},
	{`"Forma":"array"`, `"Forma":"heap"`, http.StatusBadRequest},
	{`{`, `[`, http.StatusBadRequest},
}

// validJob is the job that invalidSubmissions change.
var validJob = Job{Tasks: validJobTasks, RunS: validJobRunS}

// sendInvalidRequests has users send requests that must be refused, until an instant.
func (s *Simulation) sendInvalidRequests(until micros.Micros) {
	stranger := firstStranger
	var repeat func()
	repeat = func() {
		if s.now >= until {
			return
		}
		s.after(invalidRequestPeriod, repeat)
		node := s.randomNode()
		stranger++
		s.submitInvalidJobs(node, stranger)
		s.repeatWithOtherBodies(node)
	}
	repeat()
}

// submitInvalidJobs submits invalid jobs under a number that was never accepted, and asks
// about and cancels that job.
func (s *Simulation) submitInvalidJobs(node *node, number int) {
	stranger := &user{sim: s, id: jobID(number)}
	valid := string(submission(validJob.spec(number)))
	for _, invalid := range invalidSubmissions {
		body := strings.Replace(valid, invalid.from, invalid.to, 1)
		if body == valid {
			s.checker.violated(invariantScenario, invalid.from+" is not in a submission")
		}
		submit := func(requestID uint64) message.Input {
			return message.Submit{RequestID: requestID, Body: []byte(body)}
		}
		stranger.query(node, submit, func(answer message.Answer, _ bool, _ api.JobState) {
			s.countOccurrence(occurredInvalidRequest)
			s.checker.checkRefused(body, answer, invalid.status)
		})
	}
	checkUnknown := func(answer message.Answer, _ bool, _ api.JobState) {
		s.checker.checkRefused(stranger.id, answer, http.StatusNotFound)
	}
	stranger.query(node, stranger.cancelInput, checkUnknown)
	stranger.query(node, stranger.statusInput, checkUnknown)
}

// repeatWithOtherBodies has some users repeat submissions with another body, and cancel
// jobs that have ended.
func (s *Simulation) repeatWithOtherBodies(node *node) {
	for _, owner := range s.users {
		if !owner.accepted || s.rng.IntN(oddRequestsOneIn) > 0 {
			continue
		}
		body := []byte(strings.Replace(string(owner.body), `"Vcpus":`, `"Vcpus":5000.`, 1))
		resubmit := func(requestID uint64) message.Input { return message.Submit{RequestID: requestID, Body: body} }
		owner.query(node, resubmit, s.checker.checkQuery(owner))
		if owner.finalState != "" {
			owner.query(node, owner.cancelInput, s.checker.checkQuery(owner))
		}
	}
}
