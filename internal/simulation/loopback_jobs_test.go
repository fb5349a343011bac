package simulation

import (
	"net/http"

	"spurmoor/internal/api"

	"github.com/go-json-experiment/json"
)

// submit submits a job with the given number, to one controller after the other until one
// accepts it, and returns the job's id.
func (l *loopbackCluster) submit(number int, job Job) string {
	l.t.Helper()
	job.ID = number
	spec := job.spec(number)
	job.Kind = spec.Kind
	l.withLock(func() {
		if l.sim.usersByID[spec.ID] == nil {
			l.registerJob(spec, job)
		}
	})
	attempt := number
	l.waitUntil("a controller accepts "+spec.ID, func() bool {
		attempt++
		status, _ := l.request(http.MethodPost, attempt%processCount, "/work", submission(spec))
		return status == http.StatusCreated || status == http.StatusOK
	})
	return spec.ID
}

// registerJob makes a job known to the invariant checker and the workers. The caller holds
// mu.
func (l *loopbackCluster) registerJob(spec api.Job, job Job) {
	owner := &user{sim: l.sim, id: spec.ID, job: job}
	for _, id := range spec.Dependencies {
		owner.dependencies = append(owner.dependencies, l.sim.usersByID[id])
	}
	l.sim.usersByID[spec.ID], l.sim.jobs[spec.ID] = owner, job
}

// jobState returns a job's state as a controller answers it, and has the invariant checker
// check it. It returns an empty state if the controller does not answer.
func (l *loopbackCluster) jobState(id string, index int) api.JobState {
	code, raw := l.request(http.MethodGet, index, "/work/"+id, nil)
	var status api.JobStatus
	if code != http.StatusOK || json.Unmarshal(raw, &status) != nil {
		return ""
	}
	l.withLock(func() { l.sim.checker.stateReported(l.sim.usersByID[id], status.State) })
	return status.State
}

// waitForState waits until a controller answers that a job is in a state.
func (l *loopbackCluster) waitForState(id string, index int, state api.JobState) {
	l.t.Helper()
	l.waitUntil(id+" is "+string(state), func() bool { return l.jobState(id, index) == state })
}

// cancel cancels a job at a controller, and has the invariant checker check the answer.
func (l *loopbackCluster) cancel(id string, index int) {
	l.t.Helper()
	l.withLock(func() { l.sim.usersByID[id].cancelRequested = true })
	l.waitUntil(id+" is cancelled", func() bool {
		code, raw := l.request(http.MethodPost, index, "/work/"+id+"/cancel", nil)
		var status api.JobStatus
		if code != http.StatusOK || json.Unmarshal(raw, &status) != nil {
			return false
		}
		l.withLock(func() { l.sim.checker.cancellationAnswered(l.sim.usersByID[id], status.State) })
		return true
	})
}

// checkNoViolations checks that no invariant has been violated so far.
func (l *loopbackCluster) checkNoViolations() {
	l.t.Helper()
	l.withLock(func() {
		if len(l.sim.checker.violations) > 0 {
			l.t.Errorf("got violations %q, want none", l.sim.checker.violations)
		}
	})
}
