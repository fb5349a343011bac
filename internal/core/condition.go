package core

import (
	"spurmoor/internal/cluster"
	"spurmoor/internal/coordination"
	"spurmoor/internal/logkey"
	"spurmoor/internal/micros"
	"spurmoor/internal/planning"
)

// condition is what a controller can tell of what it has lost. Each is one line in the
// log when it begins and ends, and stands on /ready. The texts are for operators.
type condition string

const (
	conditionHealthy          condition = "well"
	conditionNotSynced        condition = "reading the state service"
	conditionRefusedAlone     condition = "the state service refuses this controller, others have it"
	conditionUnansweredAlone  condition = "the state service does not answer this controller, others have it"
	conditionStoreUnavailable condition = "the state service is away, for other controllers too"
	conditionOnlyWorkers      condition = "neither the state service nor other controllers answer, workers do"
	conditionIsolated         condition = "nothing answers: this controller is cut off"
	conditionNoWorkers        condition = "no worker reaches this controller"
)

// storeSilenceTolerance is how long the store must not answer before that is a condition.
const storeSilenceTolerance = 3 * micros.Second / 2

// conditionDelay is how long a condition must last before it is logged.
const conditionDelay = micros.Second

// minMachinesForSilence is how many machines a controller must know before it concludes
// anything from their silence: without machines none can be heard, and one alone may
// itself have failed.
const minMachinesForSilence = 2

// conditionTracker tells the log and health checks what this controller has lost.
type conditionTracker struct {
	*coordination.Environment
	cache       *coordination.WatchCache
	cluster     *cluster.State
	isolation   *planning.IsolationMonitor
	peers       *coordination.PeerTracker
	storeHealth *coordination.StoreHealth
	workerReach *coordination.WorkerReach

	reported      condition // that was logged last
	reportedSince micros.Micros
	observed      condition // now, perhaps not for long enough to be logged
	observedSince micros.Micros
}

func newConditionTracker(
	env *coordination.Environment,
	cache *coordination.WatchCache,
	cluster *cluster.State,
	isolation *planning.IsolationMonitor,
	peers *coordination.PeerTracker,
	health *coordination.StoreHealth,
	reach *coordination.WorkerReach,
) *conditionTracker {
	return &conditionTracker{
		Environment: env, cache: cache, cluster: cluster, isolation: isolation, peers: peers, storeHealth: health,
		workerReach: reach,
	}
}

// currentCondition works out the condition now.
func (t *conditionTracker) currentCondition() condition {
	since := t.storeHealth.UnavailableSince
	switch {
	case since > 0 && t.Now > since+storeSilenceTolerance:
		return t.conditionWithoutStore()
	case !t.cache.Synced:
		return conditionNotSynced
	case t.workerReach.IsolatedFromWorkers || t.isolation.NoWorkerContactSince > 0:
		return conditionNoWorkers
	}
	return conditionHealthy
}

// conditionWithoutStore tells what else a controller lost that the store does not answer.
func (t *conditionTracker) conditionWithoutStore() condition {
	workersSilent := len(t.cluster.Machines) >= minMachinesForSilence &&
		t.Now > t.workerReach.LastWorkerContactAt+t.Settings.HeartbeatTimeout()
	switch {
	case t.peers.HealthyPeerKnown() && t.storeHealth.Refusing:
		return conditionRefusedAlone
	case t.peers.HealthyPeerKnown():
		return conditionUnansweredAlone
	case t.peers.AnyPeerAlive():
		return conditionStoreUnavailable
	case workersSilent:
		return conditionIsolated
	}
	return conditionOnlyWorkers
}

// trackCondition logs changes of the condition, except those that pass quickly.
func (t *conditionTracker) trackCondition() {
	current := t.currentCondition()
	if current != t.observed {
		t.observed = current
		t.observedSince = t.Now
	}
	if current == t.reported || t.Now < t.observedSince+conditionDelay {
		return
	}
	if t.reported != "" {
		t.LogWarn("condition changed",
			logkey.Condition, string(current),
			logkey.PreviousCondition, string(t.reported),
			logkey.ForS, (t.Now - t.reportedSince).WholeSeconds())
	}
	t.reported = current
	t.reportedSince = t.Now
}
