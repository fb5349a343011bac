// Package provisioning deals with the cloud: requests for machines, the list of those
// that there are, and deletions.
//
// It is pure: it does no input or output, reads no clock and starts no goroutine.
package provisioning

import (
	"slices"
	"strconv"

	"spurmoor/internal/logkey"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/records"

	"github.com/go-json-experiment/json"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/scheduler"
)

// Provisioner asks the cloud for machines, and has what it gives recorded.
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
	RecordingRequests bool                                     // requests are recorded before they are sent; said so
}

// NewProvisioner makes a provisioner.
func NewProvisioner(env *coordination.Environment, budget *coordination.WriteBudget, cluster *cluster.State, deletions *cluster.DeletionLog, schema *coordination.SchemaTracker,
	lease *coordination.StoreLease, transactions *coordination.TransactionSender, trigger *cluster.CycleTrigger) *Provisioner {
	v := &Provisioner{Environment: env, budget: budget, cluster: cluster, deletions: deletions, schema: schema, storeLease: lease,
		transactions: transactions, trigger: trigger, unavailableUntil: map[scheduler.InstanceKind]micros.Micros{}}
	for range cluster.Partitions {
		v.ledgers = append(v.ledgers, &requestLedger{})
	}
	return v
}

// ledger gives the requests of a partition.
func (v *Provisioner) ledger(p *cluster.Partition) *requestLedger { return v.ledgers[p.Index] }

// PendingMachines gives how many machines of each kind a partition asked for that are not
// recorded yet.
func (v *Provisioner) PendingMachines(p *cluster.Partition) map[scheduler.InstanceKind]int {
	return v.ledger(p).pendingMachines
}

// requestLedger are the requests for machines that a partition's holder has open.
//
// The cloud has no fencing: a request that a replaced holder sent may be carried out
// minutes late. So each is written to the state service under the holder's term
// before it is sent, and whoever takes the partition over repeats it under the same
// name: whichever of the two arrives first rents the machines, the other gets the
// same answer and rents nothing. It is struck out once its machines are recorded. One that is refused stays open, and is sent again under its name when as
// much is wanted of its kind: a copy of it that comes late is no other request then.
type requestLedger struct {
	pendingMachines map[scheduler.InstanceKind]int // asked for and not recorded yet
	open            []*provisioningRequest
	inFlight        int                       // sent and not answered
	mustWrite       bool                      // the record is to be written
	writeInFlight   *coordination.Transaction // of the record; nil: none is out
	// outdated: the record should be written along with something else.
	outdated       bool
	writtenAt      micros.Micros
	version        uint64          // of the record
	storedRequests []RequestRecord // what it holds, as another controller wrote it
}

// provisioningRequest is one request for machines.
type provisioningRequest struct {
	request           api.LaunchRequest
	kind              scheduler.InstanceKind
	recorded          bool          // its record is committed, or none is wanted
	inFlight          bool          // sent and not answered
	nextSendAt        micros.Micros // not to be sent before
	attempts          int
	deferred          bool // not wanted for now: the cloud refused it, or did not answer
	outcomeUnknown    bool // it was sent once without an answer: it may still be carried out
	unrecordedBatches int  // answered: batches of its machines that are not recorded yet
	abandoned         bool // the partition was lost since
}

// RequestRecord is an open request in the state service.
type RequestRecord struct {
	Request  string `json:"q"`
	Type     string `json:"t"`
	Zone     string `json:"z"`
	Spot     bool   `json:"s,omitzero"`
	Count    int    `json:"c"`
	Deferred bool   `json:"f,omitzero"`
}

// RequestsRecord is what a partition's holder has asked for.
type RequestsRecord struct {
	Open []RequestRecord `json:"r,omitzero"`
}

const (
	requestRecordBytes   = 160               // a recorded request at the most
	maxRequestAttempts   = 4                 // of one request without an answer
	requestRetryInterval = micros.Second / 2 // after there was no grant
)

func requestsKeyOf(p *cluster.Partition) string { return records.RequestsPrefix + strconv.Itoa(p.Index) }

// TrackRequestRecording has every open request written down once that begins to be wanted: what
// the record held was written before, and means nothing any more.
func (v *Provisioner) TrackRequestRecording() {
	now := v.schema.RecordsRequests()
	if now == v.RecordingRequests {
		return
	}
	v.RecordingRequests = now
	v.LogInfo("scale-out requests are recorded before they are sent", logkey.Recorded, now)
	for _, p := range v.cluster.Partitions {
		v.ledger(p).mustWrite = p.Leads() && now
	}
}

