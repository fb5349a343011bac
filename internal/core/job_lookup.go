package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// jobLookup finds the states of jobs, and answers users who ask for them.
type jobLookup struct {
	*coordination.Environment
	cache        *coordination.WatchCache
	cluster      *cluster.State
	dependencies *cluster.DependencyGraph
}

func newJobLookup(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	dependencies *cluster.DependencyGraph,
) *jobLookup {
	return &jobLookup{Environment: env, cache: cache, cluster: cluster, dependencies: dependencies}
}

// handleStatus answers GET /work/{id}.
func (l *jobLookup) handleStatus(request message.GetStatus) {
	l.lookUpOrRefuse(request.RequestID, request.ID, refusalNoSuchJob, func(status api.JobStatus) {
		l.Answer(request.RequestID, message.StatusOK, status)
	})
}

// lookUpOrRefuse looks a job up for a request. A known job's state goes to known; a job
// that was never accepted is answered with notFound, and one that cannot be looked up
// with refusalStoreUnanswered.
func (l *jobLookup) lookUpOrRefuse(requestID uint64, id string, notFound refusal, known func(api.JobStatus)) {
	l.lookUp(id, func(result cluster.LookupResult, status api.JobStatus) {
		switch result {
		case cluster.JobKnown:
			known(status)
		case cluster.JobNeverAccepted:
			refuse(l.Environment, requestID, notFound)
		default:
			refuse(l.Environment, requestID, refusalStoreUnanswered)
		}
	})
}

// lookUp gives a job's state to done, no older than any that was told before: a terminal
// state from memory, any other after a read of the store begun now.
func (l *jobLookup) lookUp(id string, done func(cluster.LookupResult, api.JobStatus)) {
	if record, ok := l.dependencies.TerminalStates.Records[id]; ok {
		done(cluster.JobKnown, terminalStatus(id, record))
		return
	}
	if !api.ValidID(id) {
		done(cluster.JobNeverAccepted, api.JobStatus{})
		return
	}
	l.cache.ReadLatest(func(ok bool) {
		if !ok {
			done(cluster.LookupFailed, api.JobStatus{})
			return
		}
		l.lookUpInReplica(id, done)
	})
}

// lookUpInReplica finds a job in a replica that is new enough, or else reads its terminal record.
func (l *jobLookup) lookUpInReplica(id string, done func(cluster.LookupResult, api.JobStatus)) {
	job := l.cluster.Jobs[id]
	switch {
	case job == nil || job.Terminal:
		l.lookUpTerminalRecord(id, done)
	case job.UnknownDependencies > 0 && !job.HasStarted() && !job.Cancelled:
		// Perhaps a dependency was cancelled, and the job with it.
		done(cluster.LookupFailed, api.JobStatus{})
	default:
		done(cluster.JobKnown, job.Status())
	}
}

// lookUpTerminalRecord reads how a job ended that is not, or no longer, in the replica.
func (l *jobLookup) lookUpTerminalRecord(id string, done func(cluster.LookupResult, api.JobStatus)) {
	l.dependencies.ReadTerminalRecord(id, func(result cluster.LookupResult) {
		if result != cluster.JobKnown {
			done(result, api.JobStatus{})
			return
		}
		done(cluster.JobKnown, terminalStatus(id, l.dependencies.TerminalStates.Records[id]))
	})
}

// terminalStatus is what users are told of a job that ended.
func terminalStatus(id string, record records.TerminalJob) api.JobStatus {
	running := 0
	return api.JobStatus{ID: id, State: record.State, Done: &record.DoneTasks, Running: &running}
}
