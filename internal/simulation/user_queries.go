package simulation

import (
	"net/http"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// queryLatency bounds the delay of a query and of its answer: both arrive at once, so
	// that answers of different nodes can be compared.
	queryLatency = 2 * micros.Millisecond
	// completionNoticeDelay is how long after the last task's end a user may expect to be
	// told that its job is done.
	completionNoticeDelay = 3 * micros.Second
	// cancelAtEndDelay is within which time after that end a fault has the job cancelled.
	cancelAtEndDelay = 3 * micros.Second

	// The job that is made invalid.
	validJobTasks        = 2
	validJobRunS         = 5
	invalidRequestPeriod = micros.Second / 2
	// firstStranger follows the numbers of all jobs of scenarios.
	firstStranger = 900000
	// oddRequestsOneIn is of how many users one sends odd requests each time.
	oddRequestsOneIn = 8
)

// queryDelays are the times after news at which all nodes are queried.
var queryDelays = []micros.Micros{0, 2 * micros.Millisecond, 20 * micros.Millisecond, 250 * micros.Millisecond}

// receiveQuery gets the answer to a query, with what the user had been told when it asked.
type receiveQuery func(answer message.Answer, acceptedBefore bool, finalBefore api.JobState)

// query puts a question to one node, at once.
func (u *user) query(node *node, input inputFor, receive receiveQuery) {
	sim := u.sim
	if !node.reaches(linkUsers) {
		return
	}
	accepted, final := u.accepted, u.finalState
	sim.after(micros.Random(sim.rng, queryLatency), func() {
		if !node.up {
			return
		}
		sim.request(node, input, func(answer message.Answer) {
			sim.after(micros.Random(sim.rng, queryLatency), func() { receive(answer, accepted, final) })
		})
	})
}

// queryAllNodes asks about a job at all nodes within milliseconds after its user was told
// something of it, and repeats its submission.
func (u *user) queryAllNodes() {
	sim := u.sim
	if sim.now >= sim.faults.closeQueriesUntil {
		return
	}
	for _, delay := range queryDelays {
		for _, node := range sim.nodes {
			sim.after(delay, func() {
				sim.countOccurrence(occurredCloseQuery)
				u.query(node, u.statusInput, sim.checker.checkQuery(u))
				u.query(node, u.submitInput, sim.checker.checkQuery(u))
			})
		}
	}
}

// afterCompletion is called when a task has completed. If its job has too, the user soon
// expects to be told so; a fault may have the user cancel the job at that very moment, or
// while its end is being recorded.
func (s *Simulation) afterCompletion(job string) {
	owner := s.usersByID[job]
	if owner == nil || owner.cancelRequested || !s.checker.completed(owner) {
		return
	}
	s.after(completionNoticeDelay, func() {
		owner.query(s.randomNode(), owner.statusInput, func(answer message.Answer, _ bool, _ api.JobState) {
			status, ok := answer.Body.(api.JobStatus)
			if ok && !owner.cancelRequested && status.State != api.JobDone {
				s.countOccurrence(occurredLateEnd)
			}
		})
	})
	if owner.finalState == "" && s.faults.cancelAtEnd.befalls(s) {
		s.countOccurrence(occurredCancelAtEnd)
		owner.cancelledByFault = true
		atOnceOrLater := micros.Micros(s.rng.Int64N(eitherOr))
		s.after(atOnceOrLater*micros.Random(s.rng, cancelAtEndDelay), owner.cancel)
	}
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
			longToGo := owner.job.Kind == api.Service ||
				s.now-task.runningSince < micros.FromSeconds(owner.job.RunS)/2
			if task.state == api.TaskRunning && longToGo {
				machines = append(machines, task.worker)
			}
		}
	}
	return machines
}
