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
	"math/rand/v2"

	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Controller is the state machine of one controller. It hands each input to the component
// that handles it, and then has every component do what time made due. The components
// are in the order in which they are made: each knows only those before it.
type Controller struct {
	*environment

	storeHealth    *storeHealth
	trigger        *cycleTrigger
	workerReach    *workerReach
	deletions      *deletionLog
	boots          *bootStatistics
	audit          *orderAudit
	budget         *writeBudget
	peers          *peerTracker
	cache          *watchCache
	transactions   *transactionSender
	schema         *schemaTracker
	storeLease     *storeLease
	roles          *roleManager
	cluster        *clusterState
	tasks          *taskLifecycle
	dependencies   *dependencyGraph
	catalog        *machineCatalog
	registry       *machineRegistry
	partitionLog   *partitionLog
	provisioning   *provisioner
	instances      *instanceList
	deleter        *instanceDeleter
	isolation      *isolationGuard
	urgencies      *urgencyIndex
	view           *schedulerView
	reservations   *reservationPlanner
	lending        *machineLending
	manager        *machineManager
	scheduling     *schedulingCycle
	reconciliation *reconciler
	condition      *conditionTracker
	messenger      *peerMessenger
	summary        *summaryLogger
	failover       *failoverHandler
	applier        *recordApplier
	requests       *requestHandler
	explainer      *jobExplainer

	nextTickAt micros.Micros
}

// New makes a controller. incarnation tells this process from earlier ones of the same
// name; random serves jitter alone.
func New(set *settings.Settings, incarnation uint64, random *rand.Rand) *Controller {
	env := newEnvironment(set, incarnation, random)
	c := &Controller{environment: env}
	c.makeFoundation(env)
	c.makeState(env)
	c.makeMachineComponents(env)
	c.makeScheduling(env)
	c.makeHandlers(env)
	// These are told of what happens below them, and know those who tell them.
	c.cache.sink, c.roles.observer, c.storeLease.observer = c.applier, c.failover, c.roles
	return c
}

// makeFoundation makes what knows nothing of jobs and machines.
func (c *Controller) makeFoundation(env *environment) {
	c.storeHealth = newStoreHealth(env)
	c.trigger = newCycleTrigger(env)
	c.workerReach = newWorkerReach(env)
	c.deletions = newDeletionLog(env)
	c.boots = newBootStatistics(env)
	c.audit = newOrderAudit(env)
	c.budget = newWriteBudget(env)
	c.peers = newPeerTracker(env, c.storeHealth)
	c.cache = newWatchCache(env)
	c.transactions = newTransactionSender(env, c.cache)
	c.schema = newSchemaTracker(env, c.budget, c.cache, c.peers)
	c.storeLease = newStoreLease(env, c.cache, c.peers)
	c.roles = newRoleManager(env, c.audit, c.cache, c.peers, c.schema, c.storeLease, c.transactions, c.workerReach)
}

// makeState makes the replica and what commits changes of it.
func (c *Controller) makeState(env *environment) {
	c.cluster = newClusterState(env, c.cache, c.roles)
	c.tasks = newTaskLifecycle(env, c.cluster, c.storeLease, c.trigger)
	c.dependencies = newDependencyGraph(env, c.cache, c.cluster, c.trigger)
	c.catalog = newMachineCatalog(env, c.budget, c.cache, c.cluster, c.roles, c.schema)
	c.registry = newMachineRegistry(env, c.catalog, c.cluster, c.deletions, c.tasks, c.trigger)
	c.partitionLog = newPartitionLog(env, c.budget, c.cache, c.cluster, c.dependencies, c.peers, c.registry, c.storeLease, c.transactions)
}

// makeMachineComponents makes what deals with the cloud.
func (c *Controller) makeMachineComponents(env *environment) {
	c.provisioning = newProvisioner(env, c.budget, c.cluster, c.deletions, c.schema, c.storeLease, c.transactions, c.trigger)
	c.instances = newInstanceList(env, c.cluster, c.deletions, c.registry, c.roles)
	c.deleter = newInstanceDeleter(env, c.cluster, c.storeLease)
	c.isolation = newIsolationGuard(env, c.cluster, c.peers, c.roles, c.workerReach)
}

// makeScheduling makes what plans, and what looks after machines by the plans.
func (c *Controller) makeScheduling(env *environment) {
	c.urgencies = newUrgencyIndex(env, c.catalog, c.cluster, c.dependencies)
	c.view = newSchedulerView(env, c.cluster, c.tasks, c.urgencies)
	c.reservations = newReservationPlanner(env, c.boots, c.cluster, c.registry, c.tasks, c.urgencies, c.view)
	c.lending = newMachineLending(env, c.cluster, c.peers, c.registry, c.reservations, c.urgencies, c.view)
	c.manager = newMachineManager(env, c.boots, c.cluster, c.isolation, c.registry, c.reservations, c.storeLease, c.tasks)
	c.scheduling = newSchedulingCycle(env, c.boots, c.cache, c.catalog, c.cluster, c.lending, c.peers, c.provisioning, c.reservations,
		c.tasks, c.trigger, c.urgencies, c.view)
}

