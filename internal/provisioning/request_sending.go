package provisioning

import (
	"slices"

	"spurmoor/internal/cluster"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// maxRequestAttempts is how often a request is sent in a row without an answer before
	// it counts as refused.
	maxRequestAttempts = 4
	// requestRetryInterval is how long a request waits that could not be sent because there
	// was no valid grant for it.
	requestRetryInterval = micros.Second / 2
	// maxQueueTimeS is how many seconds it may take to send the requests of a partition that
	// are in flight, at this controller's rate of calls. A request that waited longer would
	// outlive its grant.
	maxQueueTimeS = 2.0
	// launchCallShare is the share of the cloud's rate limit that the requests of one
	// controller may use.
	launchCallShare = 0.5
	// refusalPlanDelay is the longest time from a refusal to the next scheduling cycle,
	// which chooses another kind.
	refusalPlanDelay = micros.Second
)

// maxRequestsInFlight returns how many requests of a partition may wait for an answer.
func (p *Provisioner) maxRequestsInFlight() int {
	return max(1, int(maxQueueTimeS*p.Settings.Deployment.Cloud.RPS*launchCallShare))
}

// sendDueRequests sends the open requests of a partition that are due, up to
// maxRequestsInFlight.
func (p *Provisioner) sendDueRequests(partition *cluster.Partition) {
	tracker := p.tracker(partition)
	limit := p.maxRequestsInFlight()
	for _, request := range slices.Clone(tracker.open) {
		if tracker.inFlight >= limit {
			return
		}
		if request.isDue(p.Now) {
			p.sendRequest(partition, request)
		}
	}
}

// sendRequest sends a request. Without a grant for it, it is due again after
// requestRetryInterval.
func (p *Provisioner) sendRequest(partition *cluster.Partition, request *provisioningRequest) {
	grant := p.storeLease.Grant(partition.RoleState, leadership.ActionLaunch)
	if grant.Check(leadership.ActionLaunch, p.Now) != "" {
		request.nextSendAt = p.Now + requestRetryInterval
		return
	}
	request.inFlight = true
	request.attempts++
	p.tracker(partition).inFlight++
	call := message.CloudCall{Op: message.OpLaunch, Launch: leadership.NewOrder(grant, &request.launch)}
	p.CallCloud(call, func(reply *message.CloudReply) {
		request.inFlight = false
		if request.abandoned {
			return
		}
		p.tracker(partition).inFlight--
		p.handleRequestReply(partition, request, reply)
		p.sendDueRequests(partition)
	})
}

// handleRequestReply handles the reply to a request. A request that was not sent waits
// for requestRetryInterval. One without an answer is sent up to maxRequestAttempts times in
// a row.
func (p *Provisioner) handleRequestReply(partition *cluster.Partition, request *provisioningRequest, reply *message.CloudReply) {
	switch {
	case reply.Unsent:
		request.attempts--
		request.nextSendAt = p.Now + requestRetryInterval
	case reply.Status == message.StatusOK:
		p.recordLaunched(partition, request, reply.Launched)
	case reply.Status == message.StatusNoReply && request.attempts < maxRequestAttempts:
		// It may have been carried out. Sent again under the same name, it returns the
		// machines that it launched.
		request.outcomeUnknown = true
		p.sendRequest(partition, request)
	default:
		request.outcomeUnknown = request.outcomeUnknown || reply.Status == message.StatusNoReply
		p.handleRefusal(partition, request, reply.Status)
	}
}

// handleRefusal handles a request that the cloud refused or did not answer. Its machines are
// no longer pending, and its kind is not requested again for a while.
func (p *Provisioner) handleRefusal(partition *cluster.Partition, request *provisioningRequest, status int) {
	tracker := p.tracker(partition)
	tracker.adjustPendingMachines(request.kind, -request.launch.Count)
	p.trigger.RequestWithin(refusalPlanDelay)
	if p.schema.RecordsMachineRequests() {
		tracker.deferRequest(request)
	} else {
		tracker.remove(request)
	}
	if status == message.StatusTooManyRequests {
		return // the rate limit was exceeded, which says nothing about the cloud's capacity
	}
	p.unavailableUntil[request.kind] = p.Now + p.Jitter(p.refusalBackoff())
	p.LogInfo("scale-out refused",
		logkey.Partition, partition.Index,
		logkey.Kind, request.kind.String(),
		logkey.Status, status)
}

// refusalBackoff returns how long a kind that the cloud refused is not requested again.
func (p *Provisioner) refusalBackoff() micros.Micros {
	return micros.FromSeconds(p.Settings.Operators.RefusalS)
}
