package core

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// conditionTracker says in the log, and to health checks, what this controller has lost.
type conditionTracker struct {
	*coordination.Environment
	cache       *coordination.WatchCache
	cluster     *cluster.State
	isolation   *planning.IsolationGuard
	peers       *coordination.PeerTracker
	storeHealth *coordination.StoreHealth
	workerReach *coordination.WorkerReach

	reported          condition
	reportedSince     micros.Micros
	observedCondition condition // seen since observedSince, not reported yet
	observedSince     micros.Micros
}

func newConditionTracker(env *coordination.Environment, cache *coordination.WatchCache, cluster *cluster.State, isolation *planning.IsolationGuard, peers *coordination.PeerTracker,
	health *coordination.StoreHealth, reach *coordination.WorkerReach) *conditionTracker {
	return &conditionTracker{Environment: env, cache: cache, cluster: cluster, isolation: isolation, peers: peers, storeHealth: health, workerReach: reach}
}

// condition is what a controller can tell of what it has lost. Each is one line in
// the log when it begins and ends, and stands on /ready.
type condition string

const (
	conditionHealthy          condition = "well"
	conditionReading          condition = "reading the state service"
	conditionRefusedAlone     condition = "the state service refuses this controller, others have it"
	conditionUnansweredAlone  condition = "the state service does not answer this controller, others have it"
	conditionStoreUnavailable condition = "the state service is away, for other controllers too"
	conditionOnlyWorkers      condition = "neither the state service nor other controllers answer, workers do"
	conditionIsolated         condition = "nothing answers: this controller is cut off"
	conditionNoWorkers        condition = "no worker reaches this controller"
)

// storeSilenceTolerance is how long the state service must not answer before it is said.
const storeSilenceTolerance = 3 * micros.Second / 2

func (t *conditionTracker) currentCondition() condition {
	switch {
	case t.storeHealth.UnavailableSince > 0 && t.Now > t.storeHealth.UnavailableSince+storeSilenceTolerance:
		return t.conditionWithoutStore()
	case !t.cache.Synced:
		return conditionReading
	case t.workerReach.IsolatedFromWorkers || t.isolation.UnreachedSince > 0:
		return conditionNoWorkers
	}
	return conditionHealthy
}

// conditionWithoutStore tells what else a controller lost that the state service
// does not answer.
func (t *conditionTracker) conditionWithoutStore() condition {
	// Without machines none can be heard.
	silent := len(t.cluster.Machines) >= 2 && t.Now > t.workerReach.LastWorkerContactAt+t.Settings.HeartbeatTimeout()
	switch {
	case t.peers.HealthyPeerKnown() && t.storeHealth.Refusing:
		return conditionRefusedAlone
	case t.peers.HealthyPeerKnown():
		return conditionUnansweredAlone
	case t.peers.AnyPeerAlive():
		return conditionStoreUnavailable
	case silent:
		return conditionIsolated
	}
	return conditionOnlyWorkers
}

// trackCondition says when it changes.
func (t *conditionTracker) trackCondition() {
	now := t.currentCondition()
	if now != t.observedCondition {
		t.observedCondition, t.observedSince = now, t.Now
	}
	if now == t.reported || t.Now < t.observedSince+micros.Second {
		return // one that passes is not said
	}
	if t.reported != "" {
		t.LogWarn("condition changed", logkey.Condition, string(now), logkey.PreviousCondition, string(t.reported), logkey.ForS, (t.Now - t.reportedSince).WholeSeconds())
	}
	t.reported, t.reportedSince = now, t.Now
}