// makeHandlers makes what answers requests and takes in what others say.
func (c *Controller) makeHandlers(env *environment) {
	c.reconciliation = newReconciler(env, c.boots, c.cache, c.cluster, c.instances, c.manager, c.storeLease, c.tasks, c.trigger, c.workerReach)
	c.condition = newConditionTracker(env, c.cache, c.cluster, c.isolation, c.peers, c.storeHealth, c.workerReach)
	c.messenger = newPeerMessenger(env, c.budget, c.cache, c.cluster, c.instances, c.lending, c.peers, c.roles, c.scheduling, c.schema,
		c.storeHealth, c.storeLease, c.workerReach)
	c.summary = newSummaryLogger(env, c.cache, c.cluster, c.scheduling)
	c.failover = newFailoverHandler(env, c.cluster, c.provisioning, c.tasks, c.trigger)
	c.applier = newRecordApplier(env, c.cache, c.catalog, c.cluster, c.dependencies, c.partitionLog, c.provisioning, c.registry,
		c.roles, c.schema, c.trigger)
	c.requests = newRequestHandler(env, c.applier, c.budget, c.cache, c.catalog, c.cluster, c.condition, c.dependencies, c.messenger,
		c.peers, c.roles, c.schema, c.storeHealth)
	c.explainer = newJobExplainer(env, c.catalog, c.cluster, c.dependencies, c.requests, c.scheduling)
}

// Step takes one input at a time that never runs backwards.
func (c *Controller) Step(now micros.Micros, in Input) []Effect {
	previous := c.now
	c.now = max(c.now, now)
	c.effects = nil
	c.storeLease.detectPause(previous)
	c.dispatch(in)
	c.runPeriodicWork()
	return c.effects
}

// dispatch takes one input in.
func (c *Controller) dispatch(in Input) {
	switch v := in.(type) {
	case Tick:
	case Submit:
		c.requests.handleSubmit(v)
	case GetStatus:
		c.requests.handleStatus(v)
	case Cancel:
		c.requests.handleCancel(v)
	case Explain:
		c.explainer.handleExplain(v)
	case Ready:
		c.requests.handleReady(v)
	case WorkerHeartbeat:
		c.reconciliation.handleWorkerHeartbeat(v)
	case CommandReply:
		c.reconciliation.handleCommandReply(v)
	case *StoreReply:
		c.handleStoreReply(v)
	case *CloudReply:
		c.handleCloudReply(v)
	case PeerHeartbeat:
		c.messenger.handlePeerHeartbeat(v.Heartbeat)
	case ListRoles:
		c.roles.handleListRoles(v)
	case OrderRefused:
		c.audit.countRefusedOrder(v)
	case Stop:
		c.handleStop()
	}
}

// runPeriodicWork does what time and the last input made due.
func (c *Controller) runPeriodicWork() {
	c.cache.maintainWatch()
	c.storeLease.renewLease()
	c.dependencies.readUnknownOutcomes()
	c.partitionLog.commitChanges()
	if c.now < c.nextTickAt {
		return
	}
	c.nextTickAt = c.now + micros.Second/10
	c.condition.trackCondition()
	c.storeLease.trackAnswering()
	c.schema.announceSchema()
	c.roles.trackExclusiveRoles()
	c.provisioning.trackRequestRecording()
	c.roles.reconcileRoles()
	c.manager.reconcileMachines()
	c.isolation.probeWorkers()
	c.reconcileCloud()
	c.scheduling.runSchedulingCycle()
	c.partitionLog.commitChanges()
	c.messenger.broadcastHeartbeat()
	c.summary.logSummary()
	c.audit.logRefusedOrders()
	c.roles.completeStop()
}

// handleStop gives up all roles, so that other controllers take them at once.
func (c *Controller) handleStop() {
	c.roles.beginStop()
	c.peers.requestBroadcast()
	c.messenger.broadcastHeartbeat()
	c.roles.reconcileRoles()
}

// reconcileCloud asks the cloud for what is due, one request of a kind at a time.
func (c *Controller) reconcileCloud() {
	c.catalog.readCatalogWhenDue()
	c.instances.trackSweeping()
	if !c.instances.sweepsExclusively() && !c.roles.leadsAnyPartition() {
		return
	}
	c.instances.listInstancesWhenDue()
	c.provisioning.reconcileRequests()
	c.deleter.deleteInstancesWhenDue()
}

func (c *Controller) handleStoreReply(r *StoreReply) {
	f := c.storeCalls[r.Call]
	if f == nil {
		return
	}
	delete(c.storeCalls, r.Call)
	c.storeHealth.observeStoreReply(r)
	f(r)
}

func (c *Controller) handleCloudReply(r *CloudReply) {
	if f := c.cloudCalls[r.Call]; f != nil {
		delete(c.cloudCalls, r.Call)
		f(r)
	}
}