// maxOpenRequests is how many requests a partition may have open.
func (v *Provisioner) maxOpenRequests() int {
	return max(2, min(v.Settings.MaxValueBytes(), cluster.MaxTransactionBytes/8)/requestRecordBytes)
}

// maxMachinesPerRequest is how many machines one request may ask for.
const maxMachinesPerRequest = 50

// ScaleOut asks for machines: by the open request for their kind that was refused, if there
// is one and as much is wanted, and by a new one for the rest. The name of a request is
// never used for another: it has the term in it, which is global.
func (v *Provisioner) ScaleOut(p *cluster.Partition, k scheduler.InstanceKind, count int) {
	if r := v.ledger(p).deferredRequest(k); r != nil && r.request.Count <= count {
		r.deferred, r.attempts, r.nextSendAt = false, 0, v.Now
		v.ledger(p).countPendingMachines(k, r.request.Count)
		count -= r.request.Count
	} else if r != nil {
		v.withdrawRequest(p, r)
	}
	if count > 0 {
		v.openRequest(p, k, count)
	}
	v.writeRequests(p)
	v.sendDueRequests(p)
}

// openRequest asks for machines by a new request.
func (v *Provisioner) openRequest(p *cluster.Partition, k scheduler.InstanceKind, count int) {
	if len(v.ledger(p).open) >= v.maxOpenRequests() && !v.withdrawDeferred(p) {
		return
	}
	v.lastRequestNumber++
	name := "p" + strconv.Itoa(p.Index) + "-" + strconv.FormatUint(p.Term, 10) + "-" + strconv.Itoa(v.lastRequestNumber)
	r := &provisioningRequest{kind: k, request: api.LaunchRequest{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: min(count, maxMachinesPerRequest)}}
	v.ledger(p).countPendingMachines(k, r.request.Count)
	v.ledger(p).open = append(v.ledger(p).open, r)
	if v.schema.RecordsRequests() {
		v.ledger(p).mustWrite = true
		return // sent once that is committed
	}
	r.recorded = true
}

// deferredRequest gives the open request for a kind that was refused; nil: there is none.
func (l *requestLedger) deferredRequest(k scheduler.InstanceKind) *provisioningRequest {
	at := slices.IndexFunc(l.open, func(r *provisioningRequest) bool { return r.deferred && r.kind == k })
	if at < 0 {
		return nil
	}
	return l.open[at]
}

// countPendingMachines counts machines asked for and not recorded yet.
func (l *requestLedger) countPendingMachines(k scheduler.InstanceKind, n int) {
	if l.pendingMachines == nil {
		l.pendingMachines = map[scheduler.InstanceKind]int{}
	}
	l.pendingMachines[k] += n
	if l.pendingMachines[k] <= 0 {
		delete(l.pendingMachines, k)
	}
}

// requestLookaheadS is how many seconds' worth of the cloud's calls a partition's requests may
// take up at a time: a request that waited for longer would outlive its grant.
const requestLookaheadS = 2.0

// sendDueRequests sends what is due of the open requests.
func (v *Provisioner) sendDueRequests(p *cluster.Partition) {
	most := max(1, int(requestLookaheadS*v.Settings.Deployment.Cloud.RPS/2))
	for _, r := range slices.Clone(v.ledger(p).open) {
		if v.ledger(p).inFlight >= most {
			return
		}
		if r.recorded && !r.inFlight && r.unrecordedBatches == 0 && !r.deferred && v.Now >= r.nextSendAt {
			v.sendRequest(p, r)
		}
	}
}

// sendRequest sends a request, if we may rent now.
func (v *Provisioner) sendRequest(p *cluster.Partition, r *provisioningRequest) {
	grant := v.storeLease.Grant(p.RoleState, leadership.Launch)
	if grant.Check(leadership.Launch, v.Now) != "" {
		r.nextSendAt = v.Now + requestRetryInterval
		return
	}
	r.inFlight = true
	r.attempts++
	v.ledger(p).inFlight++
	v.CallCloud(message.CloudCall{Op: message.OpLaunch, Launch: leadership.NewOrder(grant, &r.request)}, func(reply *message.CloudReply) {
		r.inFlight = false
		if r.abandoned {
			return
		}
		v.ledger(p).inFlight--
		v.handleRequestReply(p, r, reply)
		v.sendDueRequests(p)
	})
}

