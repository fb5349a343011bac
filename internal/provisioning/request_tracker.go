package provisioning

import (
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/coordination"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// requestTracker holds the open requests for machines of a partition.
//
// The cloud does not check fencing tokens, so a request of a former leader may be carried
// out minutes late. Each request is therefore recorded in the key-value store under the
// leader's term before it is sent. After a failover the new leader repeats it under the
// same name. Whichever copy arrives first launches the machines; the other gets the same
// answer and launches nothing.
//
// A request is removed once its machines are recorded. A request that the cloud refuses
// is deferred: it stays open and is sent again under the same name when enough machines of
// its kind are wanted. If a request with a new name were sent instead, a late copy of the
// refused one would launch additional machines.
type requestTracker struct {
	pendingMachines map[scheduler.InstanceKind]int // number requested and not recorded yet
	open            []*provisioningRequest
	inFlight        int // requests sent and not answered

	mustRecord     bool                      // the record must be written before new requests are sent
	writeInFlight  *coordination.Transaction // write of the record; nil: none
	recordOutdated bool                      // requests were removed or deferred since the record was last written
	recordedAt     micros.Micros             // when the last write of the record was submitted
	recordVersion  api.Revision              // version of the record's key
	storedRequests []RequestRecord           // content of the record as the watch cache showed it; own writes may be missing
}

// provisioningRequest is an open request for machines of one kind.
type provisioningRequest struct {
	launch            api.LaunchRequest
	kind              scheduler.InstanceKind
	recorded          bool          // its record is committed, or requests are not recorded
	inFlight          bool          // sent and not answered
	nextSendAt        micros.Micros // earliest time to send it
	attempts          int           // how often it was sent in a row without an answer
	deferred          bool          // not to be sent for now: the cloud refused it or did not answer
	outcomeUnknown    bool          // sent at least once without an answer: it may still be carried out
	unrecordedBatches int           // batches of launched machines not recorded yet; 0 until the answer comes
	abandoned         bool          // the partition was lost: the reply is ignored
}

// isDue reports whether a request is to be sent now.
func (r *provisioningRequest) isDue(now micros.Micros) bool {
	answered := r.unrecordedBatches > 0
	return r.recorded && !r.inFlight && !answered && !r.deferred && now >= r.nextSendAt
}

// deferredRequest returns the first deferred request for a kind, or nil.
func (t *requestTracker) deferredRequest(kind scheduler.InstanceKind) *provisioningRequest {
	for _, request := range t.open {
		if request.deferred && request.kind == kind {
			return request
		}
	}
	return nil
}

// adjustPendingMachines adds change, which may be negative, to the number of pending
// machines of a kind.
func (t *requestTracker) adjustPendingMachines(kind scheduler.InstanceKind, change int) {
	if t.pendingMachines == nil {
		t.pendingMachines = map[scheduler.InstanceKind]int{}
	}
	t.pendingMachines[kind] += change
	if t.pendingMachines[kind] <= 0 {
		delete(t.pendingMachines, kind)
	}
}

// remove removes a request from the open ones. The record is updated later.
func (t *requestTracker) remove(request *provisioningRequest) {
	t.open = slices.DeleteFunc(t.open, func(other *provisioningRequest) bool { return other == request })
	t.recordOutdated = true
}

// removeOldestDeferred removes the first deferred request to make room for a new one. It
// reports whether there was one.
func (t *requestTracker) removeOldestDeferred() bool {
	at := slices.IndexFunc(t.open, func(request *provisioningRequest) bool { return request.deferred })
	if at < 0 {
		return false
	}
	t.remove(t.open[at])
	return true
}

// deferRequest keeps a refused request open, to be sent again under the same name. Of the
// deferred requests for a kind only one is kept, except that requests with an unknown
// outcome are not removed for another, as they may still be carried out.
func (t *requestTracker) deferRequest(request *provisioningRequest) {
	other := t.deferredRequest(request.kind)
	if other != nil && other.outcomeUnknown && !request.outcomeUnknown {
		t.remove(request)
		return
	}
	if other != nil && !other.outcomeUnknown {
		t.remove(other)
	}
	request.deferred = true
	t.recordOutdated = true
}
