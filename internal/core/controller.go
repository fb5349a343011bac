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

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/message"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"

	"spurmoor/internal/micros"
	"spurmoor/internal/settings"
)

// Controller is the state machine of one controller. It hands each input to the component
// that handles it, and then has every component do what time made due. The components
// are in the order in which they are made: each knows only those before it.
type Controller struct {
	*coordination.Environment

	storeHealth    *coordination.StoreHealth
	trigger        *cluster.CycleTrigger
	workerReach    *coordination.WorkerReach
	deletions      *cluster.DeletionLog
	boots          *cluster.BootStatistics
	audit          *coordination.OrderAudit
	budget         *coordination.WriteBudget
	peers          *coordination.PeerTracker
	cache          *coordination.WatchCache
	transactions   *coordination.TransactionSender
	schema         *coordination.SchemaTracker
	storeLease     *coordination.StoreLease
	roles          *coordination.RoleManager
	cluster        *cluster.State
	tasks          *cluster.TaskLifecycle
	dependencies   *cluster.DependencyGraph
	catalog        *cluster.MachineCatalog
	registry       *cluster.MachineRegistry
	partitionLog   *cluster.PartitionLog
	provisioning   *provisioning.Provisioner
	instances      *provisioning.InstanceList
	deleter        *provisioning.InstanceDeleter
	isolation      *planning.IsolationGuard
	urgencies      *planning.UrgencyIndex
	view           *planning.SchedulerView
	reservations   *planning.ReservationPlanner
	lending        *planning.MachineLending
	manager        *planning.MachineManager
	scheduling     *planning.SchedulingCycle
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
	env := coordination.NewEnvironment(set, incarnation, random)
	c := &Controller{Environment: env}
	c.makeFoundation(env)
	c.makeState(env)
	c.makeMachineComponents(env)
	c.makeScheduling(env)
	c.makeHandlers(env)
	// These are told of what happens below them, and know those who tell them.
	c.cache.Sink, c.roles.Observer, c.storeLease.Observer = c.applier, c.failover, c.roles
	return c
}

// makeFoundation makes what knows nothing of jobs and machines.
func (c *Controller) makeFoundation(env *coordination.Environment) {
	c.storeHealth = coordination.NewStoreHealth(env)
	c.trigger = cluster.NewCycleTrigger(env)
	c.workerReach = coordination.NewWorkerReach(env)
	c.deletions = cluster.NewDeletionLog(env)
	c.boots = cluster.NewBootStatistics(env)
	c.audit = coordination.NewOrderAudit(env)
	c.budget = coordination.NewWriteBudget(env)
	c.peers = coordination.NewPeerTracker(env, c.storeHealth)
	c.cache = coordination.NewWatchCache(env)
	c.transactions = coordination.NewTransactionSender(env, c.cache)
	c.schema = coordination.NewSchemaTracker(env, c.budget, c.cache, c.peers)
	c.storeLease = coordination.NewStoreLease(env, c.cache, c.peers)
	c.roles = coordination.NewRoleManager(env, c.audit, c.cache, c.peers, c.schema, c.storeLease, c.transactions, c.workerReach)
}

// makeState makes the replica and what commits changes of it.
func (c *Controller) makeState(env *coordination.Environment) {
	c.cluster = cluster.NewState(env, c.cache, c.roles)
	c.tasks = cluster.NewTaskLifecycle(env, c.cluster, c.storeLease, c.trigger)
	c.dependencies = cluster.NewDependencyGraph(env, c.cache, c.cluster, c.trigger)
	c.catalog = cluster.NewMachineCatalog(env, c.budget, c.cache, c.cluster, c.roles, c.schema)
	c.registry = cluster.NewMachineRegistry(env, c.catalog, c.cluster, c.deletions, c.tasks, c.trigger)
	c.partitionLog = cluster.NewPartitionLog(env, c.budget, c.cache, c.cluster, c.dependencies, c.peers, c.registry, c.storeLease, c.transactions)
}

// makeMachineComponents makes what deals with the cloud.
func (c *Controller) makeMachineComponents(env *coordination.Environment) {
	c.provisioning = provisioning.NewProvisioner(env, c.budget, c.cluster, c.deletions, c.schema, c.storeLease, c.transactions, c.trigger)
	c.instances = provisioning.NewInstanceList(env, c.cluster, c.deletions, c.registry, c.roles)
	c.deleter = provisioning.NewInstanceDeleter(env, c.cluster, c.storeLease)
	c.isolation = planning.NewIsolationGuard(env, c.cluster, c.peers, c.roles, c.workerReach)
}