// handleRequestReply takes in the answer to a request, or that none came.
func (v *Provisioner) handleRequestReply(p *cluster.Partition, r *provisioningRequest, reply *message.CloudReply) {
	switch {
	case reply.Unsent:
		r.attempts--
		r.nextSendAt = v.Now + requestRetryInterval
	case reply.Status == 200:
		v.recordLaunched(p, r, reply.Launched)
	case reply.Status == 0 && r.attempts < maxRequestAttempts:
		// Whether it was carried out is not known: the same name gives the
		// same machines.
		r.outcomeUnknown = true
		v.sendRequest(p, r)
	default:
		r.outcomeUnknown = r.outcomeUnknown || reply.Status == 0
		v.requestRefused(p, r, reply.Status)
	}
}

// requestRefused takes in that no machines are to be had by a request now.
func (v *Provisioner) requestRefused(p *cluster.Partition, r *provisioningRequest, status int) {
	v.ledger(p).countPendingMachines(r.kind, -r.request.Count)
	v.trigger.RequestCycleWithin(micros.Second)
	if v.schema.RecordsRequests() {
		v.deferRequest(p, r)
	} else {
		v.withdrawRequest(p, r)
	}
	if status == 429 {
		return // our budget, not the cloud's room
	}
	v.unavailableUntil[r.kind] = v.Now + v.Jitter(micros.FromSeconds(v.Settings.Operators.RefusalMemoryS))
	v.LogInfo("scale-out refused", logkey.Partition, p.Index, logkey.Kind, r.kind.String(), logkey.Status, status)
}

// deferRequest keeps a refused request, to be sent again under its name: one for each kind,
// rather one that may still be carried out.
func (v *Provisioner) deferRequest(p *cluster.Partition, r *provisioningRequest) {
	other := v.ledger(p).deferredRequest(r.kind)
	if other != nil && other.outcomeUnknown && !r.outcomeUnknown {
		v.withdrawRequest(p, r)
		return
	}
	if other != nil && !other.outcomeUnknown {
		v.withdrawRequest(p, other)
	}
	r.deferred = true
	v.ledger(p).outdated = true
}

// recordLaunched has the machines recorded that a request got.
func (v *Provisioner) recordLaunched(p *cluster.Partition, r *provisioningRequest, machines []string) {
	k := r.kind
	v.LogInfo("machines launched", logkey.Partition, p.Index, logkey.Kind, k.String(), logkey.Request, r.request.Name, logkey.Requested, r.request.Count, logkey.Launched, len(machines))
	if len(machines) < r.request.Count {
		v.unavailableUntil[k] = v.Now + micros.FromSeconds(v.Settings.Operators.RefusalMemoryS)
		v.ledger(p).countPendingMachines(k, len(machines)-r.request.Count)
		v.trigger.RequestCycleWithin(micros.Second / 5)
	}
	// As many at a time as leave room in an entry of the log.
	for batch := range slices.Chunk(machines, max(1, v.Settings.MaxValueBytes()/3/cluster.MachineRecordBytes)) {
		var rows []records.MachineRecord
		for _, name := range batch {
			if v.deletions.RecentlyDeleted(name) {
				continue // adopted and returned meanwhile
			}
			rows = append(rows, records.MachineRecord{Name: name, Type: k.Type, Zone: k.Zone, Spot: k.Spot, HomePartition: p.Index, Partition: p.Index, LaunchedAt: v.Now})
		}
		r.unrecordedBatches++
		p.MachineBatches = append(p.MachineBatches, &cluster.MachineBatch{Records: rows, OnRecorded: func() {
			v.ledger(p).countPendingMachines(k, -len(batch))
			if r.unrecordedBatches--; r.unrecordedBatches == 0 {
				v.withdrawRequest(p, r)
			}
		}})
	}
	if r.unrecordedBatches == 0 {
		v.withdrawRequest(p, r)
	}
}

// withdrawRequest forgets a request that is settled.
func (v *Provisioner) withdrawRequest(p *cluster.Partition, r *provisioningRequest) {
	v.ledger(p).open = slices.DeleteFunc(v.ledger(p).open, func(o *provisioningRequest) bool { return o == r })
	v.ledger(p).outdated = true
}

// withdrawDeferred makes room for a request, if any open one was refused.
func (v *Provisioner) withdrawDeferred(p *cluster.Partition) bool {
	at := slices.IndexFunc(v.ledger(p).open, func(r *provisioningRequest) bool { return r.deferred })
	if at >= 0 {
		v.withdrawRequest(p, v.ledger(p).open[at])
	}
	return at >= 0
}

