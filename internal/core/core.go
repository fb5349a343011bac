// Package core is the controller's state machine: Step takes an input and
// the time and gives the effects to carry out. It does no input or output,
// reads no clock and uses no randomness but a generator handed to it.
//
// All that must last is in the state service, and every controller keeps a
// replica of it: leased partitions, machine records, unfinished jobs and their
// tasks. Decisions are made on that replica and take effect only once a
// conditional write of them was answered.
package core

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"spurmoor/internal/api"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/peer"
	"spurmoor/internal/scheduler"
	"spurmoor/internal/settings"
)

// Controller is one controller's state, grouped by what each group is about.
type Controller struct {
	settings    *settings.Settings
	random      *rand.Rand
	incarnation uint64 // this process among all that ever bore the node's name
	now         micros.Micros
	effects     []Effect

	nextCall   uint64
	storeCalls map[uint64]func(*StoreReply) // what awaits an answer
	cloudCalls map[uint64]func(*CloudReply)

	replica
	leaseState
	roleState
	storeHealth
	writeState
	cloudState
	planState
	peerState
	workerReach

	nextTickAt micros.Micros
}

// replica is what is known of the live keys of the state service. It changes only by
// what the watch and reads show, in the order of their revisions, and by our own
// writes once they were answered.
type replica struct {
	sink            recordSink
	synced          bool
	revision        uint64
	currentAsOf     micros.Micros // the replica shows all that was committed before then
	partitions      []*partition
	machines        map[string]*machine
	machinesByName  []*machine              // by name
	tombstones      map[string]recordOrigin // machines deleted, while some log still names them
	logReferences   map[string]int          // how many entries of all logs name a machine
	adoptionVersion uint64
	jobs            map[string]*job
	teamUsage       map[string]*scheduler.Resources // of each team
	terminalStates  *terminalCache

	dependencies      map[string]*dependency
	outcomesToRead    []string      // of the needs those whose final records are to be read
	nextOutcomeReadAt micros.Micros // not before
	outcomeReads      int           // final records being read for needs

	pendingReads  []func(ok bool) // wait for a read begun after they asked
	readInFlight  bool
	watchInFlight bool
	nextWatchAt   micros.Micros
	nextReadAt    micros.Micros
	relist        *relist
}

// storeHealth is whether the state service answers, and what was said of it.
type storeHealth struct {
	lastReplyAt      micros.Micros // last answer from the state service
	unavailableSince micros.Micros // when it last began not to answer; 0: it answers
	// refusing: since it began to fail some of it were answers, not silence.
	refusing          bool
	condition         condition
	conditionSince    micros.Micros
	observedCondition condition // seen since newAt, not said yet
	observedSince     micros.Micros
}

// writeState is what is being written, within the budget of changes.
type writeState struct {
	transactions    []*transaction
	budget          writeBudget
	nextPartition   int // of the partitions to flush first
	acceptsInFlight int // submissions being recorded
}

// cloudState is what is known of the cloud: its catalogue, what it refused of late,
// how long machines boot, and its list.
type cloudState struct {
	machineTypes        []api.MachineType
	machineTypeByName   map[string]*api.MachineType
	nextCatalogReadAt   micros.Micros
	catalogVersion      uint64 // of the catalogue in the state service
	storedCatalogShape  string // its shape
	catalogReadInFlight bool
	catalogPages        map[string]storedCatalogPage // of the catalogue, by what follows its key
	lastRequestNumber   int
	recentDeletions     deletionLog
	unavailableUntil    map[scheduler.InstanceKind]micros.Micros
	bootTimes           map[string]bootTime // by type
	nextListAt          micros.Micros
	listInFlight        bool
	listedInstances     map[string]*listedInstance
	listRound           int
	sweeping            bool // this controller acts on the list
	deleteInFlight      bool
	// nextDeletePartition is which partition's machines are deleted next.
	nextDeletePartition int
	nextDeleteAt        micros.Micros
}

// planState is when to plan, and what the last plans said.
type planState struct {
	nextCycleAt      micros.Micros
	earliestPlanAt   micros.Micros // none before this time
	requestedCycleAt micros.Micros // an early cycle is wanted at this time
	nextSummaryAt    micros.Micros
	urgencies        map[string]urgency
	blockedReasons   map[string]string
	expectedEnds     map[string]micros.Micros
	reservations     map[string]scheduler.AdvanceReservation // machines kept for gangs that are due
}

