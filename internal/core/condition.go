package core

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// condition describes which connections a controller has lost, as far as it can tell.
// Changes are logged, and /ready returns the current condition. Operators read the texts.
type condition string

const (
	conditionHealthy                   condition = "well"
	conditionNotSynced                 condition = "reading the state service"
	conditionStoreRefusesThisNode      condition = "the state service refuses this controller, others have it"
	conditionStoreNotAnsweringThisNode condition = "the state service does not answer this controller, others have it"
	conditionStoreUnavailable          condition = "the state service is away, for other controllers too"
	conditionOnlyWorkersReachable      condition = "neither the state service nor other controllers answer, workers do"
	conditionIsolated                  condition = "nothing answers: this controller is cut off"
	conditionNoWorkers                 condition = "no worker reaches this controller"
)

// conditionStoreTimeout is how long the store must be unavailable before the condition
// changes.
const conditionStoreTimeout = 3 * micros.Second / 2

// conditionLogDelay is how long a condition must last before it is logged. Shorter changes
// are not logged.
const conditionLogDelay = micros.Second

// minMachinesToDetectSilence is how many machines a controller must know before missing
// heartbeats mean that no worker reaches it. Without machines there are no heartbeats, and
// a single machine may have failed itself.
const minMachinesToDetectSilence = 2

// conditionTracker determines the condition of this controller for the log and for health
// checks.
type conditionTracker struct {
	*coordination.Environment
	cache            *coordination.WatchCache
	cluster          *cluster.State
	isolationMonitor *planning.IsolationMonitor
	peers            *coordination.PeerTracker
	storeHealth      *coordination.StoreHealth
	reachability     *coordination.WorkerReachability

	lastLogged    condition // logged last; the first one that lasts is set without a log line
	lastLoggedAt  micros.Micros
	observed      condition // current; may not have lasted long enough to be logged
	observedSince micros.Micros
}

func newConditionTracker(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	isolationMonitor *planning.IsolationMonitor,
	peers *coordination.PeerTracker,
	health *coordination.StoreHealth,
	reachability *coordination.WorkerReachability,
) *conditionTracker {
	return &conditionTracker{
		Environment: env, cache: cache, cluster: cluster, isolationMonitor: isolationMonitor, peers: peers, storeHealth: health,
		reachability: reachability,
	}
}

// currentCondition returns the condition at this time.
func (t *conditionTracker) currentCondition() condition {
	since := t.storeHealth.UnavailableSince
	switch {
	case since > 0 && t.Now > since+conditionStoreTimeout:
		return t.conditionWithoutStore()
	case !t.cache.Synced:
		return conditionNotSynced
	case t.reachability.Isolated || t.isolationMonitor.NoWorkerContactSince > 0:
		return conditionNoWorkers
	}
	return conditionHealthy
}

// conditionWithoutStore returns the condition while the store does not answer: it depends
// on whether other controllers and workers can be heard.
func (t *conditionTracker) conditionWithoutStore() condition {
	workersSilent := len(t.cluster.Machines) >= minMachinesToDetectSilence &&
		t.Now > t.reachability.LastContactAt+t.Settings.HeartbeatTimeout()
	switch {
	case t.peers.AnyPeerHealthy() && t.storeHealth.Refusing:
		return conditionStoreRefusesThisNode
	case t.peers.AnyPeerHealthy():
		return conditionStoreNotAnsweringThisNode
	case t.peers.AnyPeerAlive():
		return conditionStoreUnavailable
	case workersSilent:
		return conditionIsolated
	}
	return conditionOnlyWorkersReachable
}

// trackCondition logs a change of the condition once the new one has lasted
// conditionLogDelay.
func (t *conditionTracker) trackCondition() {
	current := t.currentCondition()
	if current != t.observed {
		t.observed = current
		t.observedSince = t.Now
	}
	if current == t.lastLogged || t.Now < t.observedSince+conditionLogDelay {
		return
	}
	if t.lastLogged != "" {
		t.LogWarn("condition changed",
			logkey.Condition, string(current),
			logkey.PreviousCondition, string(t.lastLogged),
			logkey.ForS, (t.Now - t.lastLoggedAt).WholeSeconds())
	}
	t.lastLogged = current
	t.lastLoggedAt = t.Now
}
