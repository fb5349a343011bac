package core

import (
	"math/rand/v2"

	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/leadership"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
	"spurmoor/internal/provisioning"
	"spurmoor/internal/settings"
)

// Controller is the state machine of one controller. It passes each input to the component
// that handles it, and then runs the periodic work of all components. The components are
// listed in the order in which they are created: each depends only on those before it.
// A Controller is not safe for concurrent use.
type Controller struct {
	*coordination.Environment

	// The store, the lease on it, and the roles that depend on the lease. The trigger, the
	// deletions and the boots are here because they depend on no other component.
	storeHealth   *coordination.StoreHealth
	trigger       *cluster.CycleTrigger
	reachability  *coordination.WorkerReachability
	deletions     *cluster.DeletionLog
	boots         *cluster.BootStatistics
	refusedOrders *coordination.RefusalCounter
	budget        *coordination.WriteBudget
	peers         *coordination.PeerTracker
	cache         *coordination.WatchCache
	transactions  *coordination.TransactionSender
	schema        *coordination.SchemaTracker
	storeLease    *coordination.StoreLease
	roles         *coordination.RoleManager

	// The replica, and the components that change it and commit the changes.
	cluster      *cluster.State
	tasks        *cluster.TaskLifecycle
	dependencies *cluster.DependencyGraph
	catalog      *provisioning.MachineCatalog
	registry     *cluster.MachineRegistry
	partitionLog *cluster.PartitionLog

	// The cloud.
	provisioning *provisioning.Provisioner
	instances    *provisioning.InstanceList
	deleter      *provisioning.InstanceDeleter

	// Scheduling, and the management of machines according to the plans.
	isolationMonitor *planning.IsolationMonitor
	urgencies        *planning.UrgencyIndex
	view             *planning.SchedulerView
	reservations     *planning.ReservationPlanner
	lender           *planning.MachineLender
	manager          *planning.MachineManager
	schedulingCycle  *planning.SchedulingCycle

	// Handlers for requests and messages.
	workers       *workerHandler
	condition     *conditionTracker
	messenger     *peerMessenger
	summary       *summaryLogger
	failover      *failoverHandler
	applier       *recordApplier
	admission     *admissionControl
	jobs          *jobLookup
	writer        *jobWriter
	submissions   *submissionHandler
	cancellations *cancellationHandler
	readiness     *readinessHandler
	explainer     *jobExplainer

	nextPeriodicAt micros.Micros
}

// New returns a controller whose replica is empty. incarnation distinguishes this process
// from earlier ones of the same node. random is used only for jitter.
func New(set *settings.Settings, incarnation leadership.Incarnation, random *rand.Rand) *Controller {
	env := coordination.NewEnvironment(set, incarnation, random)
	controller := &Controller{Environment: env}
	controller.initCoordination(env)
	controller.initReplica(env)
	controller.initProvisioning(env)
	controller.initPlanning(env)
	controller.initHandlers(env)
	controller.initUserHandlers(env)
	// These are notified by components that were created before them.
	controller.cache.Sink = controller.applier
	controller.roles.Observer = controller.failover
	controller.storeLease.Observer = controller.roles
	return controller
}

// initCoordination creates the components that do not depend on jobs and machines, and
// those that track jobs and machines without depending on any other component.
func (c *Controller) initCoordination(env *coordination.Environment) {
	c.storeHealth = coordination.NewStoreHealth(env)
	c.trigger = cluster.NewCycleTrigger(env)
	c.reachability = coordination.NewWorkerReachability(env)
	c.deletions = cluster.NewDeletionLog(env)
	c.boots = cluster.NewBootStatistics(env)
	c.refusedOrders = coordination.NewRefusalCounter(env)
	c.budget = coordination.NewWriteBudget(env)
	c.peers = coordination.NewPeerTracker(env, c.storeHealth)
	c.cache = coordination.NewWatchCache(env)
	c.transactions = coordination.NewTransactionSender(env, c.cache)
	c.schema = coordination.NewSchemaTracker(env, c.budget, c.cache, c.peers)
	c.storeLease = coordination.NewStoreLease(env, c.cache, c.peers)
	c.roles = coordination.NewRoleManager(
		env, c.refusedOrders, c.cache, c.peers, c.schema, c.storeLease, c.transactions, c.reachability,
	)
}

