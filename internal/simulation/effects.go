package simulation

import (
	"fmt"
	"net/http"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// Times after which a controller gives up on a call without an answer.
	storeTimeout   = 2500 * micros.Millisecond
	cloudTimeout   = 5 * micros.Second
	commandTimeout = 3 * micros.Second

	// lateRequestSpread is the longest delay of a late transaction.
	lateRequestSpread = 8 * micros.Second
	// Delays of a request to the cloud and of the reply, on top of the link's latency.
	cloudRequestDelay = micros.Second / 5
	cloudReplyDelay   = micros.Second / 20
)

// executeEffect executes an effect that a controller's core returned.
func (s *Simulation) executeEffect(node *node, effect message.Effect) {
	switch effect := effect.(type) {
	case message.Answer:
		s.answerRequest(node, effect)
	case message.StoreCall:
		s.callStore(node, effect)
	case message.CloudCall:
		s.callCloud(node, effect)
	case message.SendCommands:
		s.sendCommands(node, effect)
	case message.Broadcast:
		s.broadcast(node, effect)
	case message.Log:
		s.logf("%s %s %s", node.name, effect.Message, fmt.Sprintln(effect.Args...))
	}
}

// broadcast sends a controller's heartbeat to all other controllers. Each copy passes the
// sender's link and then the receiver's, so that a cut of either one stops it.
func (s *Simulation) broadcast(sender *node, broadcast message.Broadcast) {
	heartbeat := *broadcast.Heartbeat
	for _, peer := range s.nodes {
		if peer == sender {
			continue
		}
		s.deliver(sender, linkPeers, func() {
			s.deliver(peer, linkPeers, func() { s.step(peer, message.PeerHeartbeat{Heartbeat: &heartbeat}) })
		})
	}
}

// deliverOnce returns a function that passes an input to a node's process the first time it
// is called, and drops all later inputs. It also drops the input if the process has ended
// since, as a restarted process has lost its connections.
func (s *Simulation) deliverOnce(node *node) func(message.Input) {
	incarnation, answered := node.incarnation, false
	return func(input message.Input) {
		if answered {
			return
		}
		answered = true
		if node.incarnation == incarnation {
			s.step(node, input)
		}
	}
}

// answerRequest passes an answer to the sender of the request.
func (s *Simulation) answerRequest(node *node, answer message.Answer) {
	answer = s.admitCommands(node, answer)
	if receive := node.pendingRequests[answer.RequestID]; receive != nil {
		delete(node.pendingRequests, answer.RequestID)
		receive(answer)
	}
}

// callStore sends a request to the key-value store. It checks the grant of a transaction first.
func (s *Simulation) callStore(node *node, call message.StoreCall) {
	reply := s.deliverOnce(node)
	timeout := storeTimeout + micros.FromMilliseconds(call.WaitMs)
	s.after(timeout, func() { reply(&message.StoreReply{CallID: call.CallID}) })
	if call.Op != message.OpTransaction {
		s.sendToStore(node, call, reply)
		return
	}
	send := func() { s.sendToStore(node, call, reply) }
	refuse := func() { reply(&message.StoreReply{CallID: call.CallID, Unsent: true}) }
	s.sendOrder(node, call.Transaction.Grant(), leadership.ActionWrite, send, refuse)
}

// sendToStore delivers a request to the key-value store, and the reply to the node. Either
// may be late or lost.
func (s *Simulation) sendToStore(node *node, call message.StoreCall, reply func(message.Input)) {
	if s.delayTransaction(node, call) {
		return
	}
	transaction := call.Op == message.OpTransaction
	delay := micros.Micros(0)
	if transaction && s.rng.Float64() < s.scenario.LateRequests {
		delay = micros.Random(s.rng, lateRequestSpread)
	}
	receive := func(received *message.StoreReply) {
		lost := call.Op != message.OpWatch && s.rng.Float64() < s.scenario.LostReplies
		if lost || call.WaitMs > 0 && node.watchStalled {
			return
		}
		s.whenStoreReplies(func() { s.deliver(node, linkStore, func() { reply(received) }) })
	}
	s.after(delay, func() {
		s.deliver(node, linkStore, func() {
			if transaction {
				s.maybeRepeat(func() { s.store.repeat(node, call) })
			}
			s.store.call(node, call, receive)
		})
	})
}