// makeScheduling makes what plans, and what looks after machines by the plans.
func (c *Controller) makeScheduling(env *coordination.Environment) {
	c.urgencies = planning.NewUrgencyIndex(env, c.catalog, c.cluster, c.dependencies)
	c.view = planning.NewSchedulerView(env, c.cluster, c.tasks, c.urgencies)
	c.reservations = planning.NewReservationPlanner(env, c.boots, c.cluster, c.registry, c.tasks, c.urgencies, c.view)
	c.lending = planning.NewMachineLending(env, c.cluster, c.peers, c.registry, c.reservations, c.urgencies, c.view)
	c.manager = planning.NewMachineManager(env, c.boots, c.cluster, c.isolation, c.registry, c.reservations, c.storeLease, c.tasks)
	c.scheduling = planning.NewSchedulingCycle(env, c.boots, c.cache, c.catalog, c.cluster, c.lending, c.peers, c.provisioning, c.reservations,
		c.tasks, c.trigger, c.urgencies, c.view)
}

// makeHandlers makes what answers requests and takes in what others say.
func (c *Controller) makeHandlers(env *coordination.Environment) {
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
func (c *Controller) Step(now micros.Micros, in message.Input) []message.Effect {
	previous := c.Now
	c.Now = max(c.Now, now)
	c.Effects = nil
	c.storeLease.DetectPause(previous)
	c.dispatch(in)
	c.runPeriodicWork()
	return c.Effects
}

// dispatch takes one input in.
func (c *Controller) dispatch(in message.Input) {
	switch v := in.(type) {
	case message.Tick:
	case message.Submit:
		c.requests.handleSubmit(v)
	case message.GetStatus:
		c.requests.handleStatus(v)
	case message.Cancel:
		c.requests.handleCancel(v)
	case message.Explain:
		c.explainer.handleExplain(v)
	case message.Ready:
		c.requests.handleReady(v)
	case message.WorkerHeartbeat:
		c.reconciliation.handleWorkerHeartbeat(v)
	case message.CommandReply:
		c.reconciliation.handleCommandReply(v)
	case *message.StoreReply:
		c.handleStoreReply(v)
	case *message.CloudReply:
		c.handleCloudReply(v)
	case message.PeerHeartbeat:
		c.messenger.handlePeerHeartbeat(v.Heartbeat)
	case message.ListRoles:
		c.roles.HandleListRoles(v)
	case message.OrderRefused:
		c.audit.CountRefusedOrder(v)
	case message.Stop:
		c.handleStop()
	}
}

// runPeriodicWork does what time and the last input made due.
func (c *Controller) runPeriodicWork() {
	c.cache.MaintainWatch()
	c.storeLease.RenewLease()
	c.dependencies.ReadUnknownOutcomes()
	c.partitionLog.CommitChanges()
	if c.Now < c.nextTickAt {
		return
	}
	c.nextTickAt = c.Now + micros.Second/10
	c.condition.trackCondition()
	c.storeLease.TrackAnswering()
	c.schema.AnnounceSchema()
	c.roles.TrackExclusiveRoles()
	c.provisioning.TrackRequestRecording()
	c.roles.ReconcileRoles()
	c.manager.ReconcileMachines()
	c.isolation.ProbeWorkers()
	c.reconcileCloud()
	c.scheduling.RunSchedulingCycle()
	c.partitionLog.CommitChanges()
	c.messenger.broadcastHeartbeat()
	c.summary.logSummary()
	c.audit.LogRefusedOrders()
	c.roles.CompleteStop()
}

// handleStop gives up all roles, so that other controllers take them at once.
func (c *Controller) handleStop() {
	c.roles.BeginStop()
	c.peers.RequestBroadcast()
	c.messenger.broadcastHeartbeat()
	c.roles.ReconcileRoles()
}

// reconcileCloud asks the cloud for what is due, one request of a kind at a time.
func (c *Controller) reconcileCloud() {
	c.catalog.ReadCatalogWhenDue()
	c.instances.TrackSweeping()
	if !c.instances.SweepsExclusively() && !c.roles.LeadsAnyPartition() {
		return
	}
	c.instances.ListInstancesWhenDue()
	c.provisioning.ReconcileRequests()
	c.deleter.DeleteInstancesWhenDue()
}

func (c *Controller) handleStoreReply(r *message.StoreReply) {
	f := c.StoreCalls[r.Call]
	if f == nil {
		return
	}
	delete(c.StoreCalls, r.Call)
	c.storeHealth.ObserveStoreReply(r)
	f(r)
}

func (c *Controller) handleCloudReply(r *message.CloudReply) {
	if f := c.CloudCalls[r.Call]; f != nil {
		delete(c.CloudCalls, r.Call)
		f(r)
	}
}
