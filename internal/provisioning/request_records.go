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

// RequestRecord is an open request as it is kept in the key-value store.
type RequestRecord struct {
	Request  string `json:"q"`
	Type     string `json:"t"`
	Zone     string `json:"z"`
	Spot     bool   `json:"s,omitzero"`
	Count    int    `json:"c"`
	Deferred bool   `json:"f,omitzero"`
}

// RequestsRecord is the value of a partition's key: all requests that its leader has open.
type RequestsRecord struct {
	Open []RequestRecord `json:"r,omitzero"`
}

const (
	// requestRecordBytes is the most that a recorded request takes.
	requestRecordBytes = 160
	// requestsTransactionDivisor is the part of the largest transaction, one in so many,
	// that a record of open requests may fill.
	requestsTransactionDivisor = 8
	// minOpenRequests may be open however small the store's values are.
	minOpenRequests = 2
	// requestsRecordInterval is how often a record is written that is merely outdated.
	requestsRecordInterval = 5 * micros.Second
)

// maxOpenRequests is how many requests a partition may have open: as many as its record
// has room for.
func (p *Provisioner) maxOpenRequests() int {
	room := min(p.Settings.MaxValueBytes(), cluster.MaxTransactionBytes/requestsTransactionDivisor)
	return max(minOpenRequests, room/requestRecordBytes)
}

// requestsKey is the key of a partition's record of open requests.
func requestsKey(partition *cluster.Partition) string {
	return records.RequestsPrefix + strconv.Itoa(partition.Index)
}

// recordRequests writes a partition's open requests to the store where new ones wait to be
// sent, and now and then where others were settled: a request whose machines are recorded
// may stay in the record for a while, for repeated by another leader it gives the same
// machines, which are known or lately deleted.
func (p *Provisioner) recordRequests(partition *cluster.Partition) {
	ledger := p.ledger(partition)
	outdated := ledger.outdated && p.Now > ledger.recordedAt+requestsRecordInterval
	if ledger.writeInFlight != nil || !ledger.mustRecord && !outdated || !p.schema.RecordsRequests() {
		return
	}
	transaction := p.requestsTransaction(partition, ledger)
	ledger.writeInFlight = transaction
	ledger.mustRecord = false
	ledger.outdated = false
	ledger.recordedAt = p.Now
	p.budget.ChargeUnthrottled(1)
	p.transactions.Submit(transaction)
}

// requestsTransaction makes the write of a partition's open requests. It compares the
// record's version besides the term: a late copy of it would otherwise bring back
// requests that are settled.
func (p *Provisioner) requestsTransaction(partition *cluster.Partition, ledger *requestLedger) *coordination.Transaction {
	key := requestsKey(partition)
	open := slices.Clone(ledger.open)
	return &coordination.Transaction{
		Request: api.Transaction{
			Compares: []api.Compare{
				{Key: partition.Key(), Version: api.Revision(partition.Term)},
				{Key: key, Version: ledger.version},
			},
			Writes: []api.Write{{Put: key, Value: records.MustMarshal(recordOf(open))}},
		},
		Grant: func() leadership.Grant { return p.storeLease.Grant(partition.RoleState, leadership.Write) },
		OnCommitted: func(revision api.Revision) {
			ledger.writeInFlight = nil
			ledger.version = max(ledger.version, revision)
			for _, request := range open {
				request.recorded = true
			}
			p.sendDueRequests(partition)
		},
		OnRefused: func() {
			ledger.writeInFlight = nil
			ledger.mustRecord = true
		},
	}
}

// recordOf gives the record of open requests.
func recordOf(open []*provisioningRequest) RequestsRecord {
	var record RequestsRecord
	for _, request := range open {
		record.Open = append(record.Open, RequestRecord{
			Request:  request.launch.Name,
			Type:     request.kind.Type,
			Zone:     request.kind.Zone,
			Spot:     request.kind.Spot,
			Count:    request.launch.Count,
			Deferred: request.deferred,
		})
	}
	return record
}

// ApplyRequests takes in a partition's record of open requests unless a newer one is known;
// name is what follows the prefix in its key. A record that cannot be read counts as
// empty, and its error is returned.
func (p *Provisioner) ApplyRequests(name string, value []byte, version api.Revision) error {
	ledger := p.ledgerNamed(name)
	if ledger == nil || ledger.version >= version {
		return nil
	}
	var record RequestsRecord
	err := json.Unmarshal(value, &record)
	ledger.version = version
	ledger.storedRequests = record.Open
	return err //nolint:wrapcheck // the caller logs it with the key that it was read from
}

// ledgerNamed gives the requests of the partition whose number is written in name; nil: there
// is no such partition.
func (p *Provisioner) ledgerNamed(name string) *requestLedger {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 || index >= len(p.ledgers) {
		return nil
	}
	return p.ledgers[index]
}

// AbandonRequests forgets the requests of a partition that was lost: its next leader
// repeats them.
func (p *Provisioner) AbandonRequests(partition *cluster.Partition) {
	ledger := p.ledger(partition)
	for _, request := range ledger.open {
		request.abandoned = true
	}
	if ledger.writeInFlight != nil {
		ledger.writeInFlight.Settled = true // it was carried out before the partition was lost, or never
	}
	*ledger = requestLedger{version: ledger.version, storedRequests: ledger.storedRequests}
}

// AdoptOpenRequests repeats, after a failover, the requests that the former leader had
// open.
func (p *Provisioner) AdoptOpenRequests(partition *cluster.Partition) {
	if !p.schema.RecordsRequests() {
		return
	}
	ledger := p.ledger(partition)
	for _, record := range ledger.storedRequests {
		request := p.requestOf(record)
		if !request.deferred {
			ledger.countPendingMachines(request.kind, record.Count)
		}
		ledger.open = append(ledger.open, request)
	}
	if count := len(ledger.storedRequests); count > 0 {
		p.LogInfo("scale-out requests of the former leader repeated",
			logkey.Partition, partition.Index,
			logkey.Requests, count)
	}
}

// requestOf makes a request of the record of a former leader: whether it was sent, and
// carried out, is not known.
func (p *Provisioner) requestOf(record RequestRecord) *provisioningRequest {
	return &provisioningRequest{
		kind: scheduler.InstanceKind{Type: record.Type, Zone: record.Zone, Spot: record.Spot},
		launch: api.LaunchRequest{
			Name:  record.Request,
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