// whenStoreReplies runs an action now or, if the store answers slowly, later.
func (s *Simulation) whenStoreReplies(action func()) {
	if s.now >= s.faults.slowStoreUntil {
		action()
		return
	}
	s.after(micros.Random(s.rng, maxSlowReplyDelay), action)
}

// ignoreStoreReply receives the replies that are lost.
func ignoreStoreReply(*message.StoreReply) {}

// callCloud sends a request to the cloud. It checks the grant of a launch or deletion first.
func (s *Simulation) callCloud(node *node, call message.CloudCall) {
	reply := s.deliverOnce(node)
	s.after(cloudTimeout, func() { reply(&message.CloudReply{CallID: call.CallID}) })
	refuse := func() { reply(&message.CloudReply{CallID: call.CallID, Unsent: true}) }
	send := func() { s.sendToCloud(node, call, reply) }
	switch call.Op {
	case message.OpLaunch:
		s.sendOrder(node, call.Launch.Grant(), leadership.ActionLaunch, send, refuse)
	case message.OpDelete:
		s.sendOrder(node, call.Delete.Grant(), leadership.ActionDelete, send, refuse)
	default:
		send()
	}
}

// sendToCloud delivers a request to the cloud, and the reply to the node.
func (s *Simulation) sendToCloud(node *node, call message.CloudCall, reply func(message.Input)) {
	s.after(cloudRequestDelay, func() {
		s.deliver(node, linkCloud, func() {
			answer := s.cloud.call(node, call)
			if call.Op == message.OpLaunch || call.Op == message.OpDelete {
				s.maybeRepeat(func() { s.cloud.call(node, call) })
			}
			s.after(cloudReplyDelay, func() {
				s.deliver(node, linkCloud, func() { reply(answer) })
			})
		})
	})
}

// sendCommands sends direct commands to a worker. It checks their grant first.
func (s *Simulation) sendCommands(node *node, commands message.SendCommands) {
	reply := s.deliverOnce(node)
	unanswered := message.CommandReply{
		Machine:      commands.Machine,
		FencingToken: commands.Body.Body().FencingToken,
		StartsTasks:  commands.StartsTasks,
	}
	unsent := unanswered
	unsent.Unsent = true
	send := func() { s.deliverCommands(node, commands, unanswered, reply) }
	s.sendOrder(node, commands.Body.Grant(), leadership.ActionCommand, send, func() { reply(unsent) })
}

// deliverCommands delivers direct commands to a worker, and its answer to the node. It
// reports them as unsent if maxCommandsInFlight commands of the node are in flight.
func (s *Simulation) deliverCommands(
	node *node, commands message.SendCommands, unanswered message.CommandReply, reply func(message.Input),
) {
	s.checker.checkCommands(node, commands.Body.Body().Commands)
	if node.commandsInFlight >= node.maxCommandsInFlight {
		unanswered.Unsent = true
		reply(unanswered)
		return
	}
	node.commandsInFlight++
	s.peakCommandsInFlight = max(s.peakCommandsInFlight, node.commandsInFlight)
	settled := false
	settle := func(answer message.CommandReply) {
		if !settled {
			settled = true
			node.commandsInFlight--
			reply(answer)
		}
	}
	s.after(commandTimeout, func() { settle(unanswered) })
	target := s.workersByAddr[commands.Addr]
	if target == nil {
		return
	}
	s.deliverOnWorkerLink(node, target, func() {
		if target.terminated || !target.up || target.inboundCut {
			return
		}
		if s.delayCommands(target, func() { s.executeCommands(node, target, commands, unanswered) }) {
			return
		}
		target.whenRunning(func() {
			answered := s.executeCommands(node, target, commands, unanswered)
			s.deliverOnWorkerLink(node, target, func() { settle(answered) })
		})
	})
}

// executeCommands makes a worker execute direct commands. It returns the given answer with the
// worker's status and heartbeat.
func (s *Simulation) executeCommands(
	node *node, target *worker, commands message.SendCommands, answer message.CommandReply,
) message.CommandReply {
	body := commands.Body.Body()
	answer.Status, answer.Heartbeat = target.receiveCommands(body)
	tookEffect := answer.Status == http.StatusOK && len(body.Commands) > 0
	s.recordGrantedOrder(node, commands.Body.Grant(), commands.Machine, tookEffect)
	s.maybeRepeat(func() { target.whenRunning(func() { target.receiveCommands(body) }) })
	return answer
}
