package simulation

import (
	"net/http"

	"spurmoor/internal/api"

	"github.com/go-json-experiment/json"
)

// submit submits a job to one controller after the other until one accepts it, and returns
// its id.
func (l *loopback) submit(number int, job Job) string {
	l.t.Helper()
	job.ID = number
	spec := job.spec(number)
	job.Kind = spec.Kind
	l.locked(func() {
		if l.sim.usersByID[spec.ID] == nil {
			l.addOwner(spec, job)
		}
	})
	attempt := number
	l.waitUntil("accepts "+spec.ID, func() bool {
		attempt++
		status, _ := l.request(http.MethodPost, attempt%controllerCount, "/work", submission(spec))
		return status == http.StatusCreated || status == http.StatusOK
	})
	return spec.ID
}

// addOwner makes a job known to the checker and the workers; the caller holds mu.
func (l *loopback) addOwner(spec api.Job, job Job) {
	owner := &user{sim: l.sim, id: spec.ID, job: job}
	for _, id := range spec.Dependencies {
		owner.dependencies = append(owner.dependencies, l.sim.usersByID[id])
	}
	l.sim.usersByID[spec.ID], l.sim.jobs[spec.ID] = owner, job
}

// jobState asks a controller for a job's state; empty: no answer.
func (l *loopback) jobState(id string, index int) api.JobState {
	code, raw := l.request(http.MethodGet, index, "/work/"+id, nil)
	var status api.JobStatus
	if code != http.StatusOK || json.Unmarshal(raw, &status) != nil {
		return ""
	}
	l.locked(func() { l.sim.checker.stateReported(l.sim.usersByID[id], status.State) })
	return status.State
}

// waitForState waits until a controller answers with a state of a job.
func (l *loopback) waitForState(id string, index int, state api.JobState) {
	l.t.Helper()
	l.waitUntil(id+" is "+string(state), func() bool { return l.jobState(id, index) == state })
}

// cancel cancels a job, and checks what its user receives.
func (l *loopback) cancel(id string, index int) {
	l.t.Helper()
	l.locked(func() { l.sim.usersByID[id].cancelRequested = true })
	l.waitUntil(id+" is cancelled", func() bool {
		code, raw := l.request(http.MethodPost, index, "/work/"+id+"/cancel", nil)
		var status api.JobStatus
		if code != http.StatusOK || json.Unmarshal(raw, &status) != nil {
			return false
		}
		l.locked(func() { l.sim.checker.cancellationAnswered(l.sim.usersByID[id], status.State) })
		return true
	})
}

// checkNoViolations checks that all invariants held.
func (l *loopback) checkNoViolations() {
	l.t.Helper()
	l.locked(func() {
		if len(l.sim.checker.violations) > 0 {
			l.t.Errorf("broken: %q", l.sim.checker.violations)
		}
	})
}
