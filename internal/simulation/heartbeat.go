package simulation

import (
	"net/http"

	"spurmoor/internal/api"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * micros.Second
	// heartbeatRetryDelay is how long it then waits before it tries another node.
	heartbeatRetryDelay = micros.Second
	// redirectSpread is within which time it turns to the node that an answer names: workers
	// that are redirected together do not arrive together.
	redirectSpread = micros.Second / 2
	// refusedConnection is how long it takes to notice that a node is down.
	refusedConnection = micros.Second / 100
	// Copies of heartbeats arrive up to two leases late, not sooner than after a second.
	minCopyDelay     = micros.Second
	copyWithinLeases = 2
)

// heartbeat returns the worker's present state with the next sequence number.
func (w *worker) heartbeat() *api.Heartbeat {
	w.sequence++
	heartbeat := &api.Heartbeat{
		Machine: w.name, Address: w.addr, Type: w.machineType.Name, Zone: w.zone, Spot: w.spot,
		Incarnation: w.incarnation, Sequence: w.sequence, FencingToken: w.fencingToken,
	}
	if w.interruptionAt > 0 {
		seconds := (w.interruptionAt - w.sim.now).Seconds()
		heartbeat.InterruptionNoticeS = &seconds
	}
	for _, task := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, api.TaskStatus{
			Task: task.id, Attempt: task.attempt, State: task.state,
			ExitReason: task.exitReason, CheckpointStored: task.checkpointStored,
		})
	}
	return heartbeat
}

// hastenHeartbeat brings the next heartbeat forward, as after a change of state.
func (w *worker) hastenHeartbeat() {
	w.nextHeartbeatAt = min(w.nextHeartbeatAt, max(w.sim.now, w.lastHeartbeatAt+hastenedGap))
}

// heartbeatCall is a heartbeat on its way, and what becomes of its answer.
type heartbeatCall struct {
	worker      *worker
	node        *node
	number      int64
	sentAt      micros.Micros
	incarnation api.Incarnation
}

// sendHeartbeat sends a heartbeat to the worker's node.
func (w *worker) sendHeartbeat() {
	sim := w.sim
	w.calls++
	call := &heartbeatCall{
		worker: w, node: sim.nodes[w.node], number: w.calls, sentAt: sim.now, incarnation: w.incarnation,
	}
	w.pendingCall, w.lastHeartbeatAt = call.number, sim.now
	period := micros.FromSeconds(sim.scenario.HeartbeatS)
	// A quarter of jitter either way.
	w.nextHeartbeatAt = sim.now + period*3/4 + micros.Random(sim.rng, period/2+1)
	heartbeat := w.heartbeat()
	sim.logf("%s reports %d/%d to %s: %d tasks",
		w.name, heartbeat.Incarnation, heartbeat.Sequence, call.node.name, len(heartbeat.Tasks))
	sim.after(heartbeatTimeout, func() { call.finish(sim.now+heartbeatRetryDelay, w.nextNode()) })
	sim.copyLateHeartbeat(heartbeat)
	w.maybeDuplicateHeartbeat(heartbeat)
	if sim.transport != nil {
		sim.transport.sendHeartbeat(w.node, heartbeat, call.receive)
		return
	}
	if w.outboundCut {
		sim.countOccurrence(occurredCutHeartbeat)
	}
	if !call.node.up || w.outboundCut {
		sim.after(refusedConnection, call.connectionRefused)
		return
	}
	sim.deliverWorkerLink(call.node, w, func() {
		if !call.node.up {
			return
		}
		sim.request(call.node, workerHeartbeat(heartbeat), func(answer message.Answer) {
			sim.deliverWorkerLink(call.node, w, func() { call.receive(answer) })
		})
	})
}

// workerHeartbeat makes the input of a worker's heartbeat.
func workerHeartbeat(heartbeat *api.Heartbeat) inputFor {
	return func(requestID uint64) message.Input {
		return message.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat}
	}
}

// nextNode returns the index of the node after the worker's.
func (w *worker) nextNode() int { return (w.node + 1) % controllerCount }

// maybeDuplicateHeartbeat has a copy of a heartbeat arrive later, at any node, for the
// share of heartbeats that the scenario duplicates.
func (w *worker) maybeDuplicateHeartbeat(heartbeat *api.Heartbeat) {
	sim := w.sim
	if sim.scenario.HeartbeatCopies <= 0 || sim.rng.Float64() >= sim.scenario.HeartbeatCopies {
		return
	}
	duplicate := *heartbeat
	within := micros.FromSeconds(copyWithinLeases * sim.scenario.LeaseS)
	sim.after(minCopyDelay+micros.Random(sim.rng, within), func() { sim.receiveDuplicate(sim.randomNode(), &duplicate) })
}

// receiveDuplicate hands a node a copy of a heartbeat, whose answer nobody receives.
func (s *Simulation) receiveDuplicate(node *node, duplicate *api.Heartbeat) {
	if node.reaches(linkWorkers) {
		s.request(node, workerHeartbeat(duplicate), func(message.Answer) {})
	}
}

// connectionRefused has the worker turn to the next node.
func (c *heartbeatCall) connectionRefused() {
	retryAt := c.worker.sim.now + heartbeatRetryDelay
	c.finish(retryAt, c.worker.nextNode())
	c.worker.nextHeartbeatAt = max(c.worker.nextHeartbeatAt, retryAt)
}

// finish ends the wait for the answer: the next heartbeat goes to a node by an instant.
func (c *heartbeatCall) finish(by micros.Micros, node int) {
	if c.worker.pendingCall == c.number {
		c.worker.pendingCall = 0
		c.worker.node = node
		c.worker.nextHeartbeatAt = min(c.worker.nextHeartbeatAt, by)
	}
}

// receive handles an answer, unless it does not reach the worker.
func (c *heartbeatCall) receive(answer message.Answer) {
	if c.worker.inboundCut {
		c.worker.sim.countOccurrence(occurredCutAnswer)
		return
	}
	c.worker.whenRunning(func() { c.handle(answer) })
}

// handle extends the worker's lease and executes the commands of an answer with status 200.
func (c *heartbeatCall) handle(answer message.Answer) {
	worker := c.worker
	if worker.pendingCall != c.number || worker.incarnation != c.incarnation {
		return // given up, or of an earlier incarnation
	}
	response, ok := answer.Body.(api.HeartbeatResponse)
	if !ok || answer.Status != http.StatusOK {
		c.tryOther(answer)
		return
	}
	c.finish(worker.nextHeartbeatAt, worker.node)
	if response.FencingToken < worker.fencingToken {
		return
	}
	worker.raiseToken(response.FencingToken)
	worker.leaseStart = c.sentAt
	worker.execute(response.Commands)
}

// tryOther has the worker turn to another node: the one that the answer names, or the next.
func (c *heartbeatCall) tryOther(answer message.Answer) {
	sim := c.worker.sim
	other, wait := c.worker.nextNode(), heartbeatRetryDelay
	redirect, ok := answer.Body.(api.Redirect)
	if ok && answer.Status == http.StatusMisdirectedRequest && redirect.To != "" && redirect.To != c.node.name {
		for i, node := range sim.nodes {
			if node.name == redirect.To {
				other, wait = i, micros.Random(sim.rng, redirectSpread)
			}
		}
	}
	c.finish(sim.now+wait, other)
	c.worker.nextHeartbeatAt = sim.now + wait
}
