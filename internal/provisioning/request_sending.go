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
	// maxRequestAttempts is how often a request is sent in a row without an answer.
	maxRequestAttempts = 4
	// requestRetryInterval is how long a request waits that there was no grant for.
	requestRetryInterval = micros.Second / 2
	// requestLookaheadS is how many seconds' worth of the cloud's calls a partition's
	// requests may take up at a time: a request that waited for longer would outlive
	// its grant.
	requestLookaheadS = 2.0
	// launchCallShare is the share of the cloud's calls that one controller's requests
	// take.
	launchCallShare = 0.5
	// refusalPlanDelay is how soon it is planned again after a refusal, so that another
	// kind is chosen.
	refusalPlanDelay = micros.Second
)

// maxRequestsInFlight is how many requests of a partition may wait for an answer.
func (p *Provisioner) maxRequestsInFlight() int {
	return max(1, int(requestLookaheadS*p.Settings.Deployment.Cloud.RPS*launchCallShare))
}

// sendDueRequests sends what is due of a partition's open requests.
func (p *Provisioner) sendDueRequests(partition *cluster.Partition) {
	ledger := p.ledger(partition)
	limit := p.maxRequestsInFlight()
	for _, request := range slices.Clone(ledger.open) {
		if ledger.inFlight >= limit {
			return
		}
		if request.isDue(p.Now) {
			p.sendRequest(partition, request)
		}
	}
}

// sendRequest sends a request, if there is a grant for it now.
func (p *Provisioner) sendRequest(partition *cluster.Partition, request *provisioningRequest) {
	grant := p.storeLease.Grant(partition.RoleState, leadership.Launch)
	if grant.Check(leadership.Launch, p.Now) != "" {
		request.nextSendAt = p.Now + requestRetryInterval
		return
	}
	request.inFlight = true
	request.attempts++
	p.ledger(partition).inFlight++
	call := message.CloudCall{Op: message.OpLaunch, Launch: leadership.NewOrder(grant, &request.launch)}
	p.CallCloud(call, func(reply *message.CloudReply) {
		request.inFlight = false
		if request.abandoned {
			return
		}
		p.ledger(partition).inFlight--
		p.handleRequestReply(partition, request, reply)
		p.sendDueRequests(partition)
	})
}

// handleRequestReply takes in the answer to a request, or that none came.
func (p *Provisioner) handleRequestReply(partition *cluster.Partition, request *provisioningRequest, reply *message.CloudReply) {
	switch {
	case reply.Unsent:
		request.attempts--
		request.nextSendAt = p.Now + requestRetryInterval
	case reply.Status == message.StatusOK:
		p.recordLaunched(partition, request, reply.Launched)
	case reply.Status == message.StatusNoReply && request.attempts < maxRequestAttempts:
		// Whether it was carried out is not known: the same name gives the same
		// machines.
		request.outcomeUnknown = true
		p.sendRequest(partition, request)
	default:
		request.outcomeUnknown = request.outcomeUnknown || reply.Status == message.StatusNoReply
		p.handleRefusal(partition, request, reply.Status)
	}
}

// handleRefusal takes in that no machines are to be had by a request now.
func (p *Provisioner) handleRefusal(partition *cluster.Partition, request *provisioningRequest, status int) {
	ledger := p.ledger(partition)
	ledger.countPendingMachines(request.kind, -request.launch.Count)
	p.trigger.RequestWithin(refusalPlanDelay)
	if p.schema.RecordsRequests() {
		ledger.deferRequest(request)
	} else {
		ledger.withdraw(request)
	}
	if status == message.StatusTooManyRequests {
		return // we called too often: it says nothing of the cloud's capacity
	}
	p.unavailableUntil[request.kind] = p.Now + p.Jitter(p.refusalMemory())
	p.LogInfo("scale-out refused",
		logkey.Partition, partition.Index,
		logkey.Kind, request.kind.String(),
		logkey.Status, status)
}

// refusalMemory is how long a kind that was refused is not requested again.
func (p *Provisioner) refusalMemory() micros.Micros {
	return micros.FromSeconds(p.Settings.Operators.RefusalS)
}