// AbandonRequests forgets the requests of a partition that was lost: its next leader
// repeats them.
func (v *Provisioner) AbandonRequests(p *cluster.Partition) {
	ledger := v.ledger(p)
	for _, r := range ledger.open {
		r.abandoned = true
	}
	if t := ledger.writeInFlight; t != nil {
		t.Settled = true // it was carried out before the partition went, or never
	}
	*ledger = requestLedger{version: ledger.version, storedRequests: ledger.storedRequests}
}

// AdoptOpenRequests repeats the requests that the holder before had open.
func (v *Provisioner) AdoptOpenRequests(p *cluster.Partition) {
	if !v.schema.RecordsRequests() {
		return
	}
	for _, rec := range v.ledger(p).storedRequests {
		k := scheduler.InstanceKind{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
		r := &provisioningRequest{kind: k, recorded: true, deferred: rec.Deferred, outcomeUnknown: true, nextSendAt: v.Now,
			request: api.LaunchRequest{Name: rec.Request, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, Count: rec.Count}}
		if !r.deferred {
			v.ledger(p).countPendingMachines(k, rec.Count)
		}
		v.ledger(p).open = append(v.ledger(p).open, r)
	}
	if n := len(v.ledger(p).storedRequests); n > 0 {
		v.LogInfo("scale-out requests of the former leader repeated", logkey.Partition, p.Index, logkey.Requests, n)
	}
}

// ApplyRequests takes in a partition's record of open requests.
func (v *Provisioner) ApplyRequests(name string, value []byte, version uint64) error {
	i, err := strconv.Atoi(name)
	if err != nil || i < 0 || i >= len(v.cluster.Partitions) || v.ledgers[i].version >= version {
		return nil // not one of ours, or older than what is known
	}
	ledger := v.ledgers[i]
	var rec RequestsRecord
	err = json.Unmarshal(value, &rec)
	ledger.version, ledger.storedRequests = version, rec.Open
	return err
}

// UnavailableKinds gives the kinds that the cloud refused of late.
func (v *Provisioner) UnavailableKinds() map[scheduler.InstanceKind]bool {
	kinds := map[scheduler.InstanceKind]bool{}
	for kind, until := range v.unavailableUntil {
		if v.Now < until {
			kinds[kind] = true
		} else {
			delete(v.unavailableUntil, kind)
		}
	}
	return kinds
}

// ReconcileRequests writes down and sends what is due of the requests of the partitions
// that we lead.
func (v *Provisioner) ReconcileRequests() {
	for _, p := range v.cluster.Partitions {
		if p.Leads() {
			v.writeRequests(p)
			v.sendDueRequests(p)
		}
	}
}

// requestsWriteInterval is how often a record that is merely outdated is written.
const requestsWriteInterval = 5 * micros.Second

// writeRequests writes a partition's open requests where new ones wait to be sent, and
// now and then where others were settled: a request whose machines are recorded may
// stay in the record for a while, for repeated by another holder it gives the same
// machines, which are known or lately deleted. It guards the record's version besides
// the term: a late copy would else bring back requests that are settled.
func (v *Provisioner) writeRequests(p *cluster.Partition) {
	s := v.ledger(p)
	outdated := s.outdated && v.Now > s.writtenAt+requestsWriteInterval
	if s.writeInFlight != nil || !s.mustWrite && !outdated || !v.schema.RecordsRequests() {
		return
	}
	rec := RequestsRecord{}
	open := slices.Clone(s.open)
	for _, r := range open {
		rec.Open = append(rec.Open, RequestRecord{Request: r.request.Name, Type: r.kind.Type, Zone: r.kind.Zone, Spot: r.kind.Spot, Count: r.request.Count, Deferred: r.deferred})
	}
	t := &coordination.Transaction{Grant: func() leadership.Grant { return v.storeLease.Grant(p.RoleState, leadership.Write) }}
	t.Request.Compares = []api.Compare{{Key: p.Key(), Version: p.Term}, {Key: requestsKeyOf(p), Version: s.version}}
	t.Request.Writes = []api.Write{{Put: requestsKeyOf(p), Value: records.MustMarshal(rec)}}
	t.OnCommitted = func(rev uint64) {
		s.writeInFlight = nil
		s.version = max(s.version, rev)
		for _, r := range open {
			r.recorded = true
		}
		v.sendDueRequests(p)
	}
	t.OnRefused = func() { s.writeInFlight, s.mustWrite = nil, true }
	s.writeInFlight, s.mustWrite, s.outdated, s.writtenAt = t, false, false, v.Now
	v.budget.ChargeWrites(1)
	v.transactions.SubmitTransaction(t)
}
