package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/message"
)

// handleStatus answers GET /work/{id}.
func (l *jobLookup) handleStatus(request message.GetStatus) {
	l.lookUpOrRefuse(request.RequestID, request.ID, refusalNoSuchJob, func(status api.JobStatus) {
		l.Answer(request.RequestID, statusOK, status)
	})
}
