package simulation

import (
	"net/http"
	"strings"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// cancelRunningSpread is the longest delay until a user cancels a running job.
	// maxHungMachines is how many machines of these jobs hang at most.
	cancelRunningSpread = micros.Second / 5
	maxHungMachines     = 8

	invalidRequestPeriod = micros.Second / 2
	// firstUnknownJob is higher than the numbers of all jobs of scenarios.
	firstUnknownJob = 900000
	// Each time one in resubmissionOneIn users of accepted jobs, on average, repeats its
	// submission with another body.
	resubmissionOneIn = 8
	// Properties of validJob.
	validJobTasks = 2
	validJobRunS  = 5
)

func (s *Simulation) injectCancelAtEnd(fault injection) { s.faults.cancelAtEnd = fault.probabilistic() }

func (s *Simulation) injectCancelRunning(fault injection) {
	s.cancelRunningJobs(max(1, fault.Count), micros.FromSeconds(fault.HangS))
}

func (s *Simulation) injectQueryBursts(fault injection) { s.faults.queryBurstsUntil = fault.until }

func (s *Simulation) injectInvalidRequests(fault injection) { s.sendInvalidRequests(fault.until) }

// cancelRunningJobs makes users cancel up to count running jobs that still have long to run,
// all within a fifth of a second. If hang is not zero, some of the jobs' machines hang for
// that time.
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
		s.after(micros.Random(s.rng, cancelRunningSpread), owner.cancel)
		for _, worker := range machines {
			if hang > 0 && hung < maxHungMachines && !worker.hung && !worker.terminated {
				hung++
				s.countOccurrence(occurredHungWithCancelled)
				worker.hung = true
				s.after(hang, worker.resume)
			}
		}
	}
}

// workersRunning returns the machines of those running tasks of a job that have run for less
// than half of its run time. Running tasks of a service always count.
func (s *Simulation) workersRunning(owner *user) []*worker {
	var machines []*worker
	for index := range max(1, owner.job.Tasks) {
		for _, task := range s.checker.activeAttempts[taskID(owner.id, index)] {
			farFromEnd := owner.job.Kind == api.KindService ||
				s.now-task.runningSince < micros.FromSeconds(owner.job.RunS)/2
			if task.state == api.TaskRunning && farFromEnd {
				machines = append(machines, task.worker)
			}
		}
	}
	return machines
}

// invalidSubmission makes a submission invalid by replacing a part of its body. status is the
// status with which it must be refused.
type invalidSubmission struct {
	from, to string
	status   int
}

// invalidSubmissions ask for more than any machine has, lack a field, have a field with a wrong
// value or type, or are no JSON object.
var invalidSubmissions = []invalidSubmission{
	{`"Vcpus":1`, `"Vcpus":5000`, http.StatusUnprocessableEntity},
	{`"Dueno":"norte"`, `"Dueno":"nadie"`, http.StatusUnprocessableEntity},
	{`"Imagen":"img-",`, ``, http.StatusBadRequest},
	{`"Tareas":2`, `"Tareas":"2"`, http.StatusBadRequest},
	{`"Tareas":2`, `"Tareas":0`, http.StatusBadRequest},
	{`"Forma":"array"`, `"Forma":"heap"`, http.StatusBadRequest},
	{`{`, `[`, http.StatusBadRequest},
}

// validJob is the job whose submission invalidSubmissions change.
var validJob = Job{Tasks: validJobTasks, RunS: validJobRunS}

// sendInvalidRequests makes users periodically send requests that must be refused, until the
// given time.
func (s *Simulation) sendInvalidRequests(until micros.Micros) {
	unknownJob := firstUnknownJob
	var repeat func()
	repeat = func() {
		if s.now >= until {
			return
		}
		s.after(invalidRequestPeriod, repeat)
		node := s.randomNode()
		unknownJob++
		s.submitInvalidJobs(node, unknownJob)
		s.repeatWithOtherBodies(node)
	}
	repeat()
}

// submitInvalidJobs submits invalid jobs under the ID of a job that was never accepted. It also
// queries and cancels the job with that ID.
func (s *Simulation) submitInvalidJobs(node *node, number int) {
	sender := &user{sim: s, id: jobID(number)}
	valid := string(submission(validJob.spec(number)))
	for _, invalid := range invalidSubmissions {
		body := strings.Replace(valid, invalid.from, invalid.to, 1)
		if body == valid {
			s.checker.report(invariantScenario, invalid.from+" is not in a submission")
		}
		submit := func(requestID uint64) message.Input {
			return message.Submit{RequestID: requestID, Body: []byte(body)}
		}
		sender.query(node, submit, func(answer message.Answer, _ bool, _ api.JobState) {
			s.countOccurrence(occurredInvalidRequest)
			s.checker.checkRefused(body, answer, invalid.status)
		})
	}
	checkUnknown := func(answer message.Answer, _ bool, _ api.JobState) {
		s.checker.checkRefused(sender.id, answer, http.StatusNotFound)
	}
	sender.query(node, sender.cancelInput, checkUnknown)
	sender.query(node, sender.statusInput, checkUnknown)
}

// repeatWithOtherBodies makes some users repeat the submission of an accepted job with another
// body, and cancel the job if it has ended. Neither may change the job.
func (s *Simulation) repeatWithOtherBodies(node *node) {
	for _, owner := range s.users {
		if !owner.accepted || s.rng.IntN(resubmissionOneIn) > 0 {
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
