package simulation

import (
	"fmt"
	"net/http"

	"spurmoor/internal/leadership"
	"spurmoor/internal/message"
	"spurmoor/internal/micros"
)

const (
	// Times after which a controller gives up a call that has no answer.
	storeTimeout   = 2500 * micros.Millisecond
	cloudTimeout   = 5 * micros.Second
	commandTimeout = 3 * micros.Second

	// lateWithin is within which time a late transaction is carried out.
	lateWithin = 8 * micros.Second
	// The cloud takes its time over a request and over its answer.
	cloudRequestDelay = micros.Second / 5
	cloudReplyDelay   = micros.Second / 20
)

// perform carries out an effect of a controller's core.
func (s *Simulation) perform(node *node, effect message.Effect) {
	switch effect := effect.(type) {
	case message.Answer:
		s.answerRequest(node, effect)
	case message.StoreCall:
		s.callStore(node, effect)
	case message.CloudCall:
		s.callCloud(node, effect)
	case message.SendCommands:
		s.pushCommands(node, effect)
	case message.Broadcast:
		s.broadcast(node, effect)
	case message.Log:
		s.logf("%s %s %s", node.name, effect.Message, fmt.Sprintln(effect.Args...))
	}
}

// broadcast sends a controller's heartbeat to the others. Each copy passes the link of
// its sender and that of its receiver.
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

// firstInput returns a function that hands a process the first of several inputs, unless
// the process has ended since.
func (s *Simulation) firstInput(node *node) func(message.Input) {
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

// answerRequest hands an answer to whoever sent the request.
func (s *Simulation) answerRequest(node *node, answer message.Answer) {
	answer = s.gateCommands(node, answer)
	if receive := node.pendingRequests[answer.RequestID]; receive != nil {
		delete(node.pendingRequests, answer.RequestID)
		receive(answer)
	}
}

// callStore sends a request to the key-value store; a transaction passes the gate first.
func (s *Simulation) callStore(node *node, call message.StoreCall) {
	reply := s.firstInput(node)
	timeout := storeTimeout + micros.FromMilliseconds(call.WaitMs)
	s.after(timeout, func() { reply(&message.StoreReply{CallID: call.CallID}) })
	if call.Op != message.OpTransaction {
		s.sendToStore(node, call, reply)
		return
	}
	send := func() { s.sendToStore(node, call, reply) }
	refuse := func() { reply(&message.StoreReply{CallID: call.CallID, Unsent: true}) }
	s.sendOrder(node, call.Transaction.Grant(), leadership.Write, send, refuse)
}

// sendToStore carries a request to the key-value store and its reply back. Either may be
// late or lost.
func (s *Simulation) sendToStore(node *node, call message.StoreCall, reply func(message.Input)) {
	if s.delayTransaction(node, call) {
		return
	}
	transaction := call.Op == message.OpTransaction
	late := micros.Micros(0)
	if transaction && s.rng.Float64() < s.scenario.LateRequests {
		late = micros.Random(s.rng, lateWithin)
	}
	receive := func(got *message.StoreReply) {
		lost := call.Op != message.OpWatch && s.rng.Float64() < s.scenario.LostReplies
		if lost || call.WaitMs > 0 && node.watchStalled {
			return
		}
		s.deliver(node, linkStore, func() { reply(got) })
	}
	s.after(late, func() {
		s.deliver(node, linkStore, func() {
			if transaction {
				s.maybeRepeat(func() { s.store.call(node, call, ignoreStoreReply) })
			}
			s.store.call(node, call, receive)
		})
	})
}

// ignoreStoreReply is for requests whose reply nobody receives.
func ignoreStoreReply(*message.StoreReply) {}

// callCloud sends a request to the cloud; one that changes something passes the gate first.
func (s *Simulation) callCloud(node *node, call message.CloudCall) {
	reply := s.firstInput(node)
	s.after(cloudTimeout, func() { reply(&message.CloudReply{CallID: call.CallID}) })
	refuse := func() { reply(&message.CloudReply{CallID: call.CallID, Unsent: true}) }
	send := func() { s.sendToCloud(node, call, reply) }
	switch call.Op {
	case message.OpLaunch:
		s.sendOrder(node, call.Launch.Grant(), leadership.Launch, send, refuse)
	case message.OpDelete:
		s.sendOrder(node, call.Delete.Grant(), leadership.Delete, send, refuse)
	default:
		send()
	}
}

// sendToCloud carries a request to the cloud and its reply back.
func (s *Simulation) sendToCloud(node *node, call message.CloudCall, reply func(message.Input)) {
	s.after(cloudRequestDelay, func() {
		s.deliver(node, linkCloud, func() {
			got := s.cloud.call(node, call)
			if call.Op == message.OpLaunch || call.Op == message.OpDelete {
				s.maybeRepeat(func() { s.cloud.call(node, call) })
			}
			s.after(cloudReplyDelay, func() {
				s.deliver(node, linkCloud, func() { reply(got) })
			})
		})
	})
}

// pushCommands sends direct commands to a worker, once they have passed the gate.
func (s *Simulation) pushCommands(node *node, commands message.SendCommands) {
	reply := s.firstInput(node)
	unanswered := message.CommandReply{
		Machine:      commands.Machine,
		FencingToken: commands.Body.Body().FencingToken,
		StartsTasks:  commands.StartsTasks,
	}
	unsent := unanswered
	unsent.Unsent = true
	send := func() { s.deliverCommands(node, commands, unanswered, reply) }
	s.sendOrder(node, commands.Body.Grant(), leadership.Command, send, func() { reply(unsent) })
}

// deliverCommands carries direct commands to a worker and its answer back.
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
	s.deliverWorkerLink(node, target, func() {
		if target.gone || !target.up || target.inboundCut {
			return
		}
		target.whenRunning(func() {
			answered := s.executeCommands(node, target, commands, unanswered)
			s.deliverWorkerLink(node, target, func() { settle(answered) })
		})
	})
}

// executeCommands has a worker execute direct commands, and returns its answer.
func (s *Simulation) executeCommands(
	node *node, target *worker, commands message.SendCommands, answer message.CommandReply,
) message.CommandReply {
	body := commands.Body.Body()
	answer.Status, answer.Heartbeat = target.receiveCommands(body)
	tookEffect := answer.Status == http.StatusOK && len(body.Commands) > 0
	s.noteOrderUnder(node, commands.Body.Grant(), commands.Machine, tookEffect)
	s.maybeRepeat(func() { target.whenRunning(func() { target.receiveCommands(body) }) })
	return answer
}
