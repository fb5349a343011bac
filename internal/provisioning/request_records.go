package provisioning

import (
	"slices"
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/records"
	"spurmoor/internal/scheduler"

	"github.com/go-json-experiment/json"
)

// RequestRecord is one open request in a RequestsRecord.
type RequestRecord struct {
	Name     string `json:"q"`
	Type     string `json:"t"`
	Zone     string `json:"z"`
	Spot     bool   `json:"s,omitzero"`
	Count    int    `json:"c"`
	Deferred bool   `json:"f,omitzero"`
}

// RequestsRecord is a value in the key-value store: all open requests of a partition.
type RequestsRecord struct {
	Open []RequestRecord `json:"r,omitzero"`
}

const (
	// requestRecordBytes is the largest size of an encoded RequestRecord.
	requestRecordBytes = 160
	// The record of open requests may fill 1/requestsTransactionDivisor of the largest
	// transaction.
	requestsTransactionDivisor = 8
	// minOpenRequests is how many requests may be open at least, however small the store's
	// values are.
	minOpenRequests = 2
	// recordCleanupInterval is the least time between two writes of a record for which no
	// new request waits.
	recordCleanupInterval = 5 * micros.Second
)

// maxOpenRequests returns how many requests a partition may have open: as many as fit into
// its record.
func (p *Provisioner) maxOpenRequests() int {
	maxRecordBytes := min(p.Settings.MaxValueBytes(), cluster.MaxTransactionBytes/requestsTransactionDivisor)
	return max(minOpenRequests, maxRecordBytes/requestRecordBytes)
}

// requestsKey returns the key of a partition's record of open requests.
func requestsKey(partition *cluster.Partition) string {
	return records.RequestsPrefix + strconv.Itoa(partition.Index)
}

// recordRequests writes a partition's open requests to the store: at once if new ones wait
// to be sent, and otherwise every recordCleanupInterval if the record is outdated. A
// request whose machines are recorded may stay in the record for a while. If a new leader
// repeats it, the cloud returns the same machines, which are known or recently deleted.
func (p *Provisioner) recordRequests(partition *cluster.Partition) {
	tracker := p.tracker(partition)
	outdated := tracker.recordOutdated && p.Now > tracker.recordedAt+recordCleanupInterval
	if tracker.writeInFlight != nil || !tracker.mustRecord && !outdated || !p.schema.RecordsMachineRequests() {
		return
	}
	transaction := p.requestsTransaction(partition, tracker)
	tracker.writeInFlight = transaction
	tracker.mustRecord = false
	tracker.recordOutdated = false
	tracker.recordedAt = p.Now
	p.budget.ChargeUnthrottled(1)
	p.transactions.Submit(transaction)
}

// requestsTransaction returns the transaction that writes a partition's open requests. It
// compares the version of the record as well as the term: otherwise a late copy of the
// transaction would restore requests that have been removed.
func (p *Provisioner) requestsTransaction(partition *cluster.Partition, tracker *requestTracker) *coordination.Transaction {
	key := requestsKey(partition)
	open := slices.Clone(tracker.open)
	return &coordination.Transaction{
		Request: api.Transaction{
			Compares: []api.Compare{
				{Key: partition.Key(), Version: api.Revision(partition.Term)},
				{Key: key, Version: tracker.recordVersion},
			},
			Writes: []api.Write{{Put: key, Value: records.MustMarshal(newRequestsRecord(open))}},
		},
		Grant: func() leadership.Grant { return p.storeLease.Grant(partition.RoleState, leadership.ActionWrite) },
		OnCommitted: func(revision api.Revision) {
			tracker.writeInFlight = nil
			tracker.recordVersion = max(tracker.recordVersion, revision)
			for _, request := range open {
				request.recorded = true
			}
			p.sendDueRequests(partition)
		},
		OnRefused: func() {
			tracker.writeInFlight = nil
			tracker.mustRecord = true
		},
	}
}

func newRequestsRecord(open []*provisioningRequest) RequestsRecord {
	var record RequestsRecord
	for _, request := range open {
		record.Open = append(record.Open, RequestRecord{
			Name:     request.launch.Name,
			Type:     request.kind.Type,
			Zone:     request.kind.Zone,
			Spot:     request.kind.Spot,
			Count:    request.launch.Count,
			Deferred: request.deferred,
		})
	}
	return record
}

// ApplyRequestsRecord handles a partition's record of open requests, unless a newer one is
// known. keySuffix is the part of its key after the prefix. Of a record that cannot be
// decoded, what precedes the error is kept, and the error is returned.
func (p *Provisioner) ApplyRequestsRecord(keySuffix string, value []byte, version api.Revision) error {
	tracker := p.trackerForKey(keySuffix)
	if tracker == nil || tracker.recordVersion >= version {
		return nil
	}
	var record RequestsRecord
	err := json.Unmarshal(value, &record)
	tracker.recordVersion = version
	tracker.storedRequests = record.Open
	return err //nolint:wrapcheck // the caller logs it with the key that it was read from
}

// trackerForKey returns the requests of the partition whose index is keySuffix, or nil if
// there is no such partition.
func (p *Provisioner) trackerForKey(keySuffix string) *requestTracker {
	index, err := strconv.Atoi(keySuffix)
	if err != nil || index < 0 || index >= len(p.trackers) {
		return nil
	}
	return p.trackers[index]
}

// AbandonRequests drops the open requests of a partition that this controller no longer
// leads: the next leader repeats them. Replies that still come are ignored.
func (p *Provisioner) AbandonRequests(partition *cluster.Partition) {
	tracker := p.tracker(partition)
	for _, request := range tracker.open {
		request.abandoned = true
	}
	if tracker.writeInFlight != nil {
		tracker.writeInFlight.Settled = true // it compares the term: it was carried out before the loss or never will be
	}
	*tracker = requestTracker{recordVersion: tracker.recordVersion, storedRequests: tracker.storedRequests}
}

// AdoptOpenRequests opens, after a failover, the requests that the former leader recorded.
// They are sent again, except for deferred ones, which stay deferred.
func (p *Provisioner) AdoptOpenRequests(partition *cluster.Partition) {
	if !p.schema.RecordsMachineRequests() {
		return
	}
	tracker := p.tracker(partition)
	for _, record := range tracker.storedRequests {
		request := p.requestFromRecord(record)
		if !request.deferred {
			tracker.adjustPendingMachines(request.kind, record.Count)
		}
		tracker.open = append(tracker.open, request)
	}
	if count := len(tracker.storedRequests); count > 0 {
		p.LogInfo("scale-out requests of the former leader repeated",
			logkey.Partition, partition.Index,
			logkey.Requests, count)
	}
}

// requestFromRecord returns an open request for a former leader's record. Its outcome is
// unknown: the former leader may have sent it.
func (p *Provisioner) requestFromRecord(record RequestRecord) *provisioningRequest {
	return &provisioningRequest{
		kind: scheduler.InstanceKind{Type: record.Type, Zone: record.Zone, Spot: record.Spot},
		launch: api.LaunchRequest{
			Name:  record.Name,
			Type:  record.Type,
			Zone:  record.Zone,
			Spot:  record.Spot,
			Count: record.Count,
		},
		recorded:       true,
		deferred:       record.Deferred,
		outcomeUnknown: true,
		nextSendAt:     p.Now,
	}
}
