package core

import (
	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
)

// refusal is why a request of a user or a worker is not carried out, and when to try again.
type refusal struct {
	status      int // HTTP's
	reason      string
	retryAfterS int // seconds; retryNever: the same request will be refused again
}

// Values of retryAfterS.
const (
	retryNever = 0
	// retrySoonS is for what another controller, or a second read, may answer.
	retrySoonS = 1
	// retryLaterS is for what takes controllers a few exchanges among themselves or with the cloud.
	retryLaterS = 2
	// retryAfterJobsEndS is for what needs other jobs to end first.
	retryAfterJobsEndS = 5
)

// Refusals of requests of users and workers alike.
var (
	refusalNotSynced = refusal{
		status: message.StatusServiceUnavailable, reason: "the state service has not been read yet", retryAfterS: retrySoonS,
	}
	refusalStoreUnanswered = refusal{
		status: message.StatusServiceUnavailable, reason: "the state service did not answer", retryAfterS: retrySoonS,
	}
)

// Refusals of users' requests.
var (
	refusalStoreUnavailable = refusal{
		status: message.StatusServiceUnavailable, reason: "the state service does not answer", retryAfterS: retrySoonS,
	}
	refusalStoreBusy = refusal{
		status: message.StatusServiceUnavailable, reason: "the state service is busy", retryAfterS: retrySoonS,
	}
	refusalNoSuchJob = refusal{
		status: message.StatusNotFound, reason: "no such job", retryAfterS: retryNever,
	}
)

// Refusals of submissions, by admission control.
var (
	refusalCatalogUnknown = refusal{
		status: message.StatusServiceUnavailable, reason: "the machine types are not known yet", retryAfterS: retryLaterS,
	}
	refusalUnknownTeam = refusal{
		status: message.StatusUnprocessableEntity, reason: "unknown team", retryAfterS: retryNever,
	}
	refusalFitsNoMachine = refusal{
		status: message.StatusUnprocessableEntity, reason: "a task fits no allowed machine type", retryAfterS: retryNever,
	}
	refusalExceedsTeamLimit = refusal{
		status: message.StatusUnprocessableEntity, reason: "the job needs more than the team's limit", retryAfterS: retryNever,
	}
	refusalTooLong = refusal{
		status: message.StatusBadRequest, reason: "the job's description is too long", retryAfterS: retryNever,
	}
	refusalTooManyJobs = refusal{
		status: message.StatusTooManyRequests, reason: "too many unfinished jobs", retryAfterS: retryAfterJobsEndS,
	}
	refusalDependsOnItself = refusal{
		status: message.StatusUnprocessableEntity, reason: "the job waits for itself", retryAfterS: retryNever,
	}
	refusalDependenciesUnreadable = refusal{
		status: message.StatusServiceUnavailable, reason: "not all controllers know jobs that wait for jobs yet", retryAfterS: retryLaterS,
	}
	refusalTooManyDependencies = refusal{
		status: message.StatusServiceUnavailable, reason: "it waits for more unfinished jobs than can be recorded",
		retryAfterS: retryAfterJobsEndS,
	}
)

// Refusals of workers' heartbeats: why one is not answered 200, which would renew the
// worker's lease.
var (
	refusalOtherMachine = refusal{
		status: message.StatusBadRequest, reason: "not the machine that was rented", retryAfterS: retryNever,
	}
	// refusalLeaseMustExpire is explained at mustLetLeaseExpire.
	refusalLeaseMustExpire = refusal{
		status: message.StatusServiceUnavailable, reason: "a cancelled task may still start there", retryAfterS: retrySoonS,
	}
	// refusalTokenOutranked: the worker obeys a later leader, which our replica does not show yet.
	refusalTokenOutranked = refusal{
		status: message.StatusServiceUnavailable, reason: "not entitled", retryAfterS: retrySoonS,
	}
	refusalHeartbeatOvertaken = refusal{
		status: message.StatusServiceUnavailable, reason: "a newer report was seen", retryAfterS: retrySoonS,
	}
)

// refusalMalformed refuses a submission that is no valid job.
func refusalMalformed(err error) refusal {
	return refusal{status: message.StatusBadRequest, reason: err.Error(), retryAfterS: retryNever}
}

// refusalByDependencies refuses a submission for the jobs that it names.
func refusalByDependencies(status int, reason string) refusal {
	return refusal{status: status, reason: reason, retryAfterS: retrySoonS}
}

// refusalNotReady tells a health check what keeps this controller from serving users.
func refusalNotReady(current condition) refusal {
	return refusal{status: message.StatusServiceUnavailable, reason: string(current), retryAfterS: retrySoonS}
}

// refuse answers a request with a refusal.
func refuse(env *coordination.Environment, requestID uint64, why refusal) {
	env.Refuse(requestID, why.status, why.reason, why.retryAfterS)
}

// redirect answers a heartbeat that this controller must not answer 200; leader is the
// node to turn to, "" if none is known.
func redirect(env *coordination.Environment, requestID uint64, leader string) {
	env.Answer(requestID, message.StatusMisdirectedRequest, api.Redirect{To: leader})
}
