package core

// condition is what a controller can tell of what it has lost. Each is one line in
// the log when it begins and ends, and stands on /ready.
type condition string

const (
	well          condition = "well"
	reading       condition = "reading the state service"
	refusedAlone  condition = "the state service refuses this controller, others have it"
	unansweredOne condition = "the state service does not answer this controller, others have it"
	storeAway     condition = "the state service is away, for other controllers too"
	onlyWorkers   condition = "neither the state service nor other controllers answer, workers do"
	cutFromAll    condition = "nothing answers: this controller is cut off"
	noWorkers     condition = "no worker reaches this controller"
)

// conditionAfter is how long the state service must not answer before it is said.
const conditionAfter = 3 * Second / 2

func (c *Core) conditionNow() condition {
	switch {
	case c.storeBad > 0 && c.now > c.storeBad+conditionAfter:
		return c.conditionWithoutStore()
	case !c.synced:
		return reading
	case c.cutOff || c.unreached > 0:
		return noWorkers
	}
	return well
}

// conditionWithoutStore tells what else a controller lost that the state service
// does not answer.
func (c *Core) conditionWithoutStore() condition {
	// Without machines none can be heard.
	silent := len(c.machines) >= 2 && c.now > c.heardAt+c.silence()
	switch {
	case c.othersAble() && c.storeRefuses:
		return refusedAlone
	case c.othersAble():
		return unansweredOne
	case c.hearsPeers():
		return storeAway
	case silent:
		return cutFromAll
	}
	return onlyWorkers
}

// hearsPeers tells whether another controller was heard of late; one without others
// hears all that there are.
func (c *Core) hearsPeers() bool {
	for _, h := range c.heartbeats {
		if c.now < h.at+4*Second {
			return true
		}
	}
	return len(c.set.Nodes) == 1
}

// watchCondition says when it changes.
func (c *Core) watchCondition() {
	now := c.conditionNow()
	if now != c.conditionNew {
		c.conditionNew, c.newAt = now, c.now
	}
	if now == c.condition || c.now < c.newAt+Second {
		return // one that passes is not said
	}
	if c.condition != "" {
		c.warn("condition", "now", string(now), "before", string(c.condition), "for_s", (c.now-c.conditionAt)/Second)
	}
	c.condition, c.conditionAt = now, c.now
}