// peerState is what is known of the other controllers, and what they are to be told.
type peerState struct {
	peers                    map[string]*peerStatus
	schemaVersions           map[string]int // by controller, the schema version that it is known to read
	nextSchemaAnnouncementAt micros.Micros
	// schemaKeyVersion is that of our own announcement's key.
	schemaKeyVersion    uint64
	schemaAgreed        bool // all read ours; said so
	nextHeartbeatAt     micros.Micros
	machineRequests     []peer.MachineRequest
	cancellationNotices []cancellationNotice
}

// workerReach is whether workers reach us.
type workerReach struct {
	noFailoverBefore    micros.Micros // takes no partition over before this
	unreachedSince      micros.Micros
	lastWorkerContactAt micros.Micros // any worker, of whatever partition
	isolatedFromWorkers bool          // no worker reached us; none has answered since
	nextProbeAt         micros.Micros
	nextProbeIndex      int
	answeringSince      micros.Micros // since when reports can be answered; 0: they can't
	resumedAt           micros.Micros // after a pause of the process
}

// maxTerminalStates is how many final states are kept in memory.
const maxTerminalStates = 20_000

// New makes a controller. inc tells this process from earlier ones of the
// same name; rng serves jitter alone.
func New(set *settings.Settings, inc uint64, rng *rand.Rand) *Controller {
	c := &Controller{settings: set, random: rng, incarnation: inc, storeCalls: map[uint64]func(*StoreReply){}, cloudCalls: map[uint64]func(*CloudReply){}}
	c.replica = replica{machines: map[string]*machine{}, jobs: map[string]*job{}, dependencies: map[string]*dependency{},
		tombstones: map[string]recordOrigin{}, logReferences: map[string]int{}, terminalStates: newTerminalCache(maxTerminalStates), teamUsage: map[string]*scheduler.Resources{}}
	c.cloudState = cloudState{machineTypeByName: map[string]*api.MachineType{}, catalogPages: map[string]storedCatalogPage{}, recentDeletions: deletionLog{deletedAt: map[string]micros.Micros{}},
		unavailableUntil: map[scheduler.InstanceKind]micros.Micros{}, bootTimes: map[string]bootTime{}, listedInstances: map[string]*listedInstance{}}
	c.planState = planState{blockedReasons: map[string]string{}}
	c.peerState = peerState{peers: map[string]*peerStatus{}, schemaVersions: map[string]int{}}
	c.lease.TTL = c.leaseTTL()
	c.roleState = newRoleState()
	for i := range set.Operators.Partitions {
		role := &leadership.RoleState{Role: leadership.PartitionRole(i)}
		c.partitions = append(c.partitions, &partition{RoleState: role, index: i, changedJobs: map[string]bool{}})
		c.roles = append(c.roles, role)
	}
	c.roles = append(c.roles, c.fleetRoles...)
	for _, t := range set.Deployment.Teams {
		c.teamUsage[t.Name] = &scheduler.Resources{}
	}
	c.sink, c.observer, c.leaseObserver = c, c, c
	return c
}

// Step takes one input at a time that never runs backwards.
func (c *Controller) Step(now micros.Micros, in Input) []Effect {
	previous := c.now
	c.now = max(c.now, now)
	c.effects = nil
	c.detectPause(previous)
	c.dispatch(in)
	c.runPeriodicWork()
	return c.effects
}

// dispatch takes one input in.
func (c *Controller) dispatch(in Input) {
	switch v := in.(type) {
	case Tick:
	case Submit:
		c.handleSubmit(v)
	case GetStatus:
		c.handleStatus(v)
	case Cancel:
		c.handleCancel(v)
	case Explain:
		c.handleExplain(v)
	case Ready:
		c.handleReady(v)
	case WorkerHeartbeat:
		c.handleWorkerHeartbeat(v)
	case CommandReply:
		c.handleCommandReply(v)
	case *StoreReply:
		c.handleStoreReply(v)
	case *CloudReply:
		c.handleCloudReply(v)
	case PeerHeartbeat:
		c.handlePeerHeartbeat(v.Heartbeat)
	case ListRoles:
		c.handleListRoles(v)
	case OrderRefused:
		c.countRefusedOrder(v)
	case Stop:
		c.handleStop()
	}
}

