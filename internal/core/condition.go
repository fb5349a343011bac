package core

import "spurmoor/internal/micros"

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

func (c *Controller) currentCondition() condition {
	switch {
	case c.unavailableSince > 0 && c.now > c.unavailableSince+storeSilenceTolerance:
		return c.conditionWithoutStore()
	case !c.synced:
		return conditionReading
	case c.isolatedFromWorkers || c.unreachedSince > 0:
		return conditionNoWorkers
	}
	return conditionHealthy
}

// conditionWithoutStore tells what else a controller lost that the state service
// does not answer.
func (c *Controller) conditionWithoutStore() condition {
	// Without machines none can be heard.
	silent := len(c.machines) >= 2 && c.now > c.lastWorkerContactAt+c.silenceTimeout()
	switch {
	case c.healthyPeerKnown() && c.refusing:
		return conditionRefusedAlone
	case c.healthyPeerKnown():
		return conditionUnansweredAlone
	case c.hearsAnyPeer():
		return conditionStoreUnavailable
	case silent:
		return conditionIsolated
	}
	return conditionOnlyWorkers
}

// hearsAnyPeer tells whether another controller was heard of late; one without others
// hears all that there are.
func (c *Controller) hearsAnyPeer() bool {
	for _, h := range c.peers {
		if c.now < h.lastHeartbeatAt+4*micros.Second {
			return true
		}
	}
	return len(c.settings.Nodes) == 1
}

// trackCondition says when it changes.
func (c *Controller) trackCondition() {
	now := c.currentCondition()
	if now != c.observedCondition {
		c.observedCondition, c.observedSince = now, c.now
	}
	if now == c.condition || c.now < c.observedSince+micros.Second {
		return // one that passes is not said
	}
	if c.condition != "" {
		c.logWarn("condition", "now", string(now), "before", string(c.condition), "for_s", (c.now - c.conditionSince).WholeSeconds())
	}
	c.condition, c.conditionSince = now, c.now
}
