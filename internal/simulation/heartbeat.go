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
	// heartbeatRetryDelay is how long it then waits until it tries another node.
	heartbeatRetryDelay = micros.Second
	// redirectSpread is the longest delay until a worker follows a redirect. The delay is
	// random, so that workers that are redirected at the same time don't all arrive at once.
	redirectSpread = micros.Second / 2
	// connectionRefusedDelay is the time that a worker needs to notice that a node is down.
	connectionRefusedDelay = micros.Second / 100
	// Copies of heartbeats arrive at least a second late. A random delay of up to two lease
	// terms is added.
	minCopyDelay     = micros.Second
	copySpreadLeases = 2
)

// heartbeat returns a heartbeat with the worker's current state and the next sequence number.
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
	w.sim.checker.checkHeartbeatSize(heartbeat)
	return heartbeat
}

// expediteHeartbeat brings the next heartbeat forward after a change of state, but keeps
// minHeartbeatGap to the previous one.
func (w *worker) expediteHeartbeat() {
	w.nextHeartbeatAt = min(w.nextHeartbeatAt, max(w.sim.now, w.lastHeartbeatAt+minHeartbeatGap))
}

// heartbeatCall is a heartbeat that was sent and whose answer is pending.
type heartbeatCall struct {
	worker      *worker
	node        *node
	number      int64
	sentAt      micros.Micros
	incarnation api.Incarnation
	sequence    uint64 // of the heartbeat
	copied      bool   // a copy of the heartbeat arrives too, perhaps before it
}

// sendHeartbeat sends a heartbeat to the node that the worker uses at present, and schedules
// the next one.
func (w *worker) sendHeartbeat() {
	sim := w.sim
	w.heartbeatCount++
	call := &heartbeatCall{
		worker: w, node: sim.nodes[w.nodeIndex], number: w.heartbeatCount, sentAt: sim.now, incarnation: w.incarnation,
	}
	w.pendingHeartbeat, w.lastHeartbeatAt = call.number, sim.now
	period := micros.FromSeconds(sim.scenario.HeartbeatS)
	// The period has a jitter of a quarter in either direction.
	w.nextHeartbeatAt = sim.now + period*3/4 + micros.Random(sim.rng, period/2+1)
	heartbeat := w.heartbeat()
	call.sequence = heartbeat.Sequence
	sim.logf("%s sends heartbeat %d/%d to %s: %d tasks",
		w.name, heartbeat.Incarnation, heartbeat.Sequence, call.node.name, len(heartbeat.Tasks))
	sim.after(heartbeatTimeout, func() { call.finish(sim.now+heartbeatRetryDelay, w.nextNode()) })
	copiedLate, duplicated := sim.copyLateHeartbeat(heartbeat), w.maybeDuplicateHeartbeat(heartbeat)
	call.copied = copiedLate || duplicated
	if sim.transport != nil {
		sim.transport.sendHeartbeat(w.nodeIndex, heartbeat, call.receive)
		return
	}
	if w.outboundCut {
		sim.countOccurrence(occurredCutHeartbeat)
	}
	if !call.node.up || w.outboundCut {
		sim.after(connectionRefusedDelay, call.connectionRefused)
		return
	}
	sim.deliverOnWorkerLink(call.node, w, func() {
		if !call.node.up {
			return
		}
		sim.request(call.node, workerHeartbeat(heartbeat), func(answer message.Answer) {
			sim.deliverOnWorkerLink(call.node, w, func() { call.receive(answer) })
		})
	})
}

// workerHeartbeat returns a function that builds the input for a worker's heartbeat.
func workerHeartbeat(heartbeat *api.Heartbeat) inputBuilder {
	return func(requestID uint64) message.Input {
		return message.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat}
	}
}

// nextNode returns the index of the node that follows the worker's.
func (w *worker) nextNode() int { return (w.nodeIndex + 1) % len(w.sim.nodes) }

// maybeDuplicateHeartbeat delivers a copy of a heartbeat later to a random node, for the share
// of heartbeats that the scenario duplicates. It reports whether it does.
func (w *worker) maybeDuplicateHeartbeat(heartbeat *api.Heartbeat) bool {
	sim := w.sim
	if sim.scenario.HeartbeatCopies <= 0 || sim.rng.Float64() >= sim.scenario.HeartbeatCopies {
		return false
	}
	duplicate := *heartbeat
	within := micros.FromSeconds(copySpreadLeases * sim.scenario.LeaseS)
	sim.after(minCopyDelay+micros.Random(sim.rng, within), func() { sim.receiveDuplicate(sim.randomNode(), &duplicate) })
	return true
}

// receiveDuplicate passes a copy of a heartbeat to a node and drops the answer.
func (s *Simulation) receiveDuplicate(node *node, duplicate *api.Heartbeat) {
	if node.reaches(linkWorkers) {
		s.request(node, workerHeartbeat(duplicate), func(message.Answer) {})
	}
}

// connectionRefused makes the worker retry with the next node after heartbeatRetryDelay.
func (c *heartbeatCall) connectionRefused() {
	retryAt := c.worker.sim.now + heartbeatRetryDelay
	c.finish(retryAt, c.worker.nextNode())
	c.worker.nextHeartbeatAt = max(c.worker.nextHeartbeatAt, retryAt)
}

// finish ends the wait for the answer unless it has ended before. The next heartbeat is sent to
// the node with this index, no later than latestAt.
func (c *heartbeatCall) finish(latestAt micros.Micros, nodeIndex int) {
	if c.worker.pendingHeartbeat == c.number {
		c.worker.pendingHeartbeat = 0
		c.worker.nodeIndex = nodeIndex
		c.worker.nextHeartbeatAt = min(c.worker.nextHeartbeatAt, latestAt)
	}
}

// receive handles an answer once the worker is not hung. It drops the answer if the worker's
// inbound link is cut.
func (c *heartbeatCall) receive(answer message.Answer) {
	if c.worker.inboundCut {
		c.worker.sim.countOccurrence(occurredCutAnswer)
		return
	}
	c.worker.whenRunning(func() { c.handle(answer) })
}

// handle extends the worker's lease and executes the commands of an answer with status 200.
// After any other answer the worker switches to another node.
func (c *heartbeatCall) handle(answer message.Answer) {
	worker := c.worker
	if worker.pendingHeartbeat != c.number || worker.incarnation != c.incarnation {
		return // timed out, or sent by an earlier incarnation
	}
	worker.sim.checker.checkNotOutdated(c, answer)
	response, ok := answer.Body.(api.HeartbeatResponse)
	if !ok || answer.Status != http.StatusOK {
		c.switchNode(answer)
		return
	}
	c.finish(worker.nextHeartbeatAt, worker.nodeIndex)
	if response.FencingToken < worker.fencingToken {
		return
	}
	worker.raiseToken(response.FencingToken)
	worker.leaseStart = c.sentAt
	worker.execute(response.Commands)
}

// switchNode makes the worker send its next heartbeat to another node: to the one that the
// answer redirects to, or else to the next one.
func (c *heartbeatCall) switchNode(answer message.Answer) {
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
