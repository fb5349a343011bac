package core

import "spurmoor/internal/micros"

// conditionTracker says in the log, and to health checks, what this controller has lost.
type conditionTracker struct {
	*environment
	cache       *watchCache
	cluster     *clusterState
	isolation   *isolationGuard
	peers       *peerTracker
	storeHealth *storeHealth
	workerReach *workerReach

	reported          condition
	reportedSince     micros.Micros
	observedCondition condition // seen since observedSince, not reported yet
	observedSince     micros.Micros
}

func newConditionTracker(env *environment, cache *watchCache, cluster *clusterState, isolation *isolationGuard, peers *peerTracker,
	health *storeHealth, reach *workerReach) *conditionTracker {
	return &conditionTracker{environment: env, cache: cache, cluster: cluster, isolation: isolation, peers: peers, storeHealth: health, workerReach: reach}
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
	case t.storeHealth.unavailableSince > 0 && t.now > t.storeHealth.unavailableSince+storeSilenceTolerance:
		return t.conditionWithoutStore()
	case !t.cache.synced:
		return conditionReading
	case t.workerReach.isolatedFromWorkers || t.isolation.unreachedSince > 0:
		return conditionNoWorkers
	}
	return conditionHealthy
}

// conditionWithoutStore tells what else a controller lost that the state service
// does not answer.
func (t *conditionTracker) conditionWithoutStore() condition {
	// Without machines none can be heard.
	silent := len(t.cluster.machines) >= 2 && t.now > t.workerReach.lastWorkerContactAt+t.settings.silenceTimeout()
	switch {
	case t.peers.healthyPeerKnown() && t.storeHealth.refusing:
		return conditionRefusedAlone
	case t.peers.healthyPeerKnown():
		return conditionUnansweredAlone
	case t.peers.hearsAnyPeer():
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
		t.observedCondition, t.observedSince = now, t.now
	}
	if now == t.reported || t.now < t.observedSince+micros.Second {
		return // one that passes is not said
	}
	if t.reported != "" {
		t.logWarn("condition", "now", string(now), "before", string(t.reported), "for_s", (t.now - t.reportedSince).WholeSeconds())
	}
	t.reported, t.reportedSince = now, t.now
}
