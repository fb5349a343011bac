package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// submissionHandler accepts jobs. It confirms a job to the user only once the job's record
// is durable, and answers a repeated submission with the job's state.
type submissionHandler struct {
	*coordination.Environment
	admission    *admissionControl
	cache        *coordination.WatchCache
	dependencies *cluster.DependencyGraph
	jobs         *jobLookup
	writer       *jobWriter
}

func newSubmissionHandler(
	env *coordination.Environment,
	admission *admissionControl,
	cache *coordination.WatchCache,
	dependencies *cluster.DependencyGraph,
	jobs *jobLookup,
	writer *jobWriter,
) *submissionHandler {
	return &submissionHandler{
		Environment: env, admission: admission, cache: cache, dependencies: dependencies, jobs: jobs, writer: writer,
	}
}

// submission is a job that is being accepted.
type submission struct {
	requestID  uint64
	spec       *api.Job
	receivedAt micros.Micros
	sentAt     micros.Micros // when its record was sent to the store
}

// handleSubmit answers POST /work.
func (h *submissionHandler) handleSubmit(request message.Submit) {
	spec, err := api.ParseJob(request.Body)
	if err != nil {
		h.answerDuplicateOrRefuse(request.RequestID, api.ParseJobID(request.Body), refusalMalformed(err))
		return
	}
	if !h.cache.Synced {
		refuse(h.Environment, request.RequestID, refusalNotSynced)
		return
	}
	if reason, ok := h.admission.check(spec); !ok {
		h.answerDuplicateOrRefuse(request.RequestID, spec.ID, reason)
		return
	}
	if h.admission.storeUnavailable() {
		refuse(h.Environment, request.RequestID, refusalStoreUnavailable)
		return
	}
	admitted := &submission{requestID: request.RequestID, spec: spec, receivedAt: h.Now}
	if len(spec.Dependencies) > 0 {
		h.submitWithDependencies(admitted)
		return
	}
	h.recordJob(admitted, records.MustMarshal(records.Job{Spec: *spec, AcceptedAt: admitted.receivedAt}))
}

// submitWithDependencies records a job that depends on others, after it has verified that
// all of them were accepted.
func (h *submissionHandler) submitWithDependencies(job *submission) {
	if reason, ok := h.admission.checkDependencies(job.spec); !ok {
		h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, reason)
		return
	}
	h.admission.inFlight++
	h.dependencies.Verify(job.spec, func(status int, reason string) {
		h.admission.inFlight--
		if status != 0 {
			h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, refusalForDependencies(status, reason))
			return
		}
		h.recordJobWithDependencies(job)
	})
}

// recordJobWithDependencies records a job whose dependencies were verified. The dependencies
// are recorded as a list if that fits into a value of the store, and packed otherwise.
func (h *submissionHandler) recordJobWithDependencies(job *submission) {
	record := records.Job{Spec: *job.spec, AcceptedAt: job.receivedAt}
	h.dependencies.DropEnded(&record)
	value := records.MustMarshal(record)
	if len(value) > h.Settings.MaxValueBytes() {
		record.PackDependencies()
		value = records.MustMarshal(record)
	}
	if len(value) > h.Settings.MaxValueBytes() {
		h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, refusalTooManyDependencies)
		return
	}
	h.recordJob(job, value)
}

// recordJob writes a job's record, and answers the user once the record is durable.
func (h *submissionHandler) recordJob(job *submission, record []byte) {
	h.admission.inFlight++
	job.sentAt = h.Now
	// No unfinished or ended job may have this ID.
	absent := []api.Compare{{Key: records.JobPrefix + job.spec.ID}, {Key: records.TerminalPrefix + job.spec.ID}}
	h.writer.putJob(job.spec.ID, record, absent, func(outcome writeOutcome) {
		h.admission.inFlight--
		switch outcome {
		case writeCommitted:
			h.confirmAccepted(job)
		case writeConflict:
			h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, refusalStoreBusy)
		default:
			refuse(h.Environment, job.requestID, refusalStoreNoReply)
		}
	})
}

// confirmAccepted answers a user whose job was accepted. If the write took long or the job
// has dependencies, another controller may have cancelled the job or a dependency in the
// meantime. The answer is then taken from a new read.
func (h *submissionHandler) confirmAccepted(job *submission) {
	if len(job.spec.Dependencies) == 0 && h.Now < job.sentAt+coordination.MaxReadAge {
		h.Answer(job.requestID, message.StatusCreated, api.JobStatus{ID: job.spec.ID, State: api.JobPending})
		return
	}
	h.jobs.lookUpOrRefuse(job.requestID, job.spec.ID, refusalStoreNoReply, func(status api.JobStatus) {
		h.Answer(job.requestID, message.StatusCreated, api.JobStatus{ID: job.spec.ID, State: status.State})
	})
}

// answerDuplicateOrRefuse answers 200 with the job's state if the job was accepted before,
// whatever the body contains now. Otherwise it refuses the submission. id is "" if the body
// has no job ID.
func (h *submissionHandler) answerDuplicateOrRefuse(requestID uint64, id string, reason refusal) {
	if id == "" {
		refuse(h.Environment, requestID, reason)
		return
	}
	h.jobs.lookUpOrRefuse(requestID, id, reason, func(status api.JobStatus) {
		h.Answer(requestID, message.StatusOK, status)
	})
}
