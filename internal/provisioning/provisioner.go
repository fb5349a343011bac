// Package provisioning deals with the cloud: requests for machines, the list of the
// instances that exist, and deletions.
//
// It is pure: it does no input or output, reads no clock and starts no goroutine.
package provisioning

import (
	"strconv"

	"spurmoor/internal/api"
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// The cloud's answers that differ in what follows from them; 0 means that none came.
const ()

// Provisioner requests machines from the cloud and has those that are launched recorded.
type Provisioner struct {
	*coordination.Environment
	budget       *coordination.WriteBudget
	cluster      *cluster.State
	deletions    *cluster.DeletionLog
	schema       *coordination.SchemaTracker
	storeLease   *coordination.StoreLease
	transactions *coordination.TransactionSender
	trigger      *cluster.CycleTrigger

	ledgers           []*requestLedger // by partition
	lastRequestNumber int
	unavailableUntil  map[scheduler.InstanceKind]micros.Micros // kinds that the cloud refused
	RecordingRequests bool                                     // requests are recorded before they are sent, as was logged last
}

// NewProvisioner makes a provisioner without open requests.
func NewProvisioner(
	env *coordination.Environment,
	budget *coordination.WriteBudget,
	state *cluster.State,
	deletions *cluster.DeletionLog,
	schema *coordination.SchemaTracker,
	lease *coordination.StoreLease,
	transactions *coordination.TransactionSender,
	trigger *cluster.CycleTrigger,
) *Provisioner {
	provisioner := &Provisioner{
		Environment:      env,
		budget:           budget,
		cluster:          state,
		deletions:        deletions,
		schema:           schema,
		storeLease:       lease,
		transactions:     transactions,
		trigger:          trigger,
		unavailableUntil: map[scheduler.InstanceKind]micros.Micros{},
	}
	for range state.Partitions {
		provisioner.ledgers = append(provisioner.ledgers, &requestLedger{})
	}
	return provisioner
}

// ledger gives the requests of a partition.
func (p *Provisioner) ledger(partition *cluster.Partition) *requestLedger {
	return p.ledgers[partition.Index]
}

// PendingMachines gives how many machines of each kind a partition requested that are not
// recorded yet.
func (p *Provisioner) PendingMachines(partition *cluster.Partition) map[scheduler.InstanceKind]int {
	return p.ledger(partition).pendingMachines
}

// UnavailableKinds gives the kinds that the cloud refused of late, and forgets those that
// may be requested again.
func (p *Provisioner) UnavailableKinds() map[scheduler.InstanceKind]bool {
	kinds := map[scheduler.InstanceKind]bool{}
	for kind, until := range p.unavailableUntil {
		if p.Now < until {
			kinds[kind] = true
		} else {
			delete(p.unavailableUntil, kind)
		}
	}
	return kinds
}

// ReconcileRequests records and sends what is due of the requests of the partitions that
// we lead.
func (p *Provisioner) ReconcileRequests() {
	for _, partition := range p.cluster.Partitions {
		if partition.Leads() {
			p.recordRequests(partition)
			p.sendDueRequests(partition)
		}
	}
}

// ScaleOut requests machines of one kind: by the open request for that kind that was
// refused, if there is one and as much is wanted, and by a new one for the rest.
func (p *Provisioner) ScaleOut(partition *cluster.Partition, kind scheduler.InstanceKind, count int) {
	ledger := p.ledger(partition)
	if deferred := ledger.deferredRequest(kind); deferred != nil {
		if deferred.launch.Count <= count {
			p.resumeRequest(ledger, deferred)
			count -= deferred.launch.Count
		} else {
			ledger.withdraw(deferred)
		}
	}
	if count > 0 {
		p.openRequest(partition, kind, count)
	}
	p.recordRequests(partition)
	p.sendDueRequests(partition)
}

// resumeRequest has a refused request sent again under its name.
func (p *Provisioner) resumeRequest(ledger *requestLedger, request *provisioningRequest) {
	request.deferred = false
	request.attempts = 0
	request.nextSendAt = p.Now
	ledger.countPendingMachines(request.kind, request.launch.Count)
}

// maxMachinesPerRequest is how many machines the cloud launches by one request.
const maxMachinesPerRequest = 50

// openRequest opens a new request, unless the partition has as many open as may be.
func (p *Provisioner) openRequest(partition *cluster.Partition, kind scheduler.InstanceKind, count int) {
	ledger := p.ledger(partition)
	if len(ledger.open) >= p.maxOpenRequests() && !ledger.withdrawAnyDeferred() {
		return
	}
	request := &provisioningRequest{
		kind: kind,
		launch: api.LaunchRequest{
			Name:  p.nextRequestName(partition),
			Type:  kind.Type,
			Zone:  kind.Zone,
			Spot:  kind.Spot,
			Count: min(count, maxMachinesPerRequest),
		},
	}
	ledger.countPendingMachines(kind, request.launch.Count)
	ledger.open = append(ledger.open, request)
	if p.schema.RecordsRequests() {
		ledger.mustRecord = true
		return // sent once that is committed
	}
	request.recorded = true
}

// nextRequestName gives a name that is never used for another request: the term in it is
// unique among all controllers.
func (p *Provisioner) nextRequestName(partition *cluster.Partition) string {
	p.lastRequestNumber++
	return "p" + strconv.Itoa(partition.Index) +
		"-" + strconv.FormatUint(uint64(partition.Term), 10) +
		"-" + strconv.Itoa(p.lastRequestNumber)
}

// TrackRequestRecording has every open request recorded once recording begins to be
// wanted: what the record held was written before and means nothing any more.
func (p *Provisioner) TrackRequestRecording() {
	wanted := p.schema.RecordsRequests()
	if wanted == p.RecordingRequests {
		return
	}
	p.RecordingRequests = wanted
	p.LogInfo("scale-out requests are recorded before they are sent", logkey.Recorded, wanted)
	for _, partition := range p.cluster.Partitions {
		p.ledger(partition).mustRecord = partition.Leads() && wanted
	}
}
