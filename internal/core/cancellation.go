package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"
)

// maxCancellationWrites bounds how often a cancellation is written anew because the job's
// key changed between the read and the write.
const maxCancellationWrites = 4

// cancellationHandler cancels jobs. A user is told so only once it is durable.
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

// cancellation is a request to cancel a job while it is carried out.
type cancellation struct {
	requestID  uint64
	id         string // the job's
	writesLeft int
}

// handleCancel answers POST /work/{id}/cancel.
func (h *cancellationHandler) handleCancel(request message.Cancel) {
	h.tryCancel(&cancellation{requestID: request.RequestID, id: request.ID, writesLeft: maxCancellationWrites})
}

// tryCancel looks the job up and cancels it unless it has ended.
func (h *cancellationHandler) tryCancel(request *cancellation) {
	h.jobs.lookUpOrRefuse(request.requestID, request.id, refusalNoSuchJob, func(status api.JobStatus) {
		h.cancelInState(request, status.State)
	})
}

// cancelInState cancels a job that was found in a state.
func (h *cancellationHandler) cancelInState(request *cancellation, state api.JobState) {
	job := h.cluster.Jobs[request.id]
	switch {
	case state == api.JobDone || state == api.JobCancelled:
		h.Answer(request.requestID, message.StatusOK, api.JobStatus{ID: request.id, State: state})
	case job == nil || request.writesLeft == 0:
		refuse(h.Environment, request.requestID, refusalStoreUnanswered)
	default:
		h.writeCancellation(request, job)
	}
}

// writeCancellation marks a job's record as cancelled, if it is still the one that was read.
func (h *cancellationHandler) writeCancellation(request *cancellation, job *cluster.Job) {
	// Nobody needs to know any more what a cancelled job depended on.
	record := records.Job{Spec: withoutDependencies(job.Spec), AcceptedAt: job.AcceptedAt, Cancelled: true}
	unchanged := []api.Compare{{Key: records.JobPrefix + job.ID, Version: job.Version}}
	request.writesLeft--
	h.writer.putJob(job.ID, records.MustMarshal(record), unchanged, func(outcome writeOutcome) {
		switch outcome {
		case writeCommitted:
			h.messenger.notifyCancelled(request.id)
			h.Answer(request.requestID, message.StatusOK, api.JobStatus{ID: request.id, State: api.JobCancelled})
		case writeConflict:
			h.tryCancel(request)
		default:
			refuse(h.Environment, request.requestID, refusalStoreUnanswered)
		}
	})
}
