package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// jobLookup looks up the states of jobs and answers users' status requests.
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

// lookUpOrRefuse looks up a job for a request. If the job is known, it calls found with the
// job's state. If the job was never accepted, it refuses the request with notFound, and if
// the lookup fails, with refusalStoreNoReply.
func (l *jobLookup) lookUpOrRefuse(requestID uint64, id string, notFound refusal, found func(api.JobStatus)) {
	l.lookUp(id, func(result cluster.LookupResult, status api.JobStatus) {
		switch result {
		case cluster.JobKnown:
			found(status)
		case cluster.JobNeverAccepted:
			refuse(l.Environment, requestID, notFound)
		default:
			refuse(l.Environment, requestID, refusalStoreNoReply)
		}
	})
}

// lookUp calls done with a job's state, which is at least as recent as any state that users
// were told before. A terminal state is final, so a cached one is used. Any other state needs
// a read of the store that begins now.
func (l *jobLookup) lookUp(id string, done func(cluster.LookupResult, api.JobStatus)) {
	if record, ok := l.dependencies.TerminalStates.Records[id]; ok {
		done(cluster.JobKnown, terminalStatus(id, record))
		return
	}
	if !api.ValidJobID(id) {
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

// lookUpInReplica looks up a job in a replica that was just brought up to date. If the job is
// not there or has ended, its terminal record is read.
func (l *jobLookup) lookUpInReplica(id string, done func(cluster.LookupResult, api.JobStatus)) {
	job := l.cluster.Jobs[id]
	switch {
	case job == nil || job.Terminal:
		l.lookUpTerminalRecord(id, done)
	case job.MayBeCancelled():
		done(cluster.LookupFailed, api.JobStatus{})
	default:
		done(cluster.JobKnown, job.Status())
	}
}

// lookUpTerminalRecord reads the terminal record of a job that is not among the unfinished
// jobs of the replica.
func (l *jobLookup) lookUpTerminalRecord(id string, done func(cluster.LookupResult, api.JobStatus)) {
	l.dependencies.ReadTerminalRecord(id, func(result cluster.LookupResult) {
		if result != cluster.JobKnown {
			done(result, api.JobStatus{})
			return
		}
		done(cluster.JobKnown, terminalStatus(id, l.dependencies.TerminalStates.Records[id]))
	})
}

// terminalStatus returns the status of a job that has ended.
func terminalStatus(id string, record records.TerminalJob) api.JobStatus {
	running := 0
	return api.JobStatus{ID: id, State: record.State, Done: &record.DoneTasks, Running: &running}
}