// runPeriodicWork does what time and the last input made due.
func (c *Controller) runPeriodicWork() {
	c.maintainWatch()
	c.renewLease()
	c.readUnknownOutcomes()
	c.commitChanges()
	if c.now < c.nextTickAt {
		return
	}
	c.nextTickAt = c.now + micros.Second/10
	c.trackCondition()
	c.trackAnswering()
	c.announceSchema()
	c.trackExclusiveRoles()
	c.trackRequestRecording()
	c.reconcileRoles()
	c.reconcileMachines()
	c.probeWorkers()
	c.reconcileCloud()
	c.runSchedulingCycle()
	c.commitChanges()
	c.broadcastHeartbeat()
	c.logSummary()
	c.logRefusedOrders()
	c.completeStop()
}

// handleStop gives up all roles, so that other controllers take them at once.
func (c *Controller) handleStop() {
	c.beginStop()
	c.requestBroadcast()
	c.broadcastHeartbeat()
	c.reconcileRoles()
}

// reconcileCloud asks the cloud for what is due, one request of a kind at a time.
func (c *Controller) reconcileCloud() {
	c.readCatalogWhenDue()
	c.trackSweeping()
	if !c.sweepsExclusively() && !c.leadsAnyPartition() {
		return
	}
	c.listInstancesWhenDue()
	c.reconcileRequests()
	c.deleteInstancesWhenDue()
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) log(level slog.Level, msg string, args ...any) {
	c.emit(Log{level, msg, args})
}

func (c *Controller) logDebug(msg string, args ...any) { c.log(slog.LevelDebug, msg, args...) }

func (c *Controller) logWarn(msg string, args ...any) { c.log(slog.LevelWarn, msg, args...) }

func (c *Controller) logError(msg string, args ...any) { c.log(slog.LevelError, msg, args...) }

func (c *Controller) logInfo(msg string, args ...any) { c.log(slog.LevelInfo, msg, args...) }

func (c *Controller) callStore(call StoreCall, f func(*StoreReply)) {
	c.nextCall++
	call.Call = c.nextCall
	c.storeCalls[call.Call] = f
	c.emit(call)
}

func (c *Controller) handleStoreReply(r *StoreReply) {
	f := c.storeCalls[r.Call]
	if f == nil {
		return
	}
	delete(c.storeCalls, r.Call)
	c.observeStoreReply(r)
	f(r)
}

// observeStoreReply takes in what a reply, or its absence, says of whether the store
// answers.
func (c *Controller) observeStoreReply(r *StoreReply) {
	switch {
	case r.Unsent: // says nothing of the store
	case r.Status == 0 || r.Status >= 500:
		c.refusing = c.refusing || r.Status != 0
		if c.unavailableSince == 0 {
			c.unavailableSince = c.now
		}
	case r.Status != 429:
		c.lastReplyAt, c.unavailableSince, c.refusing = c.now, 0, false
	}
}

func (c *Controller) callCloud(call CloudCall, f func(*CloudReply)) {
	c.nextCall++
	call.Call = c.nextCall
	c.cloudCalls[call.Call] = f
	c.emit(call)
}

func (c *Controller) handleCloudReply(r *CloudReply) {
	if f := c.cloudCalls[r.Call]; f != nil {
		delete(c.cloudCalls, r.Call)
		f(r)
	}
}

// jitter spreads d over 0.75 to 1.25 of itself.
func (c *Controller) jitter(d micros.Micros) micros.Micros {
	return d*3/4 + micros.Random(c.random, d/2+1)
}

func (c *Controller) answer(req uint64, status int, body any) {
	c.emit(Answer{RequestID: req, Status: status, Body: body})
}

// refuse answers at once that the user should come back later.
func (c *Controller) refuse(req uint64, status int, why string, after int) {
	c.emit(Answer{RequestID: req, Status: status, Body: api.Error{Error: why}, RetryAfterS: after})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
