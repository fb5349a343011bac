// Package provisioning manages the machines that the cloud runs: it requests machines,
// reads the list of existing instances, adopts orphaned ones and deletes machines that
// are scaled in. It also keeps the catalog of machine types.
//
// The package is pure: it does no input or output, reads no clock and starts no goroutine.
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

// Provisioner requests machines from the cloud and queues the launched ones to be recorded
// in the log of their partition. It acts only for partitions that this controller leads.
type Provisioner struct {
	*coordination.Environment
	budget       *coordination.WriteBudget
	cluster      *cluster.State
	deletions    *cluster.DeletionLog
	schema       *coordination.SchemaTracker
	storeLease   *coordination.StoreLease
	transactions *coordination.TransactionSender
	trigger      *cluster.CycleTrigger

	trackers          []*requestTracker // by partition
	lastRequestNumber int
	unavailableUntil  map[scheduler.InstanceKind]micros.Micros // kinds not to be requested for now
	RecordingRequests bool                                     // whether requests are recorded before they are sent, as last logged
}

// NewProvisioner returns a provisioner without open requests.
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
		provisioner.trackers = append(provisioner.trackers, &requestTracker{})
	}
	return provisioner
}

// tracker returns the open requests of a partition.
func (p *Provisioner) tracker(partition *cluster.Partition) *requestTracker {
	return p.trackers[partition.Index]
}

// PendingMachines returns how many machines of each kind a partition has requested that
// are not recorded yet. Deferred requests do not count. The caller must not change the map.
func (p *Provisioner) PendingMachines(partition *cluster.Partition) map[scheduler.InstanceKind]int {
	return p.tracker(partition).pendingMachines
}

// UnavailableKinds returns the kinds that are not to be requested for now: the cloud
// recently refused them, did not answer, or launched fewer machines than requested. It
// drops the kinds that may be requested again.
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

// ReconcileRequests records and sends the requests that are due, for each partition that
// this controller leads.
func (p *Provisioner) ReconcileRequests() {
	for _, partition := range p.cluster.Partitions {
		if partition.Leads() {
			p.recordRequests(partition)
			p.sendDueRequests(partition)
		}
	}
}

// ScaleOut requests count machines of one kind. A deferred request for the kind is sent
// again if it asks for no more than count, and is removed otherwise. A new request asks
// for the remaining machines.
func (p *Provisioner) ScaleOut(partition *cluster.Partition, kind scheduler.InstanceKind, count int) {
	tracker := p.tracker(partition)
	if deferred := tracker.deferredRequest(kind); deferred != nil {
		if deferred.launch.Count <= count {
			p.resumeRequest(tracker, deferred)
			count -= deferred.launch.Count
		} else {
			tracker.remove(deferred)
		}
	}
	if count > 0 {
		p.openRequest(partition, kind, count)
	}
	p.recordRequests(partition)
	p.sendDueRequests(partition)
}

// resumeRequest makes a deferred request due again under the same name.
func (p *Provisioner) resumeRequest(tracker *requestTracker, request *provisioningRequest) {
	request.deferred = false
	request.attempts = 0
	request.nextSendAt = p.Now
	tracker.adjustPendingMachines(request.kind, request.launch.Count)
}

// maxMachinesPerRequest is the most machines that the cloud launches for one request.
const maxMachinesPerRequest = 50

// openRequest opens a new request for at most maxMachinesPerRequest machines. If the
// partition has the maximum number of open requests, a deferred one is removed for it; if
// none is deferred, nothing is requested.
func (p *Provisioner) openRequest(partition *cluster.Partition, kind scheduler.InstanceKind, count int) {
	tracker := p.tracker(partition)
	if len(tracker.open) >= p.maxOpenRequests() && !tracker.removeOldestDeferred() {
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
	tracker.adjustPendingMachines(kind, request.launch.Count)
	tracker.open = append(tracker.open, request)
	if p.schema.RecordsMachineRequests() {
		tracker.mustRecord = true
		return // it is sent once its record is committed
	}
	request.recorded = true
}

// nextRequestName returns a name that no other request ever has. The term in it is never
// that of another controller, nor of an earlier process of this one, whose numbers also
// began at 1.
func (p *Provisioner) nextRequestName(partition *cluster.Partition) string {
	p.lastRequestNumber++
	return "p" + strconv.Itoa(partition.Index) +
		"-" + strconv.FormatUint(uint64(partition.Term), 10) +
		"-" + strconv.Itoa(p.lastRequestNumber)
}

// TrackRequestRecording notices when requests begin or cease to be recorded before they
// are sent, and logs it. When recording begins, the records of all partitions that this
// controller leads are written: the old ones date from before recording was last turned
// off and do not match the open requests.
func (p *Provisioner) TrackRequestRecording() {
	recording := p.schema.RecordsMachineRequests()
	if recording == p.RecordingRequests {
		return
	}
	p.RecordingRequests = recording
	p.LogInfo("scale-out requests are recorded before they are sent", logkey.Recorded, recording)
	for _, partition := range p.cluster.Partitions {
		p.tracker(partition).mustRecord = partition.Leads() && recording
	}
}
