package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// maxCancellationWrites bounds the attempts to write a cancellation: a write fails if the
// job's key has changed since it was read.
const maxCancellationWrites = 4

// cancellationHandler cancels jobs. It confirms a cancellation to the user only once the
// store has recorded it.
type cancellationHandler struct {
	*coordination.Environment
	cluster   *cluster.State
	jobs      *jobLookup
	messenger *peerMessenger
	writer    *jobWriter
}

func newCancellationHandler(
	env *coordination.Environment,
	cluster *cluster.State,
	jobs *jobLookup,
	messenger *peerMessenger,
	writer *jobWriter,
) *cancellationHandler {
	return &cancellationHandler{Environment: env, cluster: cluster, jobs: jobs, messenger: messenger, writer: writer}
}

// cancellation is a request in progress to cancel a job.
type cancellation struct {
	requestID  uint64
	jobID      string
	writesLeft int
}

// handleCancel answers POST /work/{id}/cancel.
func (h *cancellationHandler) handleCancel(request message.Cancel) {
	h.tryCancel(&cancellation{requestID: request.RequestID, jobID: request.ID, writesLeft: maxCancellationWrites})
}

// tryCancel looks the job up and cancels it unless it has ended.
func (h *cancellationHandler) tryCancel(request *cancellation) {
	h.jobs.lookUpOrRefuse(request.requestID, request.jobID, refusalNoSuchJob, func(status api.JobStatus) {
		h.cancelUnlessEnded(request, status.State)
	})
}

// cancelUnlessEnded cancels a job whose state was looked up. A job that has ended stays as it is.
func (h *cancellationHandler) cancelUnlessEnded(request *cancellation, state api.JobState) {
	job := h.cluster.Jobs[request.jobID]
	switch {
	case state == api.JobDone || state == api.JobCancelled:
		h.Answer(request.requestID, message.StatusOK, api.JobStatus{ID: request.jobID, State: state})
	case job == nil || request.writesLeft == 0:
		refuse(h.Environment, request.requestID, refusalStoreNoReply)
	default:
		h.writeCancellation(request, job)
	}
}

// writeCancellation writes a job's record as cancelled unless the record has changed since
// it was read. After a conflict it looks the job up again.
func (h *cancellationHandler) writeCancellation(request *cancellation, job *cluster.Job) {
	// The dependencies of a cancelled job are no longer needed.
	record := records.Job{Spec: withoutDependencies(job.Spec), AcceptedAt: job.AcceptedAt, Cancelled: true}
	unchanged := []api.Compare{{Key: records.JobPrefix + job.ID, Version: job.Version}}
	request.writesLeft--
	h.writer.putJob(job.ID, records.MustMarshal(record), unchanged, func(outcome writeOutcome) {
		switch outcome {
		case writeCommitted:
			h.messenger.announceCancellation(request.jobID)
			h.Answer(request.requestID, message.StatusOK, api.JobStatus{ID: request.jobID, State: api.JobCancelled})
		case writeConflict:
			h.tryCancel(request)
		default:
			refuse(h.Environment, request.requestID, refusalStoreNoReply)
		}
	})
}
