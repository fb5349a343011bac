package provisioning

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// requestLedger holds the requests for machines that a partition's leader has open.
//
// The cloud knows no fencing tokens: a request of a former leader may be carried out
// minutes late. So each is recorded in the key-value store under the leader's term before
// it is sent, and the leader after a failover repeats it under the same name: whichever
// of the two arrives first launches the machines, the other gets the same answer and
// launches nothing. A request is withdrawn once its machines are recorded. One that is
// refused stays open, and is sent again under its name when as much is wanted of its
// kind: a copy of it that comes late is no other request then.
type requestLedger struct {
	pendingMachines map[scheduler.InstanceKind]int // requested and not recorded yet
	open            []*provisioningRequest
	inFlight        int // sent and not answered

	mustRecord     bool                      // the record must be written before more is sent
	writeInFlight  *coordination.Transaction // of the record; nil: none
	outdated       bool                      // the record names settled requests
	recordedAt     micros.Micros             // when the record was last written
	version        api.Revision              // of the record
	storedRequests []RequestRecord           // what the record holds, as another controller wrote it
}

// provisioningRequest is one request for machines of one kind.
type provisioningRequest struct {
	launch            api.LaunchRequest
	kind              scheduler.InstanceKind
	recorded          bool          // its record is committed, or none is wanted
	inFlight          bool          // sent and not answered
	nextSendAt        micros.Micros // not to be sent before
	attempts          int           // in a row without an answer
	deferred          bool          // not wanted for now: the cloud refused it, or did not answer
	outcomeUnknown    bool          // sent once without an answer: it may still be carried out
	unrecordedBatches int           // answered: batches of its machines that are not recorded yet
	abandoned         bool          // the partition was lost since
}

// isDue tells whether a request may be sent now.
func (r *provisioningRequest) isDue(now micros.Micros) bool {
	answered := r.unrecordedBatches > 0
	return r.recorded && !r.inFlight && !answered && !r.deferred && now >= r.nextSendAt
}

// deferredRequest gives the open request for a kind that was refused; nil: there is none.
func (l *requestLedger) deferredRequest(kind scheduler.InstanceKind) *provisioningRequest {
	for _, request := range l.open {
		if request.deferred && request.kind == kind {
			return request
		}
	}
	return nil
}

// countPendingMachines changes the number of machines that are requested and not recorded
// yet.
func (l *requestLedger) countPendingMachines(kind scheduler.InstanceKind, change int) {
	if l.pendingMachines == nil {
		l.pendingMachines = map[scheduler.InstanceKind]int{}
	}
	l.pendingMachines[kind] += change
	if l.pendingMachines[kind] <= 0 {
		delete(l.pendingMachines, kind)
	}
}

// withdraw forgets a request that is settled.
func (l *requestLedger) withdraw(request *provisioningRequest) {
	l.open = slices.DeleteFunc(l.open, func(other *provisioningRequest) bool { return other == request })
	l.outdated = true
}

// withdrawAnyDeferred makes room for a request; it tells whether any open one was
// deferred.
func (l *requestLedger) withdrawAnyDeferred() bool {
	at := slices.IndexFunc(l.open, func(request *provisioningRequest) bool { return request.deferred })
	if at < 0 {
		return false
	}
	l.withdraw(l.open[at])
	return true
}

// deferRequest keeps a refused request, to be sent again under its name: one for each
// kind, preferably one that may still be carried out.
func (l *requestLedger) deferRequest(request *provisioningRequest) {
	other := l.deferredRequest(request.kind)
	if other != nil && other.outcomeUnknown && !request.outcomeUnknown {
		l.withdraw(request)
		return
	}
	if other != nil && !other.outcomeUnknown {
		l.withdraw(other)
	}
	request.deferred = true
	l.outdated = true
}