// initReplica creates the replica and the components that commit changes to it.
func (c *Controller) initReplica(env *coordination.Environment) {
	c.cluster = cluster.NewState(env, c.cache, c.roles)
	c.tasks = cluster.NewTaskLifecycle(env, c.cluster, c.storeLease, c.trigger)
	c.dependencies = cluster.NewDependencyGraph(env, c.cache, c.cluster, c.trigger)
	c.catalog = provisioning.NewMachineCatalog(env, c.budget, c.cache, c.cluster, c.roles, c.schema)
	c.registry = cluster.NewMachineRegistry(env, c.catalog, c.cluster, c.deletions, c.tasks, c.trigger)
	c.partitionLog = cluster.NewPartitionLog(
		env, c.budget, c.cache, c.cluster, c.dependencies, c.peers, c.registry, c.storeLease, c.transactions,
	)
}

// initProvisioning creates the components that send requests to the cloud.
func (c *Controller) initProvisioning(env *coordination.Environment) {
	c.provisioning = provisioning.NewProvisioner(
		env, c.budget, c.cluster, c.deletions, c.schema, c.storeLease, c.transactions, c.trigger,
	)
	c.instances = provisioning.NewInstanceList(env, c.cluster, c.deletions, c.registry, c.roles)
	c.deleter = provisioning.NewInstanceDeleter(env, c.cluster, c.storeLease)
}

// initPlanning creates the components that schedule jobs and manage machines.
func (c *Controller) initPlanning(env *coordination.Environment) {
	c.isolationMonitor = planning.NewIsolationMonitor(env, c.cluster, c.peers, c.roles, c.reachability)
	c.urgencies = planning.NewUrgencyIndex(env, c.catalog, c.cluster, c.dependencies)
	c.view = planning.NewSchedulerView(env, c.cluster, c.tasks, c.urgencies)
	c.reservations = planning.NewReservationPlanner(
		env, c.boots, c.cluster, c.registry, c.tasks, c.urgencies, c.view,
	)
	c.lender = planning.NewMachineLender(
		env, c.cluster, c.peers, c.registry, c.reservations, c.urgencies, c.view,
	)
	c.manager = planning.NewMachineManager(
		env, c.boots, c.cluster, c.isolationMonitor, c.registry, c.reservations, c.storeLease, c.tasks,
	)
	c.schedulingCycle = planning.NewSchedulingCycle(
		env, c.boots, c.cache, c.catalog, c.cluster, c.lender, c.peers, c.provisioning, c.reservations,
		c.tasks, c.trigger, c.urgencies, c.view,
	)
}

// initHandlers creates the handlers for messages from workers, other controllers and the
// store.
func (c *Controller) initHandlers(env *coordination.Environment) {
	c.workers = newWorkerHandler(
		env, c.boots, c.cache, c.cluster, c.instances, c.manager, c.storeLease, c.tasks, c.trigger, c.reachability,
	)
	c.condition = newConditionTracker(
		env, c.cache, c.cluster, c.isolationMonitor, c.peers, c.storeHealth, c.reachability,
	)
	c.messenger = newPeerMessenger(
		env, c.budget, c.cache, c.cluster, c.instances, c.lender, c.peers, c.roles, c.schedulingCycle, c.schema,
		c.storeHealth, c.storeLease, c.reachability,
	)
	c.summary = newSummaryLogger(env, c.cache, c.cluster, c.schedulingCycle)
	c.failover = newFailoverHandler(env, c.cluster, c.provisioning, c.tasks, c.trigger)
	c.applier = newRecordApplier(
		env, c.cache, c.catalog, c.cluster, c.dependencies, c.partitionLog, c.provisioning, c.registry,
		c.roles, c.schema, c.trigger,
	)
}

// initUserHandlers creates the handlers for requests of users and health checks.
func (c *Controller) initUserHandlers(env *coordination.Environment) {
	c.admission = newAdmissionControl(env, c.catalog, c.cluster, c.dependencies, c.schema, c.storeHealth)
	c.jobs = newJobLookup(env, c.cache, c.cluster, c.dependencies)
	c.writer = newJobWriter(env, c.applier, c.budget, c.cache)
	c.submissions = newSubmissionHandler(env, c.admission, c.cache, c.dependencies, c.jobs, c.writer)
	c.cancellations = newCancellationHandler(env, c.cluster, c.jobs, c.messenger, c.writer)
	c.readiness = newReadinessHandler(env, c.cache, c.condition, c.peers, c.roles, c.storeHealth)
	c.explainer = newJobExplainer(env, c.catalog, c.cluster, c.dependencies, c.jobs, c.schedulingCycle)
}
