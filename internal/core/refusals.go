package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
)

// refusal is the reason why a request of a user or worker is refused, and the time after
// which the client may retry.
type refusal struct {
	status      int // HTTP status
	text        string
	retryAfterS int // seconds; retryNever if the same request will be refused again
}

// Values of retryAfterS.
const (
	retryNever = 0
	// retrySoonS is for requests that another controller, or a second read, may answer.
	retrySoonS = 1
	// retryLaterS is for requests that must wait for a few messages between controllers or
	// to the cloud.
	retryLaterS = 2
	// retryAfterJobsEndS is for requests that must wait for other jobs to end.
	retryAfterJobsEndS = 5
)

// Refusals of users' requests. refusalNotSynced also refuses workers' heartbeats.
var (
	refusalNotSynced = refusal{
		status: message.StatusServiceUnavailable, text: "the state service has not been read yet", retryAfterS: retrySoonS,
	}
	refusalStoreNoReply = refusal{
		status: message.StatusServiceUnavailable, text: "the state service did not answer", retryAfterS: retrySoonS,
	}
)

// Refusals of users' requests.
var (
	refusalStoreUnavailable = refusal{
		status: message.StatusServiceUnavailable, text: "the state service does not answer", retryAfterS: retrySoonS,
	}
	refusalStoreBusy = refusal{
		status: message.StatusServiceUnavailable, text: "the state service is busy", retryAfterS: retrySoonS,
	}
	refusalNoSuchJob = refusal{
		status: message.StatusNotFound, text: "no such job", retryAfterS: retryNever,
	}
)

// Refusals of submissions, by admission control.
var (
	refusalCatalogUnknown = refusal{
		status: message.StatusServiceUnavailable, text: "the machine types are not known yet", retryAfterS: retryLaterS,
	}
	refusalUnknownTeam = refusal{
		status: message.StatusUnprocessableEntity, text: "unknown team", retryAfterS: retryNever,
	}
	refusalFitsNoMachine = refusal{
		status: message.StatusUnprocessableEntity, text: "a task fits no allowed machine type", retryAfterS: retryNever,
	}
	refusalExceedsTeamLimit = refusal{
		status: message.StatusUnprocessableEntity, text: "the job needs more than the team's limit", retryAfterS: retryNever,
	}
	refusalJobTooLong = refusal{
		status: message.StatusBadRequest, text: "the job's description is too long", retryAfterS: retryNever,
	}
	refusalTooManyJobs = refusal{
		status: message.StatusTooManyRequests, text: "too many unfinished jobs", retryAfterS: retryAfterJobsEndS,
	}
	refusalDependsOnItself = refusal{
		status: message.StatusUnprocessableEntity, text: "the job waits for itself", retryAfterS: retryNever,
	}
	refusalDependenciesUnsupported = refusal{
		status: message.StatusServiceUnavailable, text: "not all controllers know jobs that wait for jobs yet", retryAfterS: retryLaterS,
	}
	refusalTooManyDependencies = refusal{
		status: message.StatusServiceUnavailable, text: "it waits for more unfinished jobs than can be recorded",
		retryAfterS: retryAfterJobsEndS,
	}
)

// Refusals of workers' heartbeats. A heartbeat that is refused does not renew the worker's
// lease, unlike one that is answered 200.
var (
	refusalMachineMismatch = refusal{
		status: message.StatusBadRequest, text: "not the machine that was rented", retryAfterS: retryNever,
	}
	// refusalLeaseMustExpire is used if mustLetLeaseExpire reports true.
	refusalLeaseMustExpire = refusal{
		status: message.StatusServiceUnavailable, text: "a cancelled task may still start there", retryAfterS: retrySoonS,
	}
	// refusalNewerToken is used if the worker has a higher fencing token than ours: it got the
	// token from a later leader that our replica does not show yet.
	refusalNewerToken = refusal{
		status: message.StatusServiceUnavailable, text: "not entitled", retryAfterS: retrySoonS,
	}
	refusalStaleHeartbeat = refusal{
		status: message.StatusServiceUnavailable, text: "a newer report was seen", retryAfterS: retrySoonS,
	}
)

// refusalMalformed returns the refusal of a submission that is not a valid job.
func refusalMalformed(err error) refusal {
	return refusal{status: message.StatusBadRequest, text: err.Error(), retryAfterS: retryNever}
}

// refusalForDependencies returns the refusal of a submission whose dependencies are not
// accepted.
func refusalForDependencies(status int, reason string) refusal {
	return refusal{status: status, text: reason, retryAfterS: retrySoonS}
}

// refusalNotReady returns the refusal of a health check. The reason is the condition that
// keeps this controller from serving users.
func refusalNotReady(current condition) refusal {
	return refusal{status: message.StatusServiceUnavailable, text: string(current), retryAfterS: retrySoonS}
}

// refuse answers a request with a refusal.
func refuse(env *coordination.Environment, requestID uint64, reason refusal) {
	env.Refuse(requestID, reason.status, reason.text, reason.retryAfterS)
}

// redirect answers a heartbeat that this controller may not answer 200 and tells the worker
// to use another controller. leader is the node of that controller, or "" if unknown.
func redirect(env *coordination.Environment, requestID uint64, leader string) {
	env.Answer(requestID, message.StatusMisdirectedRequest, api.Redirect{To: leader})
}
