package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
)

// submissionHandler accepts jobs. A user is told that a job is accepted only once its
// record is durable, and a repeated submission is answered with the job's state.
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

// submission is a job on its way to being accepted.
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
		h.answerDuplicateOrRefuse(request.RequestID, api.JobID(request.Body), refusalMalformed(err))
		return
	}
	if !h.cache.Synced {
		refuse(h.Environment, request.RequestID, refusalNotSynced)
		return
	}
	if why, ok := h.admission.check(spec); !ok {
		h.answerDuplicateOrRefuse(request.RequestID, spec.ID, why)
		return
	}
	if h.admission.storeIsUnavailable() {
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

// submitWithDependencies accepts a job that depends on others, once all of those are known
// to have been accepted.
func (h *submissionHandler) submitWithDependencies(job *submission) {
	if why, ok := h.admission.checkDependencies(job.spec); !ok {
		h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, why)
		return
	}
	h.admission.inFlight++
	h.dependencies.Verify(job.spec, func(status int, reason string) {
		h.admission.inFlight--
		if status != 0 {
			h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, refusalByDependencies(status, reason))
			return
		}
		h.recordJobWithDependencies(job)
	})
}

// recordJobWithDependencies records a job whose dependencies are known, as a list if that
// fits into a value of the store and packed otherwise.
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

// recordJob writes a job's record, and answers its user once that is durable.
func (h *submissionHandler) recordJob(job *submission, record []byte) {
	h.admission.inFlight++
	job.sentAt = h.Now
	// Neither an unfinished job nor one that ended may have this ID.
	absent := []api.Compare{{Key: records.JobPrefix + job.spec.ID}, {Key: records.TerminalPrefix + job.spec.ID}}
	h.writer.putJob(job.spec.ID, record, absent, func(outcome writeOutcome) {
		h.admission.inFlight--
		switch outcome {
		case writeCommitted:
			h.confirmAccepted(job)
		case writeConflict:
			h.answerDuplicateOrRefuse(job.requestID, job.spec.ID, refusalStoreBusy)
		default:
			refuse(h.Environment, job.requestID, refusalStoreUnanswered)
		}
	})
}

// confirmAccepted tells a user that a job is accepted. Where its write took long, or where
// it depends on other jobs, any of them may have been cancelled meanwhile by way of
// another controller: then the answer is from a new read.
func (h *submissionHandler) confirmAccepted(job *submission) {
	if len(job.spec.Dependencies) == 0 && h.Now < job.sentAt+coordination.MaxReadAge {
		h.Answer(job.requestID, message.StatusCreated, api.JobStatus{ID: job.spec.ID, State: api.JobPending})
		return
	}
	h.jobs.lookUpOrRefuse(job.requestID, job.spec.ID, refusalStoreUnanswered, func(status api.JobStatus) {
		h.Answer(job.requestID, message.StatusCreated, api.JobStatus{ID: job.spec.ID, State: status.State})
	})
}

// answerDuplicateOrRefuse refuses a submission, but answers 200 where the job was accepted
// before, whatever its body says now. id is "" where the body does not tell one.
func (h *submissionHandler) answerDuplicateOrRefuse(requestID uint64, id string, why refusal) {
	if id == "" {
		refuse(h.Environment, requestID, why)
		return
	}
	h.jobs.lookUpOrRefuse(requestID, id, why, func(status api.JobStatus) {
		h.Answer(requestID, message.StatusOK, status)
	})
}
